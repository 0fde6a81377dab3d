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
		t.Fatalf("Decode() = %+v, %v, want a Chunk with Seq 7 and data \"abc\"", got, err)
	}
	if _, err := Encode(m, 4); err == nil {
		t.Fatal("Encode() with maxBytes 4 succeeded, want an error")
	}
	if _, err := Decode(bytes.NewReader(frame), 4); err == nil {
		t.Fatal("Decode() with maxBytes 4 succeeded, want an error")
	}
}

func FuzzDecode(f *testing.F) {
	frame, _ := Encode(contract.Message{Kind: contract.KindQuery, Query: &contract.Query{}}, 1<<10)
	f.Add(frame)
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(bytes.NewReader(data), 1<<16)
		if err == nil && !m.Consistent() {
			t.Fatal("Decode() returned an inconsistent message, want ErrFrame")
		}
	})
}
