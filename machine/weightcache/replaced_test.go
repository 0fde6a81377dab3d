package weightcache

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/machine/peers"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/standin/fleet"
)

// Guards against a version that nobody gets after the entries of a zone were replaced one after the other and all
// lost power: each relied on listed entries whose machines had left. A fleet has 12 s to serve again.
func TestVersionArrivesAlthoughMostListedEntriesLeft(t *testing.T) {
	t.Parallel()
	const left, bound = 40, 12 * time.Second
	store, origin := fleet.NewStore(), fleet.NewOrigin(chunks)
	t.Cleanup(store.Close)
	t.Cleanup(origin.Close)
	for i := range left {
		m := peers.Member{Machine: contract.MachineID(fmt.Sprintf("entry-%02d", i)), Role: link.RoleEntry, Zone: "a", Region: "ra",
			Address: "127.0.0.1:1", Fingerprint: link.FingerprintOf([]byte{byte(i)})}
		record, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		store.Put(platform.TopicMembers, string(m.Machine), string(record))
	}
	nodes := []*node{startNode(t, store.Address(), "entry-40", origin.Address()), startNode(t, store.Address(), "entry-41", origin.Address())}
	start := time.Now()
	v := Version{Model: fleet.Model, Number: 2}
	eventually(t, "an entry is first in rank and has the version", func() bool {
		isComplete := false
		for _, n := range nodes {
			n.cache.FetchIfFirstInRank(v)
			n.cache.mu.Lock()
			cv := n.cache.versions[v]
			n.cache.mu.Unlock()
			isComplete = isComplete || cv != nil && cv.isComplete()
		}
		return isComplete
	})
	t.Logf("complete after %v", time.Since(start))
	for _, n := range nodes {
		cv := n.cache.ensureVersion(v)
		eventually(t, "both entries have the version", cv.isComplete)
	}
	if took := time.Since(start); took > bound {
		t.Errorf("both entries had the version after %v, want at most %v", took, bound)
	}
}
