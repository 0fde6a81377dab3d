package dispatch

import (
	"bytes"
	"fmt"

	"mimosastand.example/mimosastand/bench/serving/fake"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/retry"
	"mimosastand.example/mimosastand/settings"
)

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// deliver checks that a stream has no gap, no repetition and one digest.
func (w *world) deliver(d Deliver) {
	had := w.streams[d.Request]
	if d.At != uint64(len(had)) {
		w.fault("%s: part at %d after %d parts", d.Request, d.At, len(had))
	}
	w.streams[d.Request] = append(had, d)
}

func (w *world) finish(f Finish) {
	if _, twice := w.finished[f.Request]; twice {
		w.fault("%s finished twice", f.Request)
	}
	w.finished[f.Request] = f
	if f.Outcome == contract.OutcomeDone {
		w.checkAnswer(w.requests[f.Request], f)
	}
}

func (w *world) checkAnswer(r Request, f Finish) {
	if r.Kind == settings.KindPlain {
		if !bytes.Equal(f.Answer.Body, fake.Part(r.ID, "", 0)) {
			w.fault("%s: answer %q is not its own", r.ID, f.Answer.Body)
		}
		return
	}
	if len(w.streams[r.ID]) != worldTokens {
		w.fault("%s: %d of %d tokens passed off as whole", r.ID, len(w.streams[r.ID]), worldTokens)
	}
	for _, d := range w.streams[r.ID] {
		if !bytes.Equal(d.Data, fake.Part(r.ID, f.Weights, d.At)) {
			w.fault("%s: part %d is not of %s", r.ID, d.At, f.Weights.Short())
		}
	}
}

// check compares what the machine told with what the targets did.
func (w *world) check() {
	for id, r := range w.requests {
		f, ok := w.finished[id]
		if !ok {
			w.fault("%s has no answer", id)
			continue
		}
		runs := 0
		for _, t := range w.targets {
			runs += t.Runs[id]
		}
		if f.Outcome == contract.OutcomeNotRun && runs > 0 {
			w.fault("%s is told not run (%s) and ran", id, f.Reason)
		}
		if !r.Idempotent && runs > 1 {
			w.fault("%s ran %d times", id, runs)
		}
	}
	if allowed := 2*retry.Burst + 0.2*float64(w.first); float64(w.budgeted) > allowed {
		w.fault("%d retries for %d requests", w.budgeted, w.first)
	}
}

// unknowns counts requests that may not be repeated whose outcome is unknown
// although they had the time.
func (w *world) unknowns() int {
	n := 0
	for id, f := range w.finished {
		if f.Outcome == contract.OutcomeUnknown && f.Reason != contract.ReasonDeadline && !w.requests[id].Idempotent {
			n++
		}
	}
	return n
}
