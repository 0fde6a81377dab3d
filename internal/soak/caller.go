package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/harness"
	"mimosastand.example/mimosastand/machine/entry/problem"
	standin "mimosastand.example/mimosastand/standin/fleet"
)

const (
	// callTimeout is how long a caller waits for the whole answer.
	callTimeout = 20 * time.Second
	// chatPause, payPause and lookPause are the time between two requests of a kind.
	chatPause = 40 * time.Millisecond
	payPause  = 30 * time.Millisecond
	lookPause = 50 * time.Millisecond
	// maxAtOnce bounds the requests of a kind that run at once.
	maxAtOnce = 100
	// lossSlack is how long a request may be held that a stopping entry does not answer,
	// the platform's loss_slack_ms.
	lossSlack = 200 * time.Millisecond
)

// Traffic sends requests to the entries of a fleet until it is stopped.
type Traffic struct {
	fleet  *harness.Fleet
	ledger *Checker
	client *http.Client
	ids    atomic.Int64
	// unplanned is when anything but operators and the store harmed the fleet.
	unplanned harness.Impairments
	// senders holds the entry that each attempt went to.
	senders sync.Map
	wg      sync.WaitGroup
}

// NewTraffic returns traffic that enters what it gets into a ledger.
func NewTraffic(fleet *harness.Fleet, ledger *Checker) *Traffic {
	return &Traffic{
		fleet:  fleet,
		ledger: ledger,
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxAtOnce}},
	}
}

// Run sends requests of all kinds until ctx ends and waits for the last answers.
func (t *Traffic) Run(ctx context.Context) {
	pauses := [Kinds]time.Duration{chatPause, payPause, lookPause}
	for kind := range Kinds {
		t.wg.Go(func() { t.send(ctx, kind, pauses[kind]) })
	}
	t.wg.Wait()
	t.client.CloseIdleConnections()
}

func (t *Traffic) send(ctx context.Context, kind Kind, pause time.Duration) {
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	room := make(chan struct{}, maxAtOnce)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		entry, ok := t.pick()
		if !ok {
			continue
		}
		select {
		case room <- struct{}{}:
		default:
			continue
		}
		t.wg.Go(func() {
			defer func() { <-room }()
			t.callAndTake(kind, entry)
		})
	}
}

// callAndTake sends one request to an entry and enters its answer.
func (t *Traffic) callAndTake(kind Kind, entry *harness.Machine) {
	stopping := entry.Stopping()
	a := t.SendRequest(kind, entry)
	t.ledger.CheckAnswer(a, entry.UndisturbedSince(a.Start))
	if problem := t.stopProblem(a, stopping); problem != "" {
		t.ledger.AddViolation(PlannedStop, "%s cut %s %s after %v: %v", entry.Name, a.Attempt, problem, a.End.Sub(a.Start), a.Err)
	}
}

// stopProblem tells how a planned stop has cut a request; "" if it has not. stopping
// tells that the entry was stopping when the request was sent.
func (t *Traffic) stopProblem(a Answer, stopping bool) string {
	lasted := a.End.Sub(a.Start)
	stopped := a.Entry.OnlyStoppedSince(a.Start)
	switch {
	case a.Err == nil:
		return ""
	case a.Status == 0 && stopped:
		return "without an answer"
	case !stopping && !stopped, !t.unplanned.NoneWithin(a.End, stableWindow+lasted):
		return ""
	case a.Status != 0:
		return "in the middle of its answer"
	case t.fleet.RunCount(a.Attempt) > 0:
		return "that was sent during the stop and ran"
	case lasted > lossSlack:
		return "that was sent during the stop and held"
	}
	return ""
}

// pick draws an entry that serves, or that is stopping as planned: callers use open
// connections until the process is gone.
func (t *Traffic) pick() (*harness.Machine, bool) {
	var up []*harness.Machine
	for _, e := range t.fleet.Entries {
		if e.Serving() || e.Stopping() {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		return nil, false
	}
	return up[rand.IntN(len(up))], true
}

// Call sends one request to an entry.
func (t *Traffic) SendRequest(kind Kind, entry *harness.Machine) Answer {
	a := Answer{Kind: kind, Attempt: fmt.Sprintf("%s-%d", kind, t.ids.Add(1)), Entry: entry, Start: time.Now()}
	method, path, body := http.MethodPost, standin.ChatPath+"x", "prompt"
	switch kind {
	case Pay:
		path, body = standin.PayPath+a.Attempt, "amount"
	case Look:
		method, path, body = http.MethodGet, standin.LookPath+a.Attempt, ""
	}
	a.Sent = strings.TrimSpace(fmt.Sprintf("%s %s %s", method, path, body))
	t.exchange(&a, method, path, body)
	a.End = time.Now()
	return a
}

// Sender is the entry that an attempt went to; nil if it is not known.
func (t *Traffic) Sender(attempt string) *harness.Machine {
	entry, ok := t.senders.Load(attempt)
	if !ok {
		return nil
	}
	return entry.(*harness.Machine)
}

// AllServe fails with what is missing unless every entry serves every kind of request
// now.
func (t *Traffic) CheckAllServe() error {
	for _, e := range t.fleet.Entries {
		for kind := range Kinds {
			if a := t.SendRequest(kind, e); !a.Served() {
				return errors.Newf("soak: %s answers a %s with %d, %v", e.Name, kind, a.Status, a.Err)
			}
		}
	}
	return nil
}

func (t *Traffic) exchange(a *Answer, method, path, body string) {
	resp, err := t.do(a.Entry, a.Attempt, method, path, body)
	if err != nil {
		a.Err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	a.Status, a.Body, a.Err = resp.StatusCode, string(data), err
	marks := standin.DecodeAnswerHeaders(resp.Header)
	a.Stamp, a.Weights = marks.Stamp, marks.Weights
}

func (t *Traffic) do(entry *harness.Machine, attempt, method, path, body string) (*http.Response, error) {
	t.senders.Store(attempt, entry)
	req, err := standin.Request{
		AttemptID: attempt, APIKey: harness.FleetKey, Entry: entry.CallerAddress, Method: method, Path: path, Body: body,
	}.NewHTTPRequest()
	if err != nil {
		return nil, err
	}
	return t.client.Do(req)
}

// probe is the status of an entry's answer on a path, 0 if there was none, and the
// reason if the entry gave one of its own.
func (t *Traffic) probe(entry *harness.Machine, path string) (int, contract.Reason) {
	resp, err := t.do(entry, fmt.Sprintf("probe-%d", t.ids.Add(1)), http.MethodGet, path, "")
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.Header.Get("Content-Type") != problem.MediaType {
		return resp.StatusCode, ""
	}
	var p problem.Problem
	if err := json.Unmarshal(data, &p); err != nil {
		t.ledger.AddViolation(TrueAnswer, "%s on %s: %q: %v", entry.Name, path, data, err)
	}
	return resp.StatusCode, p.Reason
}
