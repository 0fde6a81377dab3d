package follow_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/durable"
	"mimosastand.example/mimosastand/settings/follow"
	"mimosastand.example/mimosastand/settings/follow/spread"
	"mimosastand.example/mimosastand/settings/follow/spread/sim"
)

// flakyLog fails at any step of a submission: an append without effect, an
// append whose reply is lost, a read.
type flakyLog struct {
	*sim.Log
	mu    sync.Mutex
	rng   *rand.Rand
	share float64
}

func (l *flakyLog) fails() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64() < l.share
}

func (l *flakyLog) calm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share = 0
}

// Append implements durable.Log.
func (l *flakyLog) Append(ctx context.Context, stream string, data []byte) (contract.Offset, error) {
	if l.fails() {
		return 0, durable.ErrUnavailable
	}
	offset, err := l.Log.Append(ctx, stream, data)
	if l.fails() {
		return 0, durable.ErrUncertain
	}
	return offset, err
}

// Read implements durable.Log.
func (l *flakyLog) Read(ctx context.Context, stream string, after contract.Offset, wait time.Duration) (durable.Batch, error) {
	if l.fails() {
		return durable.Batch{}, durable.ErrUnavailable
	}
	return l.Log.Read(ctx, stream, after, wait)
}

// TestSubmitIsTruthful submits over a log that fails at any step and gives up
// after a short while: "accepted" means in force, "not accepted" means that
// nothing was appended, and after "unknown" the same change sent again takes
// effect exactly once.
func TestSubmitIsTruthful(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		log := &flakyLog{Log: sim.NewLog(time.Now), rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))}
		f := run(t, follow.Options{Log: log, Timing: spread.Timing{SubmitRetry: time.Millisecond, ReadRetry: time.Millisecond}})
		await(t, f, f.Ready)
		log.mu.Lock()
		log.share = rapid.SampledFrom([]float64{0.1, 0.5, 0.9}).Draw(rt, "share")
		log.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		_, err := f.Submit(ctx, change("c", 0, "true"))
		switch {
		case err == nil:
			if !f.Current().Zone("", "a").Out {
				rt.Fatal("accepted and not in force")
			}
		case errors.Is(err, follow.ErrNotAccepted):
			if log.Newest() != 0 {
				rt.Fatal("not accepted and appended")
			}
		case !errors.Is(err, follow.ErrUnknown):
			rt.Fatal(err)
		}
		log.calm()
		if _, err := f.Submit(context.Background(), change("c", 0, "true")); err != nil {
			rt.Fatal(err)
		}
		if outcomes := accepted(f); outcomes != 1 {
			rt.Fatalf("accepted %d times", outcomes)
		}
	})
}

func accepted(f *follow.Follower) int {
	n := 0
	for _, e := range f.History(0) {
		if e.Decision.Outcome.String() == "accepted" {
			n++
		}
	}
	return n
}
