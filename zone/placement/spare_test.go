package placement

import (
	"testing"
	"time"
)

// Guards against a second attempt that is predicted to begin after the first one: the limit of a large
// prompt, which an idle target may exceed, must not be extended for it.
func TestSpareBeginsWithinItsLimit(t *testing.T) {
	large := Requirements{PromptTokens: 12000, AnswerTokens: 96}
	p := newPool(engineMember("x", "a"))
	p.SetSizeAware(true)
	first, outcome := p.Pick(start, large, 300*time.Millisecond)
	if outcome != Placed {
		t.Fatalf("Pick() of a large prompt: refusal %d, want Placed", outcome)
	}
	left := first.FirstEventDelay - time.Millisecond
	if c, ok := p.PickSpare(start, large, left); ok {
		t.Errorf("PickSpare() = %s after %v, want none, since the first attempt begins after %v", c.ID, c.FirstEventDelay, left)
	}
	if _, ok := p.PickSpare(start, large, first.FirstEventDelay); !ok {
		t.Error("PickSpare() found no target although one begins within the limit")
	}
}
