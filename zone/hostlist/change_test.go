package hostlist

import (
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/durable"
)

// drawList draws a random host list.
func drawList(t *rapid.T, version uint64, label string) List {
	hosts := map[contract.MachineID]Host{}
	for _, name := range rapid.SliceOfN(rapid.StringMatching(`m[0-9]`), 0, 8).Draw(t, label) {
		state := rapid.SampledFrom([]State{Live, Leaving}).Draw(t, label+" state")
		hosts[contract.MachineID(name)] = Host{Machine: contract.MachineID(name), State: state}
	}
	return List{Version: version, Hosts: sortHosts(hosts)}
}

// TestApplyRestoresChangeSince checks that the change from one list to another, applied
// to the first, yields the second, and that it is rejected by a list of another version.
func TestApplyRestoresChangeSince(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		older := drawList(t, 1, "older")
		newer := drawList(t, 2, "newer")
		got, err := older.Apply(newer.ChangeSince(older))
		if err != nil || got.Version != 2 || !slices.Equal(got.Hosts, newer.Hosts) {
			t.Fatalf("Apply() = %+v, %v, want %+v, nil", got, err, newer)
		}
		if _, err := newer.Apply(newer.ChangeSince(older)); !errors.Is(err, durable.ErrProtocol) {
			t.Fatalf("Apply() of a change from another version: error %v, want durable.ErrProtocol", err)
		}
	})
}
