// Package feed follows a keyed topic of the platform's store: it keeps the
// newest record of each key, which it learns from the store or, while that turns
// the process away, from peers.
//
// A Replica never goes back: a record replaces only one with a lower offset,
// whoever brings it.
package feed

import "mimosastand.example/mimosastand/contract"

// Replica holds the newest record of each key, dropped keys included. It is not
// safe for concurrent use.
type Replica struct {
	records map[string]contract.Record
	// newest is the highest offset taken in or known to bring nothing, -1 at first.
	newest int64
}

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	return &Replica{records: map[string]contract.Record{}, newest: -1}
}

// Newest is the offset up to which the topic is held, -1 if it is not.
func (r *Replica) NewestOffset() int64 { return r.newest }

// Advance tells that records up to an offset are held or bring nothing.
func (r *Replica) Advance(offset int64) { r.newest = max(r.newest, offset) }

// Apply takes in records and returns those that were news, in order.
func (r *Replica) Apply(records []contract.Record) []contract.Record {
	var news []contract.Record
	for _, record := range records {
		held, ok := r.records[record.Key]
		if ok && record.Offset <= held.Offset {
			continue
		}
		r.records[record.Key] = record
		r.newest = max(r.newest, record.Offset)
		if ok || len(record.Value) > 0 {
			news = append(news, record)
		}
	}
	return news
}

// Reset takes in the whole of a topic as it was at offset end, and returns what
// was news: a held key that is missing was dropped before end, unless it is younger.
func (r *Replica) Reset(records []contract.Record, end int64) []contract.Record {
	news := r.Apply(records)
	present := map[string]bool{}
	for _, record := range records {
		present[record.Key] = true
	}
	for key, held := range r.records {
		if present[key] || held.Offset >= end || len(held.Value) == 0 {
			continue
		}
		dropped := contract.Record{Offset: end - 1, Key: key}
		r.records[key] = dropped
		news = append(news, dropped)
	}
	r.Advance(end - 1)
	return news
}

// After lists the records with an offset above the given one.
func (r *Replica) RecordsAfter(offset int64) []contract.Record {
	var list []contract.Record
	for _, record := range r.records {
		if record.Offset > offset {
			list = append(list, record)
		}
	}
	return list
}
