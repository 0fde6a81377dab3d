package contract

// Outcome tells what is known about whether a request ran.
type Outcome uint8

const (
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means that the request did not start and never will.
	OutcomeNotRun
	// OutcomeDone means that the request ran and its whole answer is known.
	OutcomeDone
)

// String returns "unknown", "not run" or "done".
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "not run"
	case OutcomeDone:
		return "done"
	default:
		return "unknown"
	}
}

// AttemptState is what a target knows about one attempt.
type AttemptState uint8

const (
	// AttemptUnheard means that the target has no record of the attempt and
	// cannot vouch for the time before its own start.
	AttemptNoRecord AttemptState = iota
	// AttemptNeverRan means that the attempt did not start and that the target
	// holds a tombstone, so that it never will.
	AttemptNeverRan
	// AttemptQueued means that the attempt waits at the target's gate.
	AttemptQueued
	// AttemptRunning means that the back end works on the attempt.
	AttemptRunning
	// AttemptDone means that the attempt finished and its answer is kept.
	AttemptDone
	// AttemptForgotten means that the attempt finished but its answer is no
	// longer kept.
	AttemptAnswerDropped
	// AttemptBroken means that the attempt started and that its end is not known.
	AttemptOutcomeUnknown
)

// String returns the state in lower case.
func (s AttemptState) String() string {
	names := [...]string{"unheard", "never ran", "queued", "running", "done", "forgotten", "broken"}
	if int(s) < len(names) {
		return names[s]
	}
	return "invalid"
}
