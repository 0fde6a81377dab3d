package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Promise is something that must always hold.
type Promise string

// The promises that are checked.
const (
	// WholeStream: a stream that ends well has every event once, in order, of one version.
	WholeStream Promise = "streams are whole and of one version"
	// TrueAnswer: a success is the back end's own answer to this request.
	TrueAnswer Promise = "a success is the back end's answer"
	// OnceOnly: a call that may run once only ran at most once.
	OnceOnly Promise = "what may run once runs once at most"
	// TrueRefusal: a call that may run once only and is refused has not run, and does
	// not later.
	TrueRefusal Promise = "a refusal that says not run is true"
	// Answered: an entry that nothing disturbs answers.
	Answered Promise = "an undisturbed entry answers"
	// PlannedStop: a planned stop ends well and leaves nothing unanswered.
	PlannedStop Promise = "a planned stop ends well and cuts nothing"
	// StaysUp: no process ends by itself.
	StaysUp Promise = "no process ends by itself"
	// VerifiedWeights: an engine loads only the pieces of its version.
	VerifiedWeights Promise = "only verified pieces are loaded"
	// NeverOlder: an entry does not go back to an older manifest.
	NeverOlder Promise = "no entry goes back to an older manifest"
	// VersionBound: nothing begins on an older version past the bound.
	VersionBound Promise = "nothing begins on an older version past the bound"
	// DrainBound: nothing begins at an engine that leaves past the bound.
	DrainBound Promise = "nothing begins at an engine that leaves past the bound"
	// EvacuationBound: nothing begins in an evacuated zone past the bound.
	EvacuationBound Promise = "nothing begins in an evacuated zone past the bound"
	// Recovers: once the faults are over, every entry serves and every engine holds
	// the newest version.
	Recovers Promise = "all serve again once the faults are over"
)

// OfAnswers are the promises that are checked on every answer and process.
var AnswerPromises = []Promise{WholeStream, TrueAnswer, OnceOnly, TrueRefusal, Answered, PlannedStop}

// Violation is one break of a promise.
type Violation struct {
	Promise Promise
	At      time.Time
	Detail  string
}

// Count tells how the requests of a kind ended.
type Count struct {
	Sent, Served, Refused, Failed, Cut, Unanswered int
}

// Ledger holds what was seen. It is safe for concurrent use.
type Checker struct {
	// events is the length of a stream, runs tells how often an attempt ran.
	events int
	runs   func(attempt string) int

	mu     sync.Mutex
	counts [Kinds]Count
	broken []Violation
	// once are the attempts that may run once only, notRun those that were said not
	// to have run.
	once, notRun []string
}

// NewLedger returns an empty ledger.
func NewChecker(events int, runs func(attempt string) int) *Checker {
	return &Checker{events: events, runs: runs}
}

// Break records that a promise was broken.
func (l *Checker) AddViolation(p Promise, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = append(l.broken, Violation{Promise: p, At: time.Now(), Detail: fmt.Sprintf(format, args...)})
}

// Take checks an answer. undisturbed tells that nothing befell the entry meanwhile.
func (l *Checker) CheckAnswer(a Answer, undisturbed bool) {
	l.count(a)
	l.remember(a)
	if a.Status == 0 && undisturbed {
		l.AddViolation(Answered, "%s %s at %s after %v: %v", a.Kind, a.Attempt, a.Entry.Name, a.End.Sub(a.Start), a.Err)
	}
	if a.Kind == Pay && a.Refused() {
		if n := l.runs(a.Attempt); n > 0 {
			l.AddViolation(TrueRefusal, "%s %s answered %d, ran %d times", a.Kind, a.Attempt, a.Status, n)
		}
	}
	if !a.Served() {
		return
	}
	if a.Kind == Chat {
		if problem := streamProblem(a.Body, l.events, a.Weights); problem != "" {
			l.AddViolation(WholeStream, "%s: %s", a.Attempt, problem)
		}
		return
	}
	if !strings.HasPrefix(a.Body, a.Sent) || !strings.HasSuffix(a.Stamp, "-"+a.Attempt) {
		l.AddViolation(TrueAnswer, "%s %s: %q stamped %q", a.Kind, a.Attempt, a.Body, a.Stamp)
	}
}

func (l *Checker) count(a Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &l.counts[a.Kind]
	c.Sent++
	switch {
	case a.Status == 0:
		c.Unanswered++
	case a.Err != nil:
		c.Cut++
	case a.Served():
		c.Served++
	case a.Refused():
		c.Refused++
	default:
		c.Failed++
	}
}

func (l *Checker) remember(a Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.Kind != Pay {
		return
	}
	l.once = append(l.once, a.Attempt)
	if a.Refused() {
		l.notRun = append(l.notRun, a.Attempt)
	}
}

// Close checks what can still have come true after the answers.
func (l *Checker) CheckRuns() {
	l.mu.Lock()
	once, notRun := l.once, l.notRun
	l.mu.Unlock()
	for _, attempt := range once {
		if n := l.runs(attempt); n > 1 {
			l.AddViolation(OnceOnly, "%s ran %d times", attempt, n)
		}
	}
	for _, attempt := range notRun {
		if n := l.runs(attempt); n > 0 {
			l.AddViolation(TrueRefusal, "%s ran %d times in the end", attempt, n)
		}
	}
}

// Broken lists the violations so far.
func (l *Checker) Violations() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Violation(nil), l.broken...)
}

// Counts tells how the requests of each kind ended.
func (l *Checker) Counts() [Kinds]Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}
