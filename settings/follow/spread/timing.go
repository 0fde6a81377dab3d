package spread

import "time"

// Timing holds the intervals and bounds of the spread.
type Timing struct {
	// TailWait is how long one long poll of the log waits.
	TailWait time.Duration
	// ReadRetry is the pause after a failed read of the log.
	ReadRetry time.Duration
	// PullRetry is the pause after a failed pull, or one that brought nothing.
	PullRetry time.Duration
	// QuietLimit is how long a process that does not tail may hear no peer
	// before it reads the log itself.
	QuietLimit time.Duration
	// AuditEvery is how often a process that does not tail reads the log.
	AuditEvery time.Duration
	// BehindLimit is how long a process may know of a newer offset and serve.
	BehindLimit time.Duration
	// PauseLimit is the gap between two events that counts as a pause of the
	// process; the daemon ticks much more often.
	PauseLimit time.Duration
	// PeerPatience is how long peers are asked before a checkpoint of the log
	// is trusted.
	PeerPatience time.Duration
	// CheckpointEvery and CheckpointRecords make a checkpoint due.
	CheckpointEvery   time.Duration
	CheckpointRecords int
	// SubmitRetry is the pause between two tries of a submitted change.
	SubmitRetry time.Duration
	// EnoughPeers is how many answers make up for the log while it is down.
	EnoughPeers int
	// TailersPerZone is how many processes of a zone tail the log.
	TailersPerZone int
}

const (
	defaultTailWait          = 10 * time.Second
	defaultReadRetry         = 500 * time.Millisecond
	defaultPullRetry         = 250 * time.Millisecond
	defaultQuietLimit        = 5 * time.Second
	defaultAuditEvery        = 5 * time.Minute
	defaultBehindLimit       = 3 * time.Second
	defaultPauseLimit        = 5 * time.Second
	defaultPeerPatience      = 3 * time.Second
	defaultCheckpointEvery   = 10 * time.Minute
	defaultSubmitRetry       = 100 * time.Millisecond
	defaultCheckpointRecords = 1024
	defaultEnoughPeers       = 2
	defaultTailersPerZone    = 3
)

// WithDefaults fills the zero fields.
func (t Timing) WithDefaults() Timing {
	duration := func(field *time.Duration, def time.Duration) {
		if *field <= 0 {
			*field = def
		}
	}
	count := func(field *int, def int) {
		if *field <= 0 {
			*field = def
		}
	}
	duration(&t.TailWait, defaultTailWait)
	duration(&t.ReadRetry, defaultReadRetry)
	duration(&t.PullRetry, defaultPullRetry)
	duration(&t.QuietLimit, defaultQuietLimit)
	duration(&t.AuditEvery, defaultAuditEvery)
	duration(&t.BehindLimit, defaultBehindLimit)
	duration(&t.PauseLimit, defaultPauseLimit)
	duration(&t.PeerPatience, defaultPeerPatience)
	duration(&t.SubmitRetry, defaultSubmitRetry)
	duration(&t.CheckpointEvery, defaultCheckpointEvery)
	count(&t.CheckpointRecords, defaultCheckpointRecords)
	count(&t.EnoughPeers, defaultEnoughPeers)
	count(&t.TailersPerZone, defaultTailersPerZone)
	return t
}
