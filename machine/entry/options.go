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
	// ErrCredentials marks a certificate or key that cannot be used.
	ErrCredentials = errors.New("entry: unusable credentials")
	// ErrListen marks an address that cannot be opened.
	ErrListen = errors.New("entry: cannot listen")
)

// Settings follows the tree of settings. It is safe for concurrent use.
type Settings interface {
	// Current returns the newest view.
	Current() settings.View
	// Ready reports whether the view has caught up.
	Ready() bool
	// Changed returns a channel that is closed at the next change of Current
	// or Ready.
	Changed() <-chan struct{}
	// Observe tells that a peer has applied records up to offset.
	Observe(peer contract.Offset)
	// Serve answers a peer's pull.
	Serve(pull contract.SettingsPull) contract.SettingsRecords
	// Run follows the records until ctx ends, and returns its error.
	Run(ctx context.Context) error
}

// Options replaces parts of an entry; nil fields take what the process's
// settings name.
type Options struct {
	// Settings follows the tree of settings.
	Settings Settings
	// Hosts reads the host list.
	Hosts hostlist.Reader
	// Claims decides about idempotency keys.
	Claims claims.Claimer
	// HostsInterval is the time between two polls of the host list.
	HostsInterval time.Duration
}
