package fixed

import (
	"context"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/settings"
)

// Follower gives a view that never changes to what follows the settings.
type Follower struct{ View *View }

// Current returns the view.
func (f Follower) Current() settings.View { return f.View }

// Ready reports true.
func (f Follower) Ready() bool { return true }

// Changed returns a channel that is never closed.
func (f Follower) Changed() <-chan struct{} { return nil }

// Observe does nothing.
func (f Follower) Observe(contract.Offset) {}

// Serve returns no records.
func (f Follower) Serve(contract.SettingsPull) contract.SettingsRecords {
	return contract.SettingsRecords{Newest: f.View.At}
}

// Run waits until ctx ends.
func (f Follower) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}
