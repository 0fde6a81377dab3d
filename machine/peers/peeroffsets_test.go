package peers

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/platform"
)

// Guards against manifests that arrive at shorter intervals than the grace period: each
// one postponed an entry's catching up, for as long as they arrived.
func TestNewReportsDoNotPostponeCatchup(t *testing.T) {
	start := time.Now()
	offsets := newPeerOffsets()
	const gracePeriod, interval = 400 * time.Millisecond, 350 * time.Millisecond
	for i := range 3 {
		offsets.observe(start.Add(time.Duration(i)*interval), "entry-1", int64(i), -1)
	}
	if !offsets.isAhead(-1) || offsets.untilDue(start.Add(2*interval), -1, gracePeriod) > 0 {
		t.Errorf("pull not due %v after the process fell behind, want it due: %+v", 2*interval, offsets)
	}
	if offsets.observe(start.Add(time.Minute), "entry-1", 3, 2); offsets.untilDue(start.Add(time.Minute), 2, gracePeriod) <= 0 {
		t.Error("pull due at once after the process had caught up, want it due after the grace period")
	}
}

// Guards against pulling from one peer only: all processes that were behind pulled from
// the peer that had reported first, and saturated its link.
func TestRandomPeerPicksFromAllPeersAhead(t *testing.T) {
	offsets := newPeerOffsets()
	for _, id := range []contract.MachineID{"entry-1", "entry-2", "entry-3"} {
		offsets.observe(time.Now(), id, 7, -1)
	}
	picked := map[contract.MachineID]bool{}
	for range 200 {
		picked[offsets.randomPeer()] = true
	}
	if len(picked) != 3 {
		t.Errorf("peers picked = %v, want all 3 that reported the offset", picked)
	}
	offsets.removePeer("entry-2")
	offsets.removePeer("entry-1")
	if !offsets.isAhead(-1) || offsets.randomPeer() != "entry-3" {
		t.Errorf("offsets after 2 removals = %+v, want entry-3 ahead", offsets)
	}
	if offsets.removePeer("entry-3"); offsets.isAhead(-1) {
		t.Errorf("offsets after all removals = %+v, want no peer ahead", offsets)
	}
}

// Guards against entries that pull a large manifest from another region, over a narrow
// link, although other entries of their zone hold it or are about to.
func TestCatchupPrefersLocalPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := feed.New(nil, feed.Options{
			Topic:    platform.TopicOperators,
			OnChange: func(feed.Update) {},
			Log:      &log.Logger{Handler: discard.Default, Level: log.InfoLevel},
		})
		c := NewCatchup(nil, f, platform.TopicOperators, remoteGracePeriod/3)
		c.ObserveRemotePeerOffset("far", 4)
		time.Sleep(remoteGracePeriod / 2)
		if ahead := c.peerAhead(time.Now()); ahead.isDue {
			t.Errorf("peerAhead() = %+v within the grace period, want it not due", ahead)
		}
		c.ObservePeerOffset("near", 4)
		time.Sleep(remoteGracePeriod / 3)
		if ahead := c.peerAhead(time.Now()); !ahead.isDue || ahead.peer != "near" {
			t.Errorf("peerAhead() = %+v, want the local peer, due", ahead)
		}
		c.removePeer("near")
		time.Sleep(remoteGracePeriod)
		if ahead := c.peerAhead(time.Now()); !ahead.isDue || ahead.peer != "far" {
			t.Errorf("peerAhead() = %+v, want the remote peer, due", ahead)
		}
	})
}

// silentRemote is a source whose remote peer "far" never answers.
type silentRemote struct {
	local    contract.Records
	canceled chan struct{}
}

// PullFrom implements recordSource.
func (s silentRemote) PullFrom(ctx context.Context, id contract.MachineID, _ string, _ int64) (contract.Records, error) {
	if id != "far" {
		return s.local, nil
	}
	<-ctx.Done()
	close(s.canceled)
	return contract.Records{}, ctx.Err()
}

// Pull implements recordSource.
func (s silentRemote) Pull(context.Context, string, int64) (contract.Records, error) {
	return contract.Records{}, ErrNoPeer
}

// Guards against an entry that waits for a silent peer of another zone while a neighbour has the
// records, and against a pull that goes on over the link although it is needless.
func TestSilentRemotePeerDelaysNoLocalPull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := feed.New(nil, feed.Options{
			Topic: platform.TopicOperators, OnChange: func(feed.Update) {}, Log: &log.Logger{Handler: discard.Default, Level: log.InfoLevel},
		})
		f.Merge(contract.Records{Records: []contract.Record{{Offset: 3, Key: "config", Value: []byte("old")}}, Synced: true, Newest: 3})
		source := silentRemote{
			local:    contract.Records{Records: []contract.Record{{Offset: 4, Key: "config", Value: []byte("new")}}, Synced: true, Newest: 4},
			canceled: make(chan struct{}),
		}
		c := newCatchup(source, f, platform.TopicOperators, 0)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go c.Run(ctx)
		c.ObserveRemotePeerOffset("far", 4)
		time.Sleep(remoteGracePeriod + lagCheckInterval)
		c.ObservePeerOffset("near", 4)
		synctest.Wait()
		if got := f.NewestOffset(); got != 4 {
			t.Errorf("topic held up to %d at once after a neighbour has reported 4, want 4", got)
		}
		started := time.Now()
		<-source.canceled
		if took := time.Since(started); took > lagCheckInterval {
			t.Errorf("needless pull canceled after %v, want %v at most", took, lagCheckInterval)
		}
		cancel()
		time.Sleep(time.Second)
	})
}
