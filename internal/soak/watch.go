package soak

import (
	"context"
	"net/http"
	"sync"
	"time"

	"mimosastand.example/mimosastand/internal/harness"
	standin "mimosastand.example/mimosastand/standin/fleet"
)

const (
	// manifestPause is the time between two looks at an entry's manifest.
	manifestPause = 300 * time.Millisecond
	// versionBound is how long after a version was named requests may begin on an
	// older one, the default of the settings; drainBound how long after an engine
	// said that it leaves.
	versionBound = 8 * time.Second
	drainBound   = 3 * time.Second
	// boundSlack is what the stand-ins may take to write down when a request began.
	boundSlack = 200 * time.Millisecond
)

// watchManifests looks on at an entry until ctx ends: once it routes by a manifest, it
// never again routes by an older one while the process lives.
func watchManifests(ctx context.Context, t *Traffic, entry *harness.Machine) {
	ticker := time.NewTicker(manifestPause)
	defer ticker.Stop()
	seen, since := 0, time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !entry.UndisturbedSince(since) || since.IsZero() {
			seen, since = 0, time.Now()
		}
		if newest := t.fleet.Manifest(); newest > seen && routes(t, entry, newest) {
			seen = newest
		}
		if seen > 1 && routes(t, entry, seen-1) && entry.UndisturbedSince(since) {
			t.ledger.Break(NeverOlder, "%s routes by manifest %d after %d", entry.Name, seen-1, seen)
		}
	}
}

func routes(t *Traffic, entry *harness.Machine, version int) bool {
	status := t.status(entry, standin.GenerationPath(version))
	return status != 0 && status != http.StatusNotFound
}

// namings remembers when versions were named.
type namings struct {
	mu sync.Mutex
	at map[int64]time.Time
}

func (n *namings) add(version int64, at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.at[version] = at
}

// check looks whether a request began on an older version past the bound of one.
func (n *namings) check(l *Ledger, engines []*standin.Engine) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for version, at := range n.at {
		for _, e := range engines {
			if last := e.BegunBefore(version); last.After(at.Add(versionBound + boundSlack)) {
				l.Break(VersionBound, "%s began one on an older version %v after version %d was named", e.ID, last.Sub(at), version)
			}
		}
	}
}
