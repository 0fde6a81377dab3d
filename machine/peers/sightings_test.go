package peers

import (
	"fmt"
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/standin/fleet"
)

// listLeftEntries puts the member records of entries into the store whose machines have left for good.
func listLeftEntries(t *testing.T, store *fleet.Store, count int) {
	t.Helper()
	for i := range count {
		m := Member{Machine: contract.MachineID(fmt.Sprintf("a-left-%02d", i)), Role: link.RoleEntry, Zone: "a", Region: "ra",
			Address: "127.0.0.1:1", Fingerprint: link.FingerprintOf([]byte{byte(i)})}
		data, err := m.encode()
		if err != nil {
			t.Fatal(err)
		}
		store.Put(platform.TopicMembers, string(m.Machine), string(data))
	}
}

// awaitRank waits until an entry has a rank in its zone.
func awaitRank(t *testing.T, p *Peers, want int) {
	t.Helper()
	for until := time.Now().Add(recoveryBound); p.RankInZone() != want; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%s has rank %d after %v, want %d", p.opts.Self.Machine, p.RankInZone(), recoveryBound, want)
		}
	}
}

// Guards against machines that left for good and take the ranks of those that run: nobody waited at the store
// for the zone after 20 of its entries had been replaced, and manifests came into force late.
func TestEntriesThatLeftTakeNoRanks(t *testing.T) {
	t.Parallel()
	store := fleet.NewStore()
	t.Cleanup(store.Close)
	listLeftEntries(t, store, 30)
	first, second := startEntry(t, store, "b1", nil), startEntry(t, store, "b2", nil)
	requireLinkWithin(t, first, "b2", recoveryBound)
	awaitRank(t, first, 0)
	awaitRank(t, second, 1)
}

// Guards against running entries without a link that count as gone: in a zone in which not all are linked to each other
// several would read the store, or download, in the place of one.
func TestUnlinkedEntriesThatRunKeepTheirRanks(t *testing.T) {
	t.Parallel()
	const count = 14
	store := fleet.NewStore()
	t.Cleanup(store.Close)
	var entries []*Peers
	for i := range count {
		entries = append(entries, startEntry(t, store, contract.MachineID(fmt.Sprintf("a%02d", i)), nil))
	}
	for rank, p := range entries {
		awaitRank(t, p, rank)
	}
	time.Sleep(sightingTimeout)
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		for rank, p := range entries {
			if got := p.RankInZone(); got != rank {
				t.Fatalf("%s has rank %d, want %d", p.opts.Self.Machine, got, rank)
			}
		}
	}
}

// sightingChain is a row of entries of which each is linked to the next one.
type sightingChain struct {
	now     time.Time
	members []Member
	known   []*sightings
}

func newSightingChain(count int) *sightingChain {
	c := &sightingChain{now: time.Unix(1000, 0)}
	for i := range count {
		c.members = append(c.members, Member{Machine: contract.MachineID(fmt.Sprint("e", i)), Fingerprint: link.FingerprintOf([]byte{byte(i)})})
		c.known = append(c.known, newSightingsWithClock(func() time.Time { return c.now }))
	}
	return c
}

// exchange has all but those of the first that are gone exchange heartbeats with the next one at an interval for a time.
func (c *sightingChain) exchange(gone int, interval, duration time.Duration) {
	for end := c.now.Add(duration); c.now.Before(end); c.now = c.now.Add(interval) {
		for i := gone; i+1 < len(c.known); i++ {
			c.known[i+1].observe(c.members[i].Machine, c.known[i].reportTo(c.members[i+1].Machine, c.members[i]))
			c.known[i].observe(c.members[i+1].Machine, c.known[i+1].reportTo(c.members[i].Machine, c.members[i+1]))
		}
	}
}

// Guards against entries that keep each other's old reports of a machine that has left alive, and against ones
// that lose sight of a running entry over several links with rare heartbeats.
func TestSightingsArePassedOnUntilTheyAreOld(t *testing.T) {
	const rareHeartbeats = 750 * time.Millisecond
	c := newSightingChain(6)
	isSeen := func(i int) bool { return c.known[i].isRecent(c.members[0], time.Time{}) }
	c.exchange(0, rareHeartbeats, 5*time.Second)
	for range 20 {
		c.exchange(0, rareHeartbeats, rareHeartbeats)
		if !isSeen(5) {
			t.Fatal("the last entry does not see the first, which runs")
		}
	}
	c.exchange(1, 10*time.Millisecond, sightingTimeout+sightingInterval)
	for i := 1; i < len(c.known); i++ {
		if isSeen(i) {
			t.Errorf("entry %d sees the first one %v after it left", i, sightingTimeout+sightingInterval)
		}
	}
}

// Guards against an entry that stood still, or whose machine was suspended, and goes by what it had heard before or
// passes it on.
func TestSightingsAreOldAfterStandstill(t *testing.T) {
	c := newSightingChain(3)
	c.exchange(0, 250*time.Millisecond, 3*time.Second)
	c.now = c.now.Add(sightingTimeout)
	if c.known[1].isRecent(c.members[0], time.Time{}) {
		t.Error("the sighting from before the standstill counts")
	}
	c.exchange(1, 250*time.Millisecond, 250*time.Millisecond)
	if c.known[2].isRecent(c.members[0], time.Time{}) {
		t.Error("the sighting from before the standstill was passed on")
	}
}

// Guards against heartbeats that repeat all reports, whose size is that of the fleet each time.
func TestSightingsCrossEachLinkOnceAnInterval(t *testing.T) {
	const heartbeats = 100
	c := newSightingChain(4)
	c.exchange(0, 100*time.Millisecond, 5*time.Second)
	sent := 0
	for range heartbeats {
		c.exchange(0, 100*time.Millisecond, 100*time.Millisecond)
		sent += len(c.known[2].reportTo("another", c.members[2]))
	}
	if limit := heartbeats / 10 * len(c.members) * 12 / 10; sent > limit {
		t.Errorf("%d reports of %d entries in %d heartbeats at 100 ms, want at most %d", sent, len(c.members), heartbeats, limit)
	}
}
