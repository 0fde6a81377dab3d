package link

import (
	"bytes"
	"testing"

	"mimosastand.example/mimosastand/contract"
)

// Guards against verified pieces of weights that change in memory (WHOLE, inc2): the bytes of a decoded
// message are shared neither with the source nor with the messages that follow.
func TestDecodedMessageSharesNoBytes(t *testing.T) {
	const maxBytes = 1 << 16
	var source []byte
	for i := range byte(2) {
		p := contract.Pieces{Digests: [][]byte{bytes.Repeat([]byte{'d' + i}, 32)}, Index: uint32(i), Data: bytes.Repeat([]byte{'a' + i}, 1<<10)}
		frame, err := Encode(contract.Message{Kind: contract.KindPieces, Pieces: &p}, maxBytes)
		if err != nil {
			t.Fatal(err)
		}
		source = append(source, frame...)
	}
	reader := bytes.NewReader(source)
	first, err := Decode(reader, maxBytes)
	if err != nil {
		t.Fatal(err)
	}
	second, err := Decode(reader, maxBytes)
	if err != nil {
		t.Fatal(err)
	}
	clear(source)
	clear(second.Pieces.Data)
	clear(second.Pieces.Digests[0])
	if want := bytes.Repeat([]byte{'a'}, 1<<10); !bytes.Equal(first.Pieces.Data, want) {
		t.Errorf("the piece of the first message has changed: %q", first.Pieces.Data)
	}
	if want := bytes.Repeat([]byte{'d'}, 32); !bytes.Equal(first.Pieces.Digests[0], want) {
		t.Errorf("the digest of the first message has changed: %q", first.Pieces.Digests[0])
	}
}
