package peers

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/deflate"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/standin/fleet"
)

// Guards against a peer of an older release that gets values which it cannot read and takes for
// deleted, against compressing a version once for each peer, and against changing the records that
// the feed holds.
func TestLargeValuesArePackedForPeersThatAcceptIt(t *testing.T) {
	large := bytes.Repeat([]byte("route "), minPackedBytes)
	records := []contract.Record{{Offset: 4, Key: "config", Value: large}, {Offset: 3, Key: "small", Value: []byte("v")}, {Offset: 2, Key: "gone"}}
	packer := NewPacker()
	if got := packer.Pack(contract.RecordsPull{}, records); len(got[0].Packed) > 0 || len(got[0].Value) != len(large) {
		t.Error("value packed for a peer that does not accept it, want it as it is")
	}
	got := packer.Pack(contract.RecordsPull{AcceptPacked: true}, records)
	if len(got[0].Value) > 0 || len(got[0].Packed) == 0 || len(got[0].Packed) > len(large)/4 {
		t.Errorf("value of %d bytes and %d packed, want it packed to a quarter at most", len(got[0].Value), len(got[0].Packed))
	}
	if len(records[0].Value) != len(large) || string(got[1].Value) != "v" || len(got[2].Packed) > 0 {
		t.Error("another record has changed")
	}
	if again := packer.Pack(contract.RecordsPull{AcceptPacked: true}, records); &again[0].Packed[0] != &got[0].Packed[0] {
		t.Error("value packed twice, want once")
	}
	if err := unpack(got); err != nil || !bytes.Equal(got[0].Value, large) || len(got[0].Packed) > 0 {
		t.Errorf("unpack() = %v with %d bytes, want the value of %d bytes", err, len(got[0].Value), len(large))
	}
	newer := []contract.Record{{Offset: 5, Key: "config", Value: bytes.Repeat([]byte("other "), minPackedBytes)}}
	if got = packer.Pack(contract.RecordsPull{AcceptPacked: true}, newer); unpack(got) != nil || !bytes.Equal(got[0].Value, newer[0].Value) {
		t.Error("a newer record of the key has the value of the older one")
	}
}

// Guards against a reply that takes the memory of the process, or that deletes a key by mistake.
func TestMalformedPackedValuesAreRefused(t *testing.T) {
	valid := deflate.Compress(make([]byte, maxUnpackedBytes), deflate.Fast)
	for name, records := range map[string][]contract.Record{
		"no compressed value": {{Key: "a", Packed: []byte("no compressed value")}},
		"cut":                 {{Key: "a", Packed: valid[:len(valid)/2]}},
		"empty":               {{Key: "a", Packed: deflate.Compress(nil, deflate.Fast)}},
		"too large together":  {{Key: "a", Packed: valid}, {Key: "b", Packed: deflate.Compress([]byte("v"), deflate.Fast)}},
	} {
		if err := unpack(records); !errors.Is(err, link.ErrFrame) {
			t.Errorf("%s: unpack() = %v, want ErrFrame", name, err)
		}
	}
}

// Guards against records that are not restored when they arrive over a link.
func TestPullReceivesPackedRecords(t *testing.T) {
	store := fleet.NewStore()
	t.Cleanup(store.Close)
	large := bytes.Repeat([]byte("route "), minPackedBytes)
	packer := NewPacker()
	server := startEntry(t, store, "entry-2", func(s *link.Stream) {
		records := []contract.Record{{Offset: 5, Key: "config", Value: large}}
		records = packer.Pack(contract.RecordsPull{AcceptPacked: true}, records)
		_ = s.Send(contract.Message{Kind: contract.KindRecords, Records: &contract.Records{Records: records, Synced: true, Newest: 5}})
	})
	puller := startEntry(t, store, "entry-1", func(*link.Stream) {})
	waitForLink(puller, "entry-2")
	// The puller counts as linked before the other side has accepted its certificate.
	waitForLink(server, "entry-1")
	records, err := puller.PullFrom(t.Context(), "entry-2", platform.TopicOperators, -1)
	if err != nil {
		t.Fatalf("PullFrom() failed: %s", err.Error())
	}
	if len(records.Records) != 1 || !bytes.Equal(records.Records[0].Value, large) {
		t.Errorf("PullFrom() = %d records, want the record as it was before it was packed", len(records.Records))
	}
}

// FuzzUnpack checks that values that a peer sent compressed are restored within the bound, or refused.
func FuzzUnpack(f *testing.F) {
	f.Add([]byte("no compressed value"), deflate.Compress([]byte("value"), deflate.Fast))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		records := []contract.Record{{Key: "a", Packed: a}, {Key: "b", Packed: b}}
		if err := unpack(records); err != nil {
			return
		}
		if n := len(records[0].Value) + len(records[1].Value); n > maxUnpackedBytes {
			t.Errorf("%d bytes restored, want %d at most", n, maxUnpackedBytes)
		}
	})
}
