package gate

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/target/answers"
	"mimosastand.example/mimosastand/machine/target/coldstart"
)

// Config holds what does not change while a target runs.
type Config struct {
	Service     contract.ServiceName
	Incarnation contract.Incarnation
	// Model tells that the back end is a model engine.
	Model bool
	// MaxQueue and MaxQueueBytes bound the queue.
	MaxQueue      int
	MaxQueueBytes int
	// ResumeGrace is how long idempotent work runs on after its stream broke.
	ResumeGrace time.Duration
	// MaxTransit bounds the time that a message is under way on a link.
	MaxTransitTime time.Duration
	// SenderSilence is how long a sender counts after it was last heard.
	SenderTimeout time.Duration
	// MaxGap is the time between two steps that counts as a pause of the process;
	// its user ticks much more often. 0 means that no gap does.
	PauseThreshold time.Duration
	// PauseGrace is how long after a pause arriving attempts are refused: they may
	// have waited through it, and the settings may be those of before it.
	PauseGrace time.Duration
	// MaxDrain bounds the time for which a Drain holds back new work.
	DrainTimeout time.Duration
	Answers      answers.Limits
}

// DefaultConfig holds the defaults of a target process.
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

// Settings are what the gate takes from the operators' settings.
type Settings struct {
	// Ready tells that settings are known; before, nothing is accepted.
	Ready bool
	// Offset is the highest record applied, Relevant the highest one that
	// concerns the target's zone or its service's deployment.
	Offset, RelevantOffset contract.Offset
	// ZoneOut tells that operators have taken the target's zone out.
	ZoneEvacuated bool
	Limits        coldstart.Settings
}
