package soak

import (
	"context"
	"net/http"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/harness"
	standins "mimosastand.example/mimosastand/standin/fleet"
)

// manifestPollInterval is the time between two checks of an entry's manifest.
const manifestPollInterval = 300 * time.Millisecond

// watchManifests polls an entry until ctx ends. It records a violation if the entry has
// routed by a manifest and then routes by the previous one while the same process runs
// undisturbed.
func watchManifests(ctx context.Context, t *Traffic, entry *harness.Machine) {
	ticker := time.NewTicker(manifestPollInterval)
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
		if newest := t.fleet.ManifestVersion(); newest > seen && hasManifestRoute(t, entry, newest) {
			seen = newest
		}
		if seen > 1 && hasManifestRoute(t, entry, seen-1) && entry.UndisturbedSince(since) {
			t.checker.AddViolation(NeverOlder, "%s routes by manifest %d after manifest %d", entry.Name, seen-1, seen)
		}
	}
}

// hasManifestRoute reports whether an entry has a manifest that contains the route of the
// given manifest version.
func hasManifestRoute(t *Traffic, entry *harness.Machine, version int) bool {
	status, reason := t.requestPath(entry, standins.ManifestRoutePath(version))
	return status != 0 && status != http.StatusNotFound && reason != contract.ReasonSettingsNotReady
}
