package gate

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/target/answers"
	"mimosastand.example/mimosastand/machine/target/coldstart"
)

// Config holds the settings that stay the same while a target runs.
type Config struct {
	Service     contract.ServiceName
	Incarnation contract.Incarnation
	// Model is set if the back end is a model engine.
	Model bool
	// MaxQueue and MaxQueueBytes bound the queue.
	MaxQueue      int
	MaxQueueBytes int
	// ResumeGrace is how long idempotent work continues after its stream broke.
	ResumeGrace time.Duration
	// MaxTransitTime bounds the time that a message takes on a link.
	MaxTransitTime time.Duration
	// SenderTimeout is how long a sender counts as connected after its last message.
	SenderTimeout time.Duration
	// PauseThreshold is the time between two steps above which they count as separated by
	// a pause of the process; ticks are much more frequent. 0 disables the check.
	PauseThreshold time.Duration
	// PauseGrace is how long attempts are refused after a pause: they may have waited
	// during it, and the settings may date from before it.
	PauseGrace time.Duration
	// DrainTimeout is how long new work is refused after a Drain at most.
	DrainTimeout time.Duration
	Answers      answers.Limits
}

// DefaultConfig is the default configuration of a target process.
var DefaultConfig = Config{
	MaxQueue:       64,
	MaxQueueBytes:  4 << 20,
	ResumeGrace:    5 * time.Second,
	MaxTransitTime: 5 * time.Second,
	SenderTimeout:  5 * time.Second,
	PauseThreshold: 3 * time.Second,
	PauseGrace:     time.Second,
	DrainTimeout:   30 * time.Second,
	Answers:        answers.DefaultLimits,
}

// Settings is the part of the operators' settings that the gate uses.
type Settings struct {
	// Ready is set once settings are known. No attempt is accepted before.
	Ready bool
	// Offset is that of the newest record applied, RelevantOffset that of the newest one
	// that concerns the target's zone or its service's deployment.
	Offset, RelevantOffset contract.Offset
	// ZoneEvacuated is set while operators have evacuated the target's zone.
	ZoneEvacuated bool
	Limits        coldstart.Settings
}
