package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Promise is a property of the product that must always hold.
type Promise string

// The promises that are checked.
const (
	// WholeStream: a stream that ends without an error has every event once, in order, and
	// all of one version.
	WholeStream Promise = "streams are whole and of one version"
	// TrueAnswer: a success is the back end's own answer to this request. A malformed
	// problem document of an entry violates it too.
	TrueAnswer Promise = "a success is the back end's answer"
	// OnceOnly: a request that may run only once ran at most once.
	OnceOnly Promise = "what may run once runs once at most"
	// TrueRefusal: a refused request that may run only once has not run and does not run
	// later.
	TrueRefusal Promise = "a refusal that says not run is true"
	// Answered: an entry whose process no fault disturbs answers every request.
	Answered Promise = "an undisturbed entry answers"
	// PlannedStop: a planned stop ends in time with status 0 and cuts no request off.
	PlannedStop Promise = "a planned stop ends well and cuts nothing"
	// StaysUp: no process exits unless it was stopped or killed.
	StaysUp Promise = "no process ends by itself"
	// VerifiedWeights: an engine loads only the verified pieces of its version.
	VerifiedWeights Promise = "only verified pieces are loaded"
	// NeverOlder: an entry does not return to an older manifest.
	NeverOlder Promise = "no entry goes back to an older manifest"
	// VersionBound: no run begins on an older version later than versionBound after a newer
	// version was announced.
	VersionBound Promise = "nothing begins on an older version past the bound"
	// DrainBound: no run begins at an engine later than drainBound after it began to drain.
	DrainBound Promise = "nothing begins at an engine that leaves past the bound"
	// EvacuationBound: no run begins in a zone later than evacuationBound after it was
	// evacuated.
	EvacuationBound Promise = "nothing begins in an evacuated zone past the bound"
	// LimitBound: a back end that limits its rate gets no more than that from all entries
	// together, with the platform's tolerance.
	LimitBound Promise = "no back end gets more than the limit that it names"
	// PartBound: entries do not go on sending requests with a part of a prompt that has
	// crashed five engines.
	PartBound Promise = "a part of a prompt that crashes engines reaches no more of them past the bound"
	// SoundBegins: sound requests that share the first part with those go on to begin.
	SoundBegins Promise = "sound requests begin although others crash engines"
	// RequestBound: entries do not go on sending a request that has crashed three back ends.
	RequestBound Promise = "a request that crashes back ends reaches no more of them past the bound"
	// BackoffBound: a back end that turns an entry away for a time gets nothing from it in that
	// time, with the platform's tolerance.
	BackoffBound Promise = "a back end gets nothing from an entry that it turned away for a time"
	// LeavingBound: a back end that says that it leaves gets nothing more from an entry that has
	// passed this on.
	LeavingBound Promise = "a back end that says that it leaves gets nothing more"
	// UncutStream: a stream is cut off only beside a fault that can cut it. An engine that
	// is silent for a while is none.
	UncutStream Promise = "no stream is cut without a fault that cuts"
	// Registered: once the faults are over, the store has the record by which each running
	// process is found.
	Registered Promise = "what a process published stands in the store"
	// Recovers: once the faults are over, every entry serves again and every engine holds
	// the newest version.
	Recovers Promise = "all serve again once the faults are over"
)

// AnswerPromises are the promises that are checked on every answer and every planned stop.
var AnswerPromises = []Promise{WholeStream, TrueAnswer, OnceOnly, TrueRefusal, Answered, PlannedStop}

// Violation is one case in which a promise did not hold.
type Violation struct {
	Promise Promise
	At      time.Time
	Detail  string
}

// Count counts the requests of a kind by their outcome.
type Count struct {
	Sent, Served, Refused, Failed, Cut, Unanswered int
}

// Checker checks answers against the promises and records violations. It is safe for
// concurrent use.
type Checker struct {
	// streamEvents is the number of events of a stream; runCount returns how often an
	// attempt ran.
	streamEvents int
	runCount     func(attempt string) int

	mu         sync.Mutex
	counts     [kindCount]Count
	violations []Violation
	// atMostOnce are the attempts that may run only once; refused are those of them whose
	// answer said that they had not run.
	atMostOnce, refused []string
}

// NewChecker returns a checker for streams of the given number of events. runCount returns
// how often an attempt ran.
func NewChecker(streamEvents int, runCount func(attempt string) int) *Checker {
	return &Checker{streamEvents: streamEvents, runCount: runCount}
}

// AddViolation records that a promise was broken.
func (c *Checker) AddViolation(p Promise, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, Violation{Promise: p, At: time.Now(), Detail: fmt.Sprintf(format, args...)})
}

// CheckAnswer checks an answer. undisturbed reports whether no fault disturbed the process
// of the entry in the meantime.
func (c *Checker) CheckAnswer(a Answer, undisturbed bool) {
	c.countOutcome(a)
	c.recordPayAttempt(a)
	if a.Status == 0 && undisturbed {
		c.AddViolation(Answered, "%s %s got no answer from %s after %v: %v", a.Kind, a.Attempt, a.Entry.Name, a.End.Sub(a.Start), a.Err)
	}
	if a.Kind == Pay && a.Refused() {
		if n := c.runCount(a.Attempt); n > 0 {
			c.AddViolation(TrueRefusal, "%s %s was refused with status %d but ran %d times", a.Kind, a.Attempt, a.Status, n)
		}
	}
	if !a.Served() {
		return
	}
	if a.Kind == Chat {
		if problem := streamProblem(a.Body, c.streamEvents, a.Weights); problem != "" {
			c.AddViolation(WholeStream, "%s: %s", a.Attempt, problem)
		}
		return
	}
	if !strings.HasPrefix(a.Body, a.Sent) || !strings.HasSuffix(a.Stamp, "-"+a.Attempt) {
		c.AddViolation(TrueAnswer, "%s %s got body %q with stamp %q", a.Kind, a.Attempt, a.Body, a.Stamp)
	}
}

func (c *Checker) countOutcome(a Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := &c.counts[a.Kind]
	count.Sent++
	switch {
	case a.Status == 0:
		count.Unanswered++
	case a.Err != nil:
		count.Cut++
	case a.Served():
		count.Served++
	case a.Refused():
		count.Refused++
	default:
		count.Failed++
	}
}

func (c *Checker) recordPayAttempt(a Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.Kind != Pay {
		return
	}
	c.atMostOnce = append(c.atMostOnce, a.Attempt)
	if a.Refused() {
		c.refused = append(c.refused, a.Attempt)
	}
}

// CheckRuns checks how often the attempts had run in the end: a request can still run after
// its answer.
func (c *Checker) CheckRuns() {
	c.mu.Lock()
	atMostOnce, refused := c.atMostOnce, c.refused
	c.mu.Unlock()
	for _, attempt := range atMostOnce {
		if n := c.runCount(attempt); n > 1 {
			c.AddViolation(OnceOnly, "%s ran %d times", attempt, n)
		}
	}
	for _, attempt := range refused {
		if n := c.runCount(attempt); n > 0 {
			c.AddViolation(TrueRefusal, "%s was refused but had run %d times in the end", attempt, n)
		}
	}
}

// Violations returns the violations so far.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Violation(nil), c.violations...)
}

// Counts returns the outcomes of the requests of each kind.
func (c *Checker) Counts() [kindCount]Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}
