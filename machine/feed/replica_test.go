package feed

import (
	"testing"

	"pgregory.net/rapid"

	"mimosastand.example/mimosastand/contract"
)

func record(offset int64, key, value string) contract.Record {
	return contract.Record{Offset: offset, Key: key, Value: []byte(value)}
}

func TestReplicaNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewReplica()
		newest := map[string]int64{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			offset := rapid.Int64Range(0, 30).Draw(t, "offset")
			news := r.Apply([]contract.Record{record(offset, key, "v")})
			before, known := newest[key]
			if wanted := !known || offset > before; wanted != (len(news) == 1) {
				t.Fatalf("key %s, offset %d after %d: news %v", key, offset, before, news)
			}
			if !known || offset > before {
				newest[key] = offset
			}
			if held := r.records[key].Offset; held != newest[key] {
				t.Fatalf("key %s holds %d, want %d", key, held, newest[key])
			}
		}
	})
}

func TestResetDropsWhatIsMissingUnlessYounger(t *testing.T) {
	r := NewReplica()
	r.Apply([]contract.Record{record(1, "old", "v"), record(9, "young", "v"), record(2, "kept", "v")})
	news := r.Reset([]contract.Record{record(2, "kept", "v")}, 5)
	if len(news) != 1 || news[0].Key != "old" || len(news[0].Value) != 0 {
		t.Errorf("news %v", news)
	}
	if news := r.Reset([]contract.Record{record(2, "kept", "v")}, 5); len(news) != 0 {
		t.Errorf("told twice: %v", news)
	}
}

func TestAfterServesDroppedKeysToo(t *testing.T) {
	r := NewReplica()
	r.Apply([]contract.Record{record(1, "a", "v"), record(2, "b", "v"), record(3, "a", "")})
	got := r.RecordsAfter(1)
	if len(got) != 2 || r.NewestOffset() != 3 {
		t.Errorf("after 1: %v, newest %d", got, r.NewestOffset())
	}
	other := NewReplica()
	other.Apply(r.RecordsAfter(-1))
	if news := other.Apply([]contract.Record{record(1, "a", "v")}); len(news) != 0 {
		t.Errorf("a peer brought a dropped key back: %v", news)
	}
}

// A key that was dropped and whose history is gone must reach a peer that learns only
// what lies above its own offset: a zone would stay evacuated there.
func TestWhatAResetDropsReachesPeersThatAreBehind(t *testing.T) {
	behind, ahead := NewReplica(), NewReplica()
	for _, r := range []*Replica{behind, ahead} {
		r.Apply([]contract.Record{record(5, "evacuate/a", "v")})
	}
	ahead.Reset([]contract.Record{record(7, "config", "v")}, 9)
	if ahead.NewestOffset() != 8 {
		t.Errorf("held up to %d", ahead.NewestOffset())
	}
	behind.Apply(ahead.RecordsAfter(behind.NewestOffset()))
	if held := behind.records["evacuate/a"]; len(held.Value) != 0 {
		t.Errorf("the peer still holds %+v", held)
	}
}
