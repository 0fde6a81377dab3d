package feed

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"mimosastand.example/mimosastand/contract"
)

// restorableLog is a topic of a store that can come back from an older copy.
type restorableLog struct {
	era     int64
	records []contract.Record
}

func (l *restorableLog) write(key, value string) {
	position := contract.NewPosition(l.era, int64(len(l.records)))
	l.records = append(l.records, contract.Record{Offset: position, Key: key, Value: []byte(value)})
}

// restore makes the store lose all but the first n records.
func (l *restorableLog) restore(n int) {
	l.era++
	l.records = slices.Clone(l.records[:n])
	for i := range l.records {
		l.records[i].Offset = contract.NewPosition(l.era, int64(i))
	}
}

func (l *restorableLog) end() int64 { return contract.NewPosition(l.era, int64(len(l.records))) }

// newest returns the newest record of each key that has a value.
func (l *restorableLog) newest() []contract.Record {
	byKey := map[string]contract.Record{}
	for _, r := range l.records {
		byKey[r.Key] = r
	}
	var list []contract.Record
	for _, r := range byKey {
		if len(r.Value) > 0 {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, byPosition)
	return list
}

func byPosition(a, b contract.Record) int { return cmp.Compare(a.Offset, b.Offset) }

// topicReader is a replica with the place at which its process reads on.
type topicReader struct {
	replica *Replica
	from    int64
	era     int64
	synced  bool
}

// read reads the topic as a feed does: a snapshot at first and in a new era, or if the
// offset is beyond the end, and otherwise what follows.
func (r *topicReader) read(l *restorableLog) []contract.Record {
	if !r.synced || r.era != l.era || r.from > int64(len(l.records)) {
		r.synced, r.era, r.from = true, l.era, int64(len(l.records))
		return r.replica.Reset(l.newest(), l.era, l.end())
	}
	from := r.from
	r.from = int64(len(l.records))
	return r.replica.Apply(l.records[from:])
}

func (r *topicReader) value(key string) string { return string(r.replica.records[key].Value) }

// Guards against missing what was written in a new era before the reader asked again: the
// offsets have passed its old position, so that nothing else tells.
func TestReaderSeesNewEraAfterOffsetsPassedIt(t *testing.T) {
	l := &restorableLog{era: 1}
	for i := range 10 {
		l.write("other", strconv.Itoa(i))
	}
	r := &topicReader{replica: NewReplica(nil)}
	r.read(l)
	l.restore(5)
	l.write("config", "new")
	for i := range 20 {
		l.write("other", strconv.Itoa(100+i))
	}
	r.read(l)
	if got := r.value("config"); got != "new" {
		t.Errorf("config = %q, want \"new\", which stands before the reader's old position", got)
	}
}

// Guards against going back to what an older copy of the store has, for each kind of change
// that was lost, and against what was written again counting twice.
func TestLostRecordStaysUntilWrittenAgain(t *testing.T) {
	for name, c := range map[string]struct{ before, lost string }{
		"changed value": {"1", "2"},
		"new key":       {"", "2"},
		"deleted key":   {"1", ""},
	} {
		l := &restorableLog{era: 1}
		l.write("other", "x")
		if c.before != "" {
			l.write("key", c.before)
		}
		copyEnd := len(l.records)
		r := &topicReader{replica: NewReplica(nil)}
		r.read(l)
		l.write("key", c.lost)
		r.read(l)
		l.restore(copyEnd)
		for range 3 {
			if changed := r.read(l); r.value("key") != c.lost || len(changed) > 0 {
				t.Errorf("%s: after the return: value %q, changed %v, want %q and no change", name, r.value("key"), changed, c.lost)
			}
			r.synced = false
		}
		l.write("key", c.lost)
		if changed := r.read(l); r.value("key") != c.lost || len(changed) > 0 {
			t.Errorf("%s: written again: value %q, changed %v, want %q and no change", name, r.value("key"), changed, c.lost)
		}
		l.write("key", "3")
		if r.read(l); r.value("key") != "3" {
			t.Errorf("%s: next value = %q, want 3", name, r.value("key"))
		}
	}
}

// Guards against a record that one process alone saw: it stays there, does not reach
// processes that hold what the store has now, and the record that is written again counts
// at all.
func TestRecordSeenByOneProcessAlone(t *testing.T) {
	l := &restorableLog{era: 1}
	l.write("zone", "in")
	alone, other := &topicReader{replica: NewReplica(nil)}, &topicReader{replica: NewReplica(nil)}
	alone.read(l)
	other.read(l)
	l.write("zone", "out")
	alone.read(l)
	l.restore(1)
	alone.read(l)
	other.read(l)
	other.replica.Apply(alone.replica.RecordsAfter(other.replica.NewestOffset()))
	if alone.value("zone") != "out" || other.value("zone") != "in" {
		t.Errorf("after the return: %q and %q, want \"out\" where it was seen and \"in\" elsewhere", alone.value("zone"), other.value("zone"))
	}
	l.write("zone", "out")
	alone.read(l)
	other.read(l)
	if alone.value("zone") != "out" || other.value("zone") != "out" {
		t.Errorf("after it was written again: %q and %q, want \"out\" at both", alone.value("zone"), other.value("zone"))
	}
}

// Guards against a process that cannot reach the store and gets the new era from a peer: it
// keeps what it has acted on and takes what is new.
func TestNewEraFromPeerKeepsLostRecords(t *testing.T) {
	l := &restorableLog{era: 1}
	l.write("config", "1")
	cutOff, peer := &topicReader{replica: NewReplica(nil)}, &topicReader{replica: NewReplica(nil)}
	cutOff.read(l)
	l.write("config", "2")
	cutOff.read(l)
	l.restore(1)
	l.write("zone", "out")
	peer.read(l)
	records := peer.replica.RecordsAfter(cutOff.replica.NewestOffset())
	cutOff.replica.Reset(records, peer.replica.Era(), peer.replica.NewestOffset()+1)
	if cutOff.value("config") != "2" || cutOff.value("zone") != "out" {
		t.Errorf("config %q, zone %q, want \"2\" as before and \"out\" from the peer", cutOff.value("config"), cutOff.value("zone"))
	}
	if got := cutOff.replica.NewestOffset(); got != peer.replica.NewestOffset() {
		t.Errorf("newest position %d, want that of the peer, %d", got, peer.replica.NewestOffset())
	}
}

// Guards against records that stay although nobody writes them again.
func TestForgottenLossTakesStateOfStore(t *testing.T) {
	l := &restorableLog{era: 1}
	l.write("kept", "1")
	r := &topicReader{replica: NewReplica(nil)}
	r.read(l)
	l.write("kept", "2")
	l.write("gone", "x")
	r.read(l)
	l.restore(1)
	r.read(l)
	r.replica.ForgetLost()
	r.synced = false
	r.read(l)
	if r.value("kept") != "1" || r.value("gone") != "" {
		t.Errorf("kept = %q, gone = %q, want what the store has: \"1\" and nothing", r.value("kept"), r.value("gone"))
	}
}

// Random histories of writes, reads, pulls between processes and returns of the store from
// older copies: no process goes back to an older value of a key. Once everything was written
// again all hold the newest, at once if the contents have an order, otherwise when the time
// for writing again is over.
func TestRandomHistoriesOfRestoredStore(t *testing.T) {
	byNumber := func(_ string, a, b []byte) (int, bool) {
		x, _ := strconv.Atoi(string(a))
		y, _ := strconv.Atoi(string(b))
		return x - y, true
	}
	t.Run("contents with an order", func(t *testing.T) { playRestoredStore(t, byNumber) })
	t.Run("contents without an order", func(t *testing.T) { playRestoredStore(t, nil) })
}

func playRestoredStore(t *testing.T, compare CompareFunc) {
	const seeds, steps, keys = 400, 120, 4
	for seed := range uint64(seeds) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		l := &restorableLog{era: 1}
		// current is what the operators want; a value's number grows with each change.
		current := map[string]string{}
		readers := make([]*topicReader, 3)
		for i := range readers {
			readers[i] = &topicReader{replica: NewReplica(compare)}
		}
		seen := make([]map[string]int, len(readers))
		for i := range seen {
			seen[i] = map[string]int{}
		}
		check := func(step int, i int) {
			for k := range keys {
				key := fmt.Sprint("key-", k)
				value, _ := strconv.Atoi(readers[i].value(key))
				if value < seen[i][key] {
					t.Fatalf("seed %d, step %d: reader %d goes back from %d to %d for %s", seed, step, i, seen[i][key], value, key)
				}
				seen[i][key] = value
			}
		}
		rewrite := func() {
			for _, key := range slices.Sorted(maps.Keys(current)) {
				value := current[key]
				if index := slices.IndexFunc(l.newest(), func(r contract.Record) bool { return r.Key == key }); index < 0 || string(l.newest()[index].Value) != value {
					l.write(key, value)
				}
			}
		}
		for step := range steps {
			switch rnd.IntN(10) {
			case 0:
				l.restore(max(0, len(l.records)-rnd.IntN(8)))
			case 1:
				rewrite()
			case 2, 3, 4:
				rewrite()
				key := fmt.Sprint("key-", rnd.IntN(keys))
				number, _ := strconv.Atoi(current[key])
				current[key] = strconv.Itoa(number + 1)
				l.write(key, current[key])
			case 5:
				from, to := readers[rnd.IntN(len(readers))], rnd.IntN(len(readers))
				if r := readers[to]; from.synced && r.synced && from.replica.Era() == r.replica.Era() {
					records := from.replica.RecordsAfter(r.replica.NewestOffset())
					slices.SortFunc(records, byPosition)
					r.replica.Apply(records)
					check(step, to)
				}
			default:
				i := rnd.IntN(len(readers))
				readers[i].read(l)
				check(step, i)
			}
		}
		rewrite()
		for i, r := range readers {
			r.read(l)
			check(steps, i)
			if compare == nil {
				r.replica.ForgetLost()
				r.synced = false
				r.read(l)
			}
			for key, want := range current {
				if got := r.value(key); got != want {
					t.Fatalf("seed %d: reader %d holds %q of %s in the end, want %q", seed, i, got, key, want)
				}
			}
		}
	}
}
