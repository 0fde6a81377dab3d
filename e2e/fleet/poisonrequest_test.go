package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
	entrydirect "mimosastand.example/mimosastand/machine/entry/direct"
	standins "mimosastand.example/mimosastand/standin/fleet"
)

const (
	// crashesUntilRequestBound is the number of crashes by one request, and learningTime the
	// time after the last of them, from which it may reach engines maxPastBound times at most.
	crashesUntilRequestBound = 3
	// minServedShare is the share of the sound requests that must be served from twice
	// learningTime on.
	minServedShare = 0.95
	// badBody is the body of the request that crashes engines.
	badBody = "crash"
)

// badRequest is a request that crashes the engines that run it, whichever entry sends it.
type badRequest struct {
	method, path, body string
	// prompt holds the parts of its prompt, which sound requests share.
	prompt []standins.PromptPart
}

func (b badRequest) key() string { return standins.RequestKey(b.method, b.path, "team-1", b.body) }

// repeatTraffic sends sound requests of all kinds, and bad ones that their callers repeat once
// if the answer allows it.
type repeatTraffic struct {
	r     *rig
	calls sync.WaitGroup
	// counts is set while sound requests are counted, in sound and served. refused counts the
	// sound requests that were refused because of what crashes engines, at any time.
	counts                 atomic.Bool
	sound, served, refused atomic.Int64
}

func (p *repeatTraffic) entry() *entrydirect.Entry { return p.r.entries[rand.IntN(len(p.r.entries))] }

// run sends requests for some time. The bad one, if there is one, comes every badInterval.
func (p *repeatTraffic) run(duration time.Duration, bad *badRequest) {
	const soundInterval, badInterval = 12 * time.Millisecond, 400 * time.Millisecond
	var lastBad time.Time
	start := time.Now()
	for n := 0; time.Since(start) < duration; n++ {
		p.calls.Go(func() { p.sendSound(n) })
		if bad != nil && time.Since(lastBad) >= badInterval {
			lastBad = time.Now()
			p.calls.Go(func() { p.sendBad(*bad) })
		}
		time.Sleep(soundInterval)
	}
	p.calls.Wait()
}

// sendSound sends a request that differs from the bad ones by its body or its path only.
func (p *repeatTraffic) sendSound(n int) {
	counts := p.counts.Load()
	request := standins.Request{Method: http.MethodPost, Path: standins.PayPath + "x", Body: fmt.Sprintf("amount %d", n)}
	switch n % 4 {
	case 0, 1:
		request.Path, request.Prompt = standins.ChatPath+"x", sharedPrompt(n)
	case 2:
		request.Method, request.Path, request.Body = http.MethodGet, fmt.Sprintf("%sx%d", standins.LookPath, n), ""
	}
	request.Entry = p.entry().CallerAddress()
	got := p.r.send(request, nil)
	if strings.Contains(got.body, string(contract.ReasonPoisonedPrompt)) {
		p.refused.Add(1)
	}
	if counts {
		p.sound.Add(1)
		if got.status == http.StatusOK && got.err == nil {
			p.served.Add(1)
		}
	}
}

// sendBad sends the bad request, and once more after a failure unless it may run only once.
func (p *repeatTraffic) sendBad(bad badRequest) {
	for range 2 {
		got := p.r.send(standins.Request{
			Entry: p.entry().CallerAddress(), Method: bad.method, Path: bad.path, Body: bad.body, Prompt: bad.prompt,
		}, nil)
		if strings.HasPrefix(bad.path, standins.PayPath) || got.status == http.StatusServiceUnavailable {
			return
		}
	}
}

// sharedPrompt returns a prompt with one of few shared parts and one of its own.
func sharedPrompt(n int) []standins.PromptPart {
	const shared = 12
	return []standins.PromptPart{{ID: fmt.Sprintf("5a%02x", n%shared), Tokens: 40}, {ID: fmt.Sprintf("0b%06x", n), Tokens: 100}}
}

// Guards against a request that comes again and crashes one engine after the other (BUDGET,
// incident inc1): entries remembered parts of prompts only, so that plain calls were never
// refused, and blamed the parts that a bad prompt shares with sound ones.
func TestRequestThatCrashesEnginesIsRefused(t *testing.T) {
	for name, bad := range map[string]badRequest{
		"stream":               {method: http.MethodPost, path: standins.ChatPath + "x", body: badBody, prompt: sharedPrompt(0)},
		"plain read":           {method: http.MethodGet, path: standins.LookPath + "bad"},
		"call to be made once": {method: http.MethodPost, path: standins.PayPath + "x", body: badBody},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testCrashingRequest(t, bad)
		})
	}
}

func testCrashingRequest(t *testing.T, bad badRequest) {
	r := newCrashRig(t)
	p := &repeatTraffic{r: r}
	p.run(soundTime, nil)
	for _, e := range r.allEngines() {
		e.SetCrashCauses(standins.CrashCauses{Requests: []string{bad.key()}})
	}
	time.AfterFunc(2*learningTime, func() { p.counts.Store(true) })
	p.run(badTime, &bad)

	crashes, late := r.crashesAndLateArrivals(crashesUntilRequestBound, func(a standins.Arrival) bool { return a.Key == bad.key() })
	t.Logf("%d crashes, %d sendings past the bound, %d of %d sound requests served, %d refused for what crashes engines",
		crashes, late, p.served.Load(), p.sound.Load(), p.refused.Load())
	if crashes == 0 || late > maxPastBound {
		t.Errorf("%d engines crashed and the request reached engines %d times later than %v after the third crash, want at least 1 and at most %d",
			crashes, late, learningTime, maxPastBound)
	}
	if sound, served := p.sound.Load(), p.served.Load(); float64(served) < minServedShare*float64(sound) {
		t.Errorf("%d of %d sound requests served, want at least %.2f of them", served, sound, minServedShare)
	}
	if refused := p.refused.Load(); refused > 0 {
		t.Errorf("%d sound requests refused for what crashes engines, want 0", refused)
	}
}
