package feed

import "mimosastand.example/mimosastand/contract"

// RecordsAfter returns the reply to a peer's pull of the records above a position.
func (f *Feed) RecordsAfter(after int64) contract.Records {
	f.mu.Lock()
	defer f.mu.Unlock()
	return contract.Records{
		Topic: f.opts.Topic, Records: f.replica.RecordsAfter(after), All: f.hasSynced && !f.replica.KnowsDeletionsAfter(after),
		Synced: f.hasSynced, Newest: f.replica.NewestOffset(), Era: f.replica.Era(),
	}
}

// Merge applies a peer's reply to a pull. The pull must have asked for the records above
// a position up to which this feed already held the topic: with a later one Merge would
// mark records as held that were never received. The reply of a peer that has read the
// topic in a newer era of the store has the complete topic, as has one with All; that of one in
// an older era is ignored.
func (f *Feed) Merge(records contract.Records) {
	switch era := f.replicaEra(); {
	case records.Era < era, records.Era > era && !records.Synced:
		return
	case records.Era > era, records.All:
		f.reset(records.Records, records.Era, records.Newest+1)
		f.cancelNeedlessTransfer()
		return
	}
	f.applyChange(func() []contract.Record {
		changed := f.replica.Apply(records.Records)
		if records.Synced {
			f.replica.Advance(records.Newest)
		}
		return changed
	}, records.Synced)
	f.cancelNeedlessTransfer()
}

func (f *Feed) replicaEra() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.Era()
}
