package feed

import (
	"testing"

	"pgregory.net/rapid"

	"mimosastand.example/mimosastand/contract"
)

func record(offset int64, key, value string) contract.Record {
	return contract.Record{Offset: offset, Key: key, Value: []byte(value)}
}

func TestReplicaKeepsHighestOffsetPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewReplica(nil)
		newest := map[string]int64{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			offset := rapid.Int64Range(0, 30).Draw(t, "offset")
			changed := r.Apply([]contract.Record{record(offset, key, "v")})
			before, known := newest[key]
			if wantChange := !known || offset > before; wantChange != (len(changed) == 1) {
				t.Fatalf("Apply(key %s, offset %d) with held offset %d = %v, want a change only for a new key or a higher offset", key, offset, before, changed)
			}
			if !known || offset > before {
				newest[key] = offset
			}
			if held := r.records[key].Offset; held != newest[key] {
				t.Fatalf("offset held for key %s = %d, want %d", key, held, newest[key])
			}
		}
	})
}

func TestResetDeletesMissingKeysUnlessNewer(t *testing.T) {
	r := NewReplica(nil)
	r.Apply([]contract.Record{record(1, "old", "v"), record(9, "young", "v"), record(2, "kept", "v")})
	changed := r.Reset([]contract.Record{record(2, "kept", "v")}, 0, 5)
	if len(changed) != 1 || changed[0].Key != "old" || len(changed[0].Value) != 0 {
		t.Errorf("Reset() = %v, want one tombstone of key \"old\"", changed)
	}
	if changed := r.Reset([]contract.Record{record(2, "kept", "v")}, 0, 5); len(changed) != 0 {
		t.Errorf("second Reset() = %v, want no change", changed)
	}
}

func TestRecordsAfterIncludesDeletedKeys(t *testing.T) {
	r := NewReplica(nil)
	r.Apply([]contract.Record{record(1, "a", "v"), record(2, "b", "v"), record(3, "a", "")})
	got := r.RecordsAfter(1)
	if len(got) != 2 || r.NewestOffset() != 3 {
		t.Errorf("RecordsAfter(1) = %v with newest offset %d, want 2 records and 3", got, r.NewestOffset())
	}
	other := NewReplica(nil)
	other.Apply(r.RecordsAfter(-1))
	if changed := other.Apply([]contract.Record{record(1, "a", "v")}); len(changed) != 0 {
		t.Errorf("Apply() of an older record of a deleted key = %v, want no change", changed)
	}
}

// Guards against losing a deletion whose history is gone: it must reach a peer that pulls
// only the records above its own offset, or a zone would stay evacuated there.
func TestKeysDeletedByResetReachLaggingPeers(t *testing.T) {
	behind, ahead := NewReplica(nil), NewReplica(nil)
	for _, r := range []*Replica{behind, ahead} {
		r.Apply([]contract.Record{record(5, "evacuate/a", "v")})
	}
	ahead.Reset([]contract.Record{record(7, "config", "v")}, 0, 9)
	if ahead.NewestOffset() != 8 {
		t.Errorf("newest offset after Reset = %d, want 8", ahead.NewestOffset())
	}
	behind.Apply(ahead.RecordsAfter(behind.NewestOffset()))
	if held := behind.records["evacuate/a"]; len(held.Value) != 0 {
		t.Errorf("record held by the lagging peer = %+v, want a tombstone", held)
	}
}
