package soak

import (
	"context"
	"net/http"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/harness"
	standin "mimosastand.example/mimosastand/standin/fleet"
)

// manifestPause is the time between two looks at an entry's manifest.
const manifestPause = 300 * time.Millisecond

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
		if newest := t.fleet.ManifestVersion(); newest > seen && routes(t, entry, newest) {
			seen = newest
		}
		if seen > 1 && routes(t, entry, seen-1) && entry.UndisturbedSince(since) {
			t.ledger.AddViolation(NeverOlder, "%s routes by manifest %d after %d", entry.Name, seen-1, seen)
		}
	}
}

// routes reports whether an entry knows a manifest and the route of the given version.
func routes(t *Traffic, entry *harness.Machine, version int) bool {
	status, reason := t.probe(entry, standin.GenerationPath(version))
	return status != 0 && status != http.StatusNotFound && reason != contract.ReasonSettingsNotReady
}
