package fleet

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	entrydirect "mimosastand.example/mimosastand/machine/entry/direct"
	standins "mimosastand.example/mimosastand/standin/fleet"
)

// narrowPath relays connections to a server. All of them share a rate in the direction from the
// server, as connections over a link between two regions do.
type narrowPath struct {
	listener       net.Listener
	server         string
	bytesPerSecond float64
	sent           atomic.Int64
	// free holds one element while no part is being sent.
	free chan struct{}
}

const pathPartBytes = 8 << 10

func newNarrowPath(t *testing.T, server string, bytesPerSecond float64) *narrowPath {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		t.Fatal(err)
	}
	p := &narrowPath{listener: listener, server: server, bytesPerSecond: bytesPerSecond, free: make(chan struct{}, 1)}
	p.free <- struct{}{}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go p.relay(client)
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return p
}

func (p *narrowPath) relay(client net.Conn) {
	defer func() { _ = client.Close() }()
	server, err := net.Dial("tcp", p.server)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	// A small buffer bounds what counts as sent to a client that no longer reads.
	_ = client.(*net.TCPConn).SetWriteBuffer(pathPartBytes)
	go func() {
		_, _ = io.Copy(server, client)
		_ = server.Close()
	}()
	part := make([]byte, pathPartBytes)
	for {
		n, err := server.Read(part)
		if err != nil {
			return
		}
		<-p.free
		time.Sleep(time.Duration(float64(n) / p.bytesPerSecond * float64(time.Second)))
		p.free <- struct{}{}
		if _, err := client.Write(part[:n]); err != nil {
			return
		}
		p.sent.Add(int64(n))
	}
}

// launchEntry starts an entry without waiting until it is ready. The returned function stops it
// and waits until it has stopped.
func (r *rig) launchEntry(name, store string) (e *entrydirect.Entry, stop func()) {
	p := r.newProcessConfig("entry", name)
	p.Fleet.Store = store
	e, err := entrydirect.New(p)
	if err != nil {
		r.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(r.ctx)
	done := make(chan struct{})
	r.wg.Go(func() {
		defer close(done)
		_ = e.Run(ctx)
	})
	return e, func() {
		cancel()
		<-done
	}
}

// Guards against entries that each read a large manifest over the link between regions when they
// start, and so hold it late, as do the others what is written meanwhile: 18 entries took 1.3 to
// 3.1 s for that after a loss of power. The load is a zone of 12 entries of which 8 start anew when
// a version of a manifest of about 400 KB is written, three times; 17 Mbit/s connect them to the
// store. A version is in force at all entries that run within 3 s, and few copies cross the link.
func TestLargeManifestReachesZoneWhoseEntriesStart(t *testing.T) {
	t.Parallel()
	const entries, restarted, keys, configBound, maxCopies = 12, 8, 8000, 3 * time.Second, 6.0
	r := newBareRig(t, pieceCount)
	path := newNarrowPath(t, r.store.Address(), 17e6/8)
	list, stops := make([]*entrydirect.Entry, entries), make([]func(), entries)
	launch := func(i int) {
		list[i], stops[i] = r.launchEntry(fmt.Sprintf("entry-%02d", i), path.listener.Addr().String())
	}
	for i := range entries {
		launch(i)
	}
	r.awaitManifest(list, time.Now(), eventuallyTimeout)
	manifestBytes := 0
	for i := range keys {
		r.apiKeys = append(r.apiKeys, fmt.Sprintf("key-%08x-%08x-%08x-%08x-%08x", i*2654435761, i*40503, i*7919, i*104729, i))
		manifestBytes += len(r.apiKeys[i])
	}
	time.Sleep(2 * time.Second) // until the entries are linked
	r.writeManifest()
	r.awaitManifest(list, time.Now(), configBound)
	for range 3 {
		time.Sleep(2 * time.Second) // until the entries that have started are linked
		before := path.sent.Load()
		var restarts sync.WaitGroup
		for i := entries - restarted; i < entries; i++ {
			restarts.Go(func() {
				stops[i]()
				launch(i)
			})
		}
		restarts.Wait()
		r.writeManifest()
		took := r.awaitManifest(list, time.Now(), configBound)
		copies := float64(path.sent.Load()-before) / float64(manifestBytes)
		t.Logf("version %d in force after %v; %.1f times its keys were read", r.manifestVersion, took, copies)
		if copies > maxCopies {
			t.Errorf("%.1f times the manifest's keys read while %d of %d entries started, want %v at most", copies, restarted, entries, maxCopies)
		}
	}
}

// awaitManifest waits until all entries have the newest manifest in force, and returns how long
// after a time that was. An entry for which it takes longer than a bound fails the test.
func (r *rig) awaitManifest(entries []*entrydirect.Entry, since time.Time, bound time.Duration) time.Duration {
	r.t.Helper()
	// Requests without a route are refused with 404, those of another key after that with 401.
	path := standins.ManifestRoutePath(r.manifestVersion) + "x"
	otherKey := func(h http.Header) { h.Set("Authorization", "Bearer other") }
	var wg sync.WaitGroup
	for i, e := range entries {
		wg.Go(func() {
			for r.call(e, http.MethodGet, path, "", otherKey).status != http.StatusUnauthorized {
				if time.Since(since) > bound {
					r.t.Errorf("manifest %d is not in force at entry %d within %v", r.manifestVersion, i, bound)
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return time.Since(since)
}
