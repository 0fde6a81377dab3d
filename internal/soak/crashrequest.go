package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"mimosastand.example/mimosastand/internal/harness"
	standins "mimosastand.example/mimosastand/standin/fleet"
)

const (
	// crashesUntilRequestBound is the number of crashes by one request after which the bound
	// begins, and maxLateRepeats how often it may reach back ends past it.
	crashesUntilRequestBound = 3
	maxLateRepeats           = 3
	// badRequestInterval is the time between two sendings of a request that crashes back ends.
	badRequestInterval = 400 * time.Millisecond
)

// crashingRequest is a request that crashes the back ends that run it.
type crashingRequest struct {
	kind               Kind
	method, path, body string
	// from and to bound the time in which it did.
	from, to time.Time
}

func (r crashingRequest) key() string {
	return standins.RequestKey(r.method, r.path, harness.FleetTeam, r.body)
}

// crashOnRequest has one request crash back ends, and callers repeat it, until the returned
// function is called.
func (i *injector) crashOnRequest(kind Kind) func() {
	r := crashingRequest{kind: kind, method: http.MethodPost, path: standins.ChatPath, body: "crash", from: time.Now()}
	switch kind {
	case Pay:
		r.path = standins.PayPath
	case Look:
		r.method, r.path, r.body = http.MethodGet, standins.LookPath, ""
	}
	r.path += fmt.Sprintf("bad-%d", i.traffic.ids.Add(1))
	i.fleet.SetCrashCauses(standins.CrashCauses{Requests: []string{r.key()}})
	done := make(chan struct{})
	i.traffic.wg.Go(func() { i.traffic.repeat(r, done) })
	return func() {
		close(done)
		i.fleet.SetCrashCauses(standins.CrashCauses{})
		r.to = time.Now()
		i.bounds.mu.Lock()
		defer i.bounds.mu.Unlock()
		i.bounds.requests = append(i.bounds.requests, r)
	}
}

// repeat sends a request to random entries until done is closed.
func (t *Traffic) repeat(r crashingRequest, done <-chan struct{}) {
	ticker := time.NewTicker(badRequestInterval)
	defer ticker.Stop()
	for {
		if entry, ok := t.pickEntry(); ok {
			t.wg.Go(func() { t.exchangeAndCheck(entry, func() Answer { return t.sendCrashing(r, entry) }) })
		}
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}

func (t *Traffic) sendCrashing(r crashingRequest, entry *harness.Machine) Answer {
	a := Answer{Kind: r.kind, Attempt: fmt.Sprintf("crash-%d", t.ids.Add(1)), Entry: entry, Start: time.Now()}
	if r.kind == Chat {
		a.prompt = t.parts.drawSound()
	}
	return t.send(a, r.method, r.path, r.body)
}

// checkRequests checks that the requests that crashed back ends were not sent on past the bound, by
// entries and on paths that were unimpaired. senderOf returns the entry that sent an attempt, or
// nil.
func (b *bounds) checkRequests(checker *Checker, backEnds []*standins.Engine, senderOf func(string) *harness.Machine) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.requests {
		crashes, arrivals := r.record(backEnds, senderOf)
		if len(crashes) < crashesUntilRequestBound {
			continue
		}
		bound, late := crashes[crashesUntilRequestBound-1].Add(stableWindow), 0
		for _, a := range arrivals {
			if a.StartedAt.After(bound) && b.isStable(a) {
				late++
			}
		}
		if late > maxLateRepeats {
			checker.AddViolation(RequestBound, "%s crashed %d back ends and reached them %d times later than %v after the third, allowed %d",
				r.key(), len(crashes), late, stableWindow, maxLateRepeats)
		}
	}
}

// record returns when the request crashed back ends, in order, and where it arrived.
func (r crashingRequest) record(backEnds []*standins.Engine, senderOf func(string) *harness.Machine) (crashes []time.Time, arrivals []run) {
	attempts := map[string]bool{}
	for _, e := range backEnds {
		for _, a := range e.Arrivals() {
			if a.Key != r.key() {
				continue
			}
			attempts[a.AttemptID] = true
			arrivals = append(arrivals, run{Run: standins.Run{AttemptID: a.AttemptID, StartedAt: a.At}, engine: e, sender: senderOf(a.AttemptID)})
		}
	}
	for _, e := range backEnds {
		for _, c := range e.Crashes() {
			if attempts[c.AttemptID] {
				crashes = append(crashes, c.At)
			}
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	return crashes, arrivals
}
