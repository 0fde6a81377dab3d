package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/platform"
)

// Guards against all entries of a zone pulling a large manifest over the link between regions at
// the same time, and against an entry that never may: the last of 44 may within half of the 3 s in
// which a configuration is to be in force everywhere, and the rest of the time is for the transfer.
// Small manifests are pulled by all at the same time.
func TestEntriesTakeTurnsToPullLargeRecords(t *testing.T) {
	const zone = 44
	for _, c := range []struct {
		after time.Duration
		most  int
	}{{240 * time.Millisecond, 0}, {500 * time.Millisecond, 1}, {900 * time.Millisecond, 2}, {1200 * time.Millisecond, 4}, {2500 * time.Millisecond, zone}} {
		pulling := 0
		for rank := range zone {
			if RemotePullDelay(rank, LargeTopicBytes) <= c.after {
				pulling++
			}
		}
		if pulling > c.most || c.most == zone && pulling < zone {
			t.Errorf("%d entries may pull %v after the report, want %d at most, and all at last", pulling, c.after, c.most)
		}
	}
	for rank := range zone {
		if got := RemotePullDelay(rank, LargeTopicBytes-1); got != remoteGracePeriod {
			t.Errorf("RemotePullDelay(%d) of a small topic = %v, want %v", rank, got, remoteGracePeriod)
		}
	}
}

// Guards against entries that are all due at once for a version because an earlier one arrived
// late: in a run with versions 1.8 s apart, 14 entries pulled each of them at the same time.
func TestRecordsThatArriveBeginNewDelay(t *testing.T) {
	start := time.Now()
	offsets := newPeerOffsets()
	offsets.observe(start, "entry-1", 1, 0)
	offsets.observe(start.Add(1800*time.Millisecond), "entry-1", 2, 0)
	now := start.Add(2 * time.Second)
	if got := offsets.untilDue(now, 0, time.Second); got > 0 {
		t.Errorf("due in %v while the first record is missing, want it due", got)
	}
	if got, want := offsets.untilDue(now, 1, time.Second), 800*time.Millisecond; got != want {
		t.Errorf("due in %v after the first record has arrived, want %v", got, want)
	}
}

// transferZone is a zone of entries that are linked to each other, behind a link to another
// region of which one peer, "far", holds each version when it is written.
type transferZone struct {
	bytesPerSecond float64
	// link holds one element while the link is free; it is passed on after each part.
	link    chan struct{}
	entries []*transferEntry

	// packs is set if the far peer compresses what it sends.
	packs  bool
	packer *Packer

	mu      sync.Mutex
	newest  contract.Records
	copies  map[int64]int
	written map[int64]time.Time
}

// transferEntry is an entry of a transferZone; it is the source of its own Catchup.
type transferEntry struct {
	zone    *transferZone
	id      contract.MachineID
	feed    *feed.Feed
	catchup *Catchup
	slots   chan struct{}
}

// newManifest returns the JSON of a manifest with some routes.
func newManifest(t *testing.T, routes int) []byte {
	type route struct {
		Host, Path, Service, Team, Objective string
		Priority, DeadlineMS                 int
		Regions                              []string
	}
	var list []route
	for i := range routes {
		list = append(list, route{
			Host: fmt.Sprintf("tenant-%d.example", i*7919%routes), Path: fmt.Sprintf("/v1/draft/%x", i*104729), Service: fmt.Sprint("service-", i%5),
			Team: fmt.Sprint("team-", i%97), Objective: "400ms", Priority: i % 3, DeadlineMS: 4000 + i%11*250, Regions: []string{"first", "second", "third"},
		})
	}
	data, err := json.MarshalIndent(list, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return data
}

const (
	farPeer          = contract.MachineID("far")
	manifestRoutes   = 1930
	linkPartBytes    = 16 << 10
	localTransfer    = 30 * time.Millisecond
	heartbeatTransit = 60 * time.Millisecond
	configBound      = 3 * time.Second
)

// newTransferZone returns a zone of n entries of which the first ones are gone, and which hold a
// manifest.
func newTransferZone(n, gone int, bytesPerSecond float64, manifest []byte) *transferZone {
	z := &transferZone{bytesPerSecond: bytesPerSecond, packer: NewPacker(), link: make(chan struct{}, 1), copies: map[int64]int{}, written: map[int64]time.Time{}}
	z.link <- struct{}{}
	for rank := gone; rank < n; rank++ {
		e := &transferEntry{zone: z, id: contract.MachineID(fmt.Sprint("entry-", rank)), slots: make(chan struct{}, 3)}
		e.feed = feed.New(nil, feed.Options{Topic: platform.TopicOperators, OnChange: func(feed.Update) { go z.tell(e) }, Log: &log.Logger{Handler: discard.Default, Level: log.InfoLevel}})
		e.catchup = newCatchup(e, e.feed, platform.TopicOperators, 0)
		e.catchup.SetDelays(func() time.Duration { return 0 }, func() time.Duration { return RemotePullDelay(rank, e.feed.HeldBytes()) })
		z.entries = append(z.entries, e)
	}
	for _, e := range z.entries {
		e.feed.Merge(contract.Records{Records: []contract.Record{{Offset: 0, Key: "config", Value: manifest}}, Synced: true})
	}
	return z
}

// tell reports to the other entries of the zone what one of them holds.
func (z *transferZone) tell(from *transferEntry) {
	time.Sleep(heartbeatTransit)
	for _, e := range z.entries {
		if e != from {
			e.catchup.ObservePeerOffset(from.id, from.feed.NewestOffset())
		}
	}
}

// write makes a version known to the far peer, which reports it to all entries.
func (z *transferZone) write(offset int64, manifest []byte) {
	z.mu.Lock()
	z.newest = contract.Records{Records: []contract.Record{{Offset: offset, Key: "config", Value: manifest}}, Synced: true, Newest: offset}
	z.written[offset] = time.Now()
	z.mu.Unlock()
	time.Sleep(heartbeatTransit)
	for _, e := range z.entries {
		e.catchup.ObserveRemotePeerOffset(farPeer, offset)
	}
}

// PullFrom implements recordSource.
func (e *transferEntry) PullFrom(ctx context.Context, id contract.MachineID, _ string, after int64) (contract.Records, error) {
	if id == farPeer {
		return e.zone.transfer(ctx)
	}
	for _, peer := range e.zone.entries {
		if peer.id != id {
			continue
		}
		select {
		case peer.slots <- struct{}{}:
			time.Sleep(localTransfer)
			<-peer.slots
			return peer.feed.RecordsAfter(after), nil
		default:
			return contract.Records{}, ErrBusy
		}
	}
	return contract.Records{}, ErrNoPeer
}

// Pull implements recordSource.
func (e *transferEntry) Pull(context.Context, string, int64) (contract.Records, error) {
	return contract.Records{}, nil
}

// transfer sends the newest version over the link, which all transfers share.
func (z *transferZone) transfer(ctx context.Context) (contract.Records, error) {
	z.mu.Lock()
	records := z.newest
	z.copies[records.Newest]++
	z.mu.Unlock()
	bytes := 0
	for _, r := range z.packer.Pack(contract.RecordsPull{AcceptPacked: z.packs}, records.Records) {
		bytes += len(r.Value) + len(r.Packed)
	}
	for sent := 0; sent < bytes; sent += linkPartBytes {
		<-z.link
		time.Sleep(time.Duration(linkPartBytes / z.bytesPerSecond * float64(time.Second)))
		z.link <- struct{}{}
		if ctx.Err() != nil {
			return contract.Records{}, ctx.Err()
		}
	}
	return records, nil
}

// late returns how many entries use a version that is older than one written longer than the
// bound ago.
func (z *transferZone) late() (count int) {
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, e := range z.entries {
		for offset, at := range z.written {
			if offset > e.feed.NewestOffset() && time.Since(at) > configBound {
				count++
				break
			}
		}
	}
	return count
}

// Guards against a zone that falls behind by 12 s while versions of a large manifest follow each
// other: all of its 14 entries pulled each version over the link between regions, which carried
// weights too, so that each arrived late and the next one later still. The load here is a version
// of 1,930 routes every 1.8 s over half of a link of 25 Mbit/s, which the entries that wait at the
// store do not bring. In the first case the peer in the other region is an older process that does
// not compress; in the second four entries are gone and still count as running.
func TestZoneKeepsUpWithVersionsBehindNarrowLink(t *testing.T) {
	const entries, versions, interval = 14, 10, 1800 * time.Millisecond
	manifest := newManifest(t, manifestRoutes)
	t.Logf("manifest of %d bytes, %d compressed", len(manifest), len(NewPacker().dataOf(contract.Record{Value: manifest})))
	for _, c := range []struct {
		gone, maxCopies int
		packs           bool
	}{{gone: 0, maxCopies: 3}, {gone: 4, maxCopies: 3, packs: true}} {
		synctest.Test(t, func(t *testing.T) {
			z := newTransferZone(entries, c.gone, 12.5e6/8, manifest)
			z.packs = c.packs
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			for _, e := range z.entries {
				wg.Go(func() { e.catchup.Run(ctx) })
			}
			wg.Go(func() {
				for offset := range int64(versions) {
					z.write(offset+1, manifest)
					time.Sleep(interval - heartbeatTransit)
				}
			})
			worst := 0
			for range int((versions*interval + configBound) / (50 * time.Millisecond)) {
				time.Sleep(50 * time.Millisecond)
				worst = max(worst, z.late())
			}
			if worst > 0 {
				t.Errorf("%+v: up to %d entries used a configuration %v after a newer one was written", c, worst, configBound)
			}
			cancel()
			wg.Wait()
			time.Sleep(time.Minute) // transfers in progress end
			for offset, n := range z.copies {
				if n > c.maxCopies {
					t.Errorf("%+v: %d copies of version %d crossed the link", c, n, offset)
				}
			}
		})
	}
}
