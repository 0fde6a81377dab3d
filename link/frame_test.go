package link

import (
	"bytes"
	"testing"

	"mimosastand.example/mimosastand/contract"
)

func TestFrameRoundTrip(t *testing.T) {
	m := contract.Message{Kind: contract.KindChunk, Chunk: &contract.Chunk{Seq: 7, Data: []byte("abc")}}
	frame, err := Encode(m, 1<<10)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(bytes.NewReader(frame), 1<<10)
	if err != nil || got.Chunk.Seq != 7 || string(got.Chunk.Data) != "abc" {
		t.Fatalf("got %+v, %v", got, err)
	}
	if _, err := Encode(m, 4); err == nil {
		t.Fatal("an oversized message was encoded")
	}
	if _, err := Decode(bytes.NewReader(frame), 4); err == nil {
		t.Fatal("an oversized frame was decoded")
	}
}

func FuzzDecode(f *testing.F) {
	frame, _ := Encode(contract.Message{Kind: contract.KindQuery, Query: &contract.Query{}}, 1<<10)
	f.Add(frame)
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(bytes.NewReader(data), 1<<16)
		if err == nil && !m.Consistent() {
			t.Fatal("an inconsistent message was decoded")
		}
	})
}
