package fleet

import (
	"fmt"
	"strings"
	"time"
)

// write is one record that was appended to a topic.
type write struct {
	topic  string
	record []byte
	at     time.Time
}

// rewriteDelay is how long after the store's return operators and engines write again what
// was lost.
const rewriteDelay = 700 * time.Millisecond

// Restore makes the store come back from a copy that is so old, in a new era. Offsets go
// back and are given out again. What operators and targets had written since is written
// again a little later, unless something newer was.
func (s *Store) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	copiedAt := time.Now().Add(-age)
	kept := 0
	for kept < len(s.writes) && !s.writes[kept].at.After(copiedAt) {
		kept++
	}
	lost := s.writes[kept:]
	s.writes = s.writes[:kept:kept]
	s.era++
	firsts := map[string]int64{}
	for name, t := range s.topics {
		firsts[name] = t.first
	}
	s.topics = map[string]*topic{}
	for _, wr := range s.writes {
		s.applyWrite(wr)
	}
	for name, t := range s.topics {
		// What was compacted before stays so.
		dropped := min(firsts[name], int64(len(t.records)))
		t.first, t.records = dropped, t.records[dropped:]
	}
	s.wakeReaders()
	time.AfterFunc(rewriteDelay, func() { s.rewrite(lost) })
}

// rewrite appends the newest lost record of each key of operators and targets, unless a
// newer one of the key was written since or the store has been restored again.
func (s *Store) rewrite(lost []write) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := map[string]int{}
	for i, wr := range lost {
		newest[wr.topic+"/"+wr.key()] = i
	}
	for i, wr := range lost {
		isOwn := wr.topic == topicOperators || wr.topic == TopicTargets
		if !isOwn || newest[wr.topic+"/"+wr.key()] != i || s.writtenSince(wr) {
			continue
		}
		s.appendRecord(wr.topic, wr.record)
	}
}

// writtenSince reports whether the key of a lost write was written again. mu must be held.
func (s *Store) writtenSince(lost write) bool {
	at, ok := s.topic(lost.topic).writtenAt[lost.key()]
	return ok && at.After(lost.at)
}

func (w write) key() string {
	if !strings.HasPrefix(w.topic, "keyed.") {
		return ""
	}
	return string(w.record[1 : 1+int(w.record[0])])
}

// Era returns the store's era.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// SetEraHidden sets whether answers leave out the era, so that no process can notice that
// the store came back from an older copy.
func (s *Store) SetEraHidden(hidden bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eraHidden = hidden
}

// MemberWrittenAt returns when the member record of a machine was written that the store
// has; zero if it has none.
func (s *Store) MemberWrittenAt(machine string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topicMembers)
	if _, ok := t.newest[machine]; !ok {
		return time.Time{}
	}
	return t.writtenAt[machine]
}

// StoredPieces returns the number of pieces of a version of the model that the store has.
func (s *Store) StoredPieces(version int64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for key := range s.topic(fmt.Sprintf("keyed.weights.%s.%d", Model, version)).newest {
		if key != "digests" {
			n++
		}
	}
	return n
}
