package link

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"mimosastand.example/mimosastand/contract"
)

// TestHeartbeatDecodingRestoresOmittedFields guards against an encoder that omits a field
// that the decoder cannot restore.
func TestHeartbeatDecodingRestoresOmittedFields(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var encoder heartbeatEncoder
		var decoder heartbeatDecoder
		for range rapid.IntRange(1, 8).Draw(t, "heartbeats") {
			sent := contract.Heartbeat{Machine: "m", Incarnation: 7, Zone: "z", Service: "s"}
			sent.SettingsOffset = contract.Offset(rapid.Uint64().Draw(t, "settings"))
			if rapid.Bool().Draw(t, "has load") {
				digest := rapid.SampledFrom([]contract.Digest{"", "a", "b"}).Draw(t, "weights")
				sent.Load = &contract.Load{Seq: 1, Weights: digest}
			}
			wire := encoder.encode(sent)
			if wire.Load != nil {
				load := *wire.Load
				wire.Load = &load
			}
			if got := decoder.decode(wire); !reflect.DeepEqual(got, sent) {
				t.Fatalf("decode(encode(hb)) = %+v, want %+v", got, sent)
			}
		}
	})
}
