package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/claims"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/zone/hostlist"
)

var (
	// ErrCredentials marks errors caused by an unusable certificate or key.
	ErrCredentials = errors.New("entry: unusable credentials")
	// ErrListen marks errors caused by an address that cannot be opened or served.
	ErrListen = errors.New("entry: cannot listen")
)

// Settings follows the operators' settings. It is safe for concurrent use.
type Settings interface {
	// Current returns the newest view.
	Current() settings.View
	// Ready reports whether the view has caught up.
	Ready() bool
	// Changed returns a channel that is closed at the next change of Current or Ready.
	Changed() <-chan struct{}
	// Observe reports that a peer has applied the records up to an offset.
	Observe(peer contract.Offset)
	// Serve returns the records that answer a peer's pull.
	Serve(pull contract.SettingsPull) contract.SettingsRecords
	// Run follows the records until ctx ends, and returns ctx's error.
	Run(ctx context.Context) error
}

// Options replaces components of an entry. A component that is nil is created from the
// process's configuration.
type Options struct {
	// Settings follows the operators' settings.
	Settings Settings
	// Hosts reads the host list.
	Hosts hostlist.Reader
	// Claims decides about idempotency keys.
	Claims claims.Claimer
	// HostsInterval is the interval between two reads of the host list.
	HostsInterval time.Duration
}
