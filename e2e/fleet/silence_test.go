package fleet

import (
	"net/http"
	"testing"
	"time"
)

// pause is the time between two events of a sound target that falls silent: longer than an
// entry waits before it looks for another target, and shorter than callers wait.
const pause = 1800 * time.Millisecond

// Guards against answers that end because their target is silent (LOST, incident second-lost): an
// entry gave a stream up before it knew whether another target could go on with it.
func TestSilentStreamIsNotCut(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(r *rig)
	}{
		"no other target has the weights": {func(*rig) {}},
		"the other target refuses":        {func(r *rig) { r.startOtherEngine(0) }},
		"the other target is silent, too": {func(r *rig) { r.startOtherEngine(8).SetUnresponsive(true) }},
		"the other target crashes": {func(r *rig) {
			r.startOtherEngine(8).SetLosesAnswers(true)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			e := r.startEntryWithRetryBurst("entry-1", r.store.Address())
			r.engines[0].EventCount, r.engines[0].EventInterval = 3, pause
			answer := make(chan result, 1)
			go func() { answer <- r.call(e, http.MethodPost, "/chat/x", "prompt", nil) }()
			r.eventually("the stream runs", func() bool { return r.engines[0].TotalRuns() == 1 })
			c.prepare(r)
			if got := <-answer; got.status != http.StatusOK || got.err != nil || !isCompleteStream(got.body, 3) {
				t.Errorf("stream with pauses of %v = %+v, want events 1 to 3", pause, got)
			}
		})
	}
}

// Guards against failures that the target would not have caused: an idempotent call was given
// up after a silence, and no other target served it.
func TestSilentIdempotentCallIsAnswered(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	e := r.startEntryWithRetryBurst("entry-1", r.store.Address())
	r.plain[0].CallDuration, r.plain[1].CallDuration = pause, pause
	answer := make(chan result, 1)
	go func() { answer <- r.call(e, http.MethodGet, "/look/x", "", nil) }()
	r.eventually("the call runs", func() bool { return r.plain[0].TotalRuns()+r.plain[1].TotalRuns() == 1 })
	for _, p := range r.plain {
		p.SetUnresponsive(p.TotalRuns() == 0)
	}
	if got := <-answer; got.status != http.StatusOK {
		t.Errorf("call at a target that answers after %v = %+v, want status 200", pause, got)
	}
}
