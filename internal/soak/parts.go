package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"mimosastand.example/mimosastand/internal/harness"
	standins "mimosastand.example/mimosastand/standin/fleet"
)

const (
	// firstPartCount is the number of first parts that prompts share, and sessionCount that
	// of the sessions.
	firstPartCount = 3
	sessionCount   = 20
	// chatsPerBad is how many chat requests there are to one with the part that crashes
	// engines.
	chatsPerBad = 10
	// sharedTokens and ownTokens are the sizes of parts.
	sharedTokens = 40
	ownTokens    = 20
)

// sentPrompt is a request with a prompt that was sent.
type sentPrompt struct {
	attempt string
	at      time.Time
	entry   *harness.Machine
	parts   []string
}

// holds reports whether the prompt has a part.
func (p sentPrompt) holds(id string) bool { return slices.Contains(p.parts, id) }

// promptParts draws the parts of prompts and records what was sent. A prompt has a first part
// that many share, a part of its session and a part of its own.
type promptParts struct {
	mu sync.Mutex
	// ownCount and badCount number the parts of requests and the parts that crash engines.
	ownCount, badCount int
	// bad is the part that crashes engines, or empty; badFirst is the first part of the
	// prompts that have it.
	bad, badFirst string
	sent          []sentPrompt
}

func firstPart(index int) string { return fmt.Sprintf("f0%06x", index) }

// drawSound returns the parts of a sound prompt.
func (p *promptParts) drawSound() []standins.PromptPart {
	return p.newPrompt(firstPart(rand.IntN(firstPartCount)), fmt.Sprintf("50%06x", rand.IntN(sessionCount)))
}

func (p *promptParts) newPrompt(first, second string) []standins.PromptPart {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ownCount++
	own := fmt.Sprintf("00%06x", p.ownCount)
	return []standins.PromptPart{{ID: first, Tokens: sharedTokens}, {ID: second, Tokens: sharedTokens}, {ID: own, Tokens: ownTokens}}
}

// drawsBad reports whether a chat request is to be followed by one whose prompt crashes
// engines.
func (p *promptParts) drawsBad() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bad != "" && rand.IntN(chatsPerBad) == 0
}

// beginBad has requests carry a new part that crashes engines, behind the first part with the
// given index, and returns both.
func (p *promptParts) beginBad(firstIndex int) (bad, first string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.badCount++
	p.bad, p.badFirst = fmt.Sprintf("bad%05x", p.badCount), firstPart(firstIndex)
	return p.bad, p.badFirst
}

func (p *promptParts) endBad() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bad = ""
}

// record records a request that has a prompt.
func (p *promptParts) record(a Answer) {
	if len(a.prompt) == 0 {
		return
	}
	sent := sentPrompt{attempt: a.Attempt, at: a.Start, entry: a.Entry}
	for _, part := range a.prompt {
		sent.parts = append(sent.parts, part.ID)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent = append(p.sent, sent)
}

// list lists the requests with prompts so far.
func (p *promptParts) list() []sentPrompt {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.sent)
}

// sendBadAndCheck sends a request whose prompt crashes engines to a random entry and checks
// its answer.
func (t *Traffic) sendBadAndCheck(ctx context.Context) {
	t.parts.mu.Lock()
	bad, first := t.parts.bad, t.parts.badFirst
	t.parts.mu.Unlock()
	entry, ok := t.pickEntry()
	if !ok || bad == "" || ctx.Err() != nil {
		return
	}
	t.exchangeAndCheck(entry, func() Answer {
		a := Answer{Kind: Chat, Attempt: fmt.Sprintf("bad-%d", t.ids.Add(1)), Entry: entry, Start: time.Now()}
		a.prompt = t.parts.newPrompt(first, bad)
		return t.send(a, http.MethodPost, standins.ChatPath+"x", "prompt")
	})
}
