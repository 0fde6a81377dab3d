package contract

// Outcome states what is known about whether a request ran.
type Outcome uint8

const (
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means that the request did not start and never will.
	OutcomeNotRun
	// OutcomeDone means that the request ran and its complete answer is known.
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

// AttemptState is the state of an attempt as far as a target knows it.
type AttemptState uint8

const (
	// AttemptNoRecord means that the target has no record of the attempt and cannot rule
	// out that it ran: the attempt may have been sent before this process started, or
	// longer ago than the process retains records.
	AttemptNoRecord AttemptState = iota
	// AttemptNeverRan means that the attempt did not start and never will, since the
	// target holds a tombstone for it.
	AttemptNeverRan
	// AttemptQueued means that the attempt waits in the target's queue.
	AttemptQueued
	// AttemptRunning means that the back end is running the attempt.
	AttemptRunning
	// AttemptDone means that the attempt finished and its answer is stored.
	AttemptDone
	// AttemptAnswerDropped means that the attempt finished but its answer is no longer
	// stored.
	AttemptAnswerDropped
	// AttemptOutcomeUnknown means that the attempt started but did not finish with a
	// complete answer, so that it may have run completely or in part.
	AttemptOutcomeUnknown
)

// String returns the name of the state that traces show, in lower case. Three names differ
// from the constants: "unheard" is AttemptNoRecord, "forgotten" is AttemptAnswerDropped and
// "broken" is AttemptOutcomeUnknown.
func (s AttemptState) String() string {
	names := [...]string{"unheard", "never ran", "queued", "running", "done", "forgotten", "broken"}
	if int(s) < len(names) {
		return names[s]
	}
	return "invalid"
}
