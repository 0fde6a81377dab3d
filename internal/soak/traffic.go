package soak

import (
	"context"
	"encoding/json"
	"fmt"
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
	standins "mimosastand.example/mimosastand/standin/fleet"
)

const (
	// requestTimeout bounds the time that a caller waits for the complete answer.
	requestTimeout = 20 * time.Second
	// chatInterval, payInterval and lookInterval are the times between two requests of a
	// kind.
	chatInterval = 40 * time.Millisecond
	payInterval  = 30 * time.Millisecond
	lookInterval = 50 * time.Millisecond
	// maxInFlight bounds the concurrent requests of a kind.
	maxInFlight = 100
	// lossSlack is the longest time that a stopping entry may hold a request that it does
	// not answer. It equals the platform's loss_slack_ms.
	lossSlack = 200 * time.Millisecond
	// maxAnswerBytes is more than any whole answer has.
	maxAnswerBytes = 1 << 20
)

// Traffic sends requests to the entries of a fleet until it is stopped.
type Traffic struct {
	fleet   *harness.Fleet
	checker *Checker
	client  *http.Client
	ids     atomic.Int64
	// unplannedFaults records when faults that can cut requests off were active.
	unplannedFaults harness.Impairments
	// entryByAttempt maps each attempt to the entry that it was sent to.
	entryByAttempt sync.Map
	// parts draws the parts of prompts and records them.
	parts promptParts
	// checkCuts enables the check that streams are cut by unplanned faults only, which need
	// to be recorded in unplannedFaults.
	checkCuts bool
	wg        sync.WaitGroup
}

// NewTraffic returns traffic to a fleet whose answers go to checker.
func NewTraffic(fleet *harness.Fleet, checker *Checker) *Traffic {
	return &Traffic{
		fleet:   fleet,
		checker: checker,
		client:  &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight}},
	}
}

// Run sends requests of all kinds until ctx ends, then waits for the last answers.
func (t *Traffic) Run(ctx context.Context) {
	intervals := [kindCount]time.Duration{chatInterval, payInterval, lookInterval}
	for kind := range kindCount {
		t.wg.Go(func() { t.sendPeriodically(ctx, kind, intervals[kind]) })
	}
	t.wg.Wait()
	t.client.CloseIdleConnections()
}

func (t *Traffic) sendPeriodically(ctx context.Context, kind Kind, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	slots := make(chan struct{}, maxInFlight)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		entry, ok := t.pickEntry()
		if !ok {
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			continue
		}
		t.wg.Go(func() {
			defer func() { <-slots }()
			t.sendAndCheck(kind, entry)
		})
		if kind == Chat && t.parts.drawsBad() {
			t.wg.Go(func() { t.sendBadAndCheck(ctx) })
		}
	}
}

// sendAndCheck sends one request to an entry and checks its answer.
func (t *Traffic) sendAndCheck(kind Kind, entry *harness.Machine) {
	t.exchangeAndCheck(entry, func() Answer { return t.SendRequest(kind, entry) })
}

// exchangeAndCheck sends a request to an entry and checks its answer.
func (t *Traffic) exchangeAndCheck(entry *harness.Machine, send func() Answer) {
	stopping := entry.Stopping()
	a := send()
	t.checker.CheckAnswer(a, entry.UndisturbedSince(a.Start))
	if description := t.plannedStopProblem(a, stopping); description != "" {
		t.checker.AddViolation(PlannedStop, "%s cut request %s %s after %v: %v", entry.Name, a.Attempt, description, a.End.Sub(a.Start), a.Err)
	}
	if t.checkCuts && t.isCutWithoutCause(a) {
		t.checker.AddViolation(UncutStream, "%s cut stream %s after %v: %v", entry.Name, a.Attempt, a.End.Sub(a.Start), a.Err)
	}
}

// plannedStopProblem describes how a planned stop cut the request off; it is empty if none
// did. stopping reports whether the entry was stopping when the request was sent.
func (t *Traffic) plannedStopProblem(a Answer, stopping bool) string {
	duration := a.End.Sub(a.Start)
	stopped := a.Entry.OnlyStoppedSince(a.Start)
	switch {
	case a.Err == nil:
		return ""
	case a.Status == 0 && stopped:
		return "without an answer"
	case !stopping && !stopped, !t.unplannedFaults.NoneWithin(a.End, stableWindow+duration):
		return ""
	case a.Status != 0:
		return "in the middle of its answer"
	case t.fleet.RunCount(a.Attempt) > 0:
		return "that was sent during the stop and ran"
	case duration > lossSlack:
		return "that was sent during the stop and held"
	}
	return ""
}

// pickEntry picks a random entry that serves or is in a planned stop. Stopping entries are
// included because callers keep using open connections until the process has exited.
func (t *Traffic) pickEntry() (*harness.Machine, bool) {
	var candidates []*harness.Machine
	for _, e := range t.fleet.Entries {
		if e.Serving() || e.Stopping() {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return nil, false
	}
	return candidates[rand.IntN(len(candidates))], true
}

// SendRequest sends one request to an entry and returns its answer.
func (t *Traffic) SendRequest(kind Kind, entry *harness.Machine) Answer {
	a := Answer{Kind: kind, Attempt: fmt.Sprintf("%s-%d", kind, t.ids.Add(1)), Entry: entry, Start: time.Now()}
	method, path, body := http.MethodPost, standins.ChatPath+"x", "prompt"
	switch kind {
	case Chat:
		a.prompt = t.parts.drawSound()
	case Pay:
		path, body = standins.PayPath+a.Attempt, "amount"
	case Look:
		method, path, body = http.MethodGet, standins.LookPath+a.Attempt, ""
	}
	return t.send(a, method, path, body)
}

// send sends the request of an answer that is prepared, and completes the answer.
func (t *Traffic) send(a Answer, method, path, body string) Answer {
	t.parts.record(a)
	a.Sent = strings.TrimSpace(fmt.Sprintf("%s %s %s", method, path, body))
	t.exchange(&a, method, path, body)
	a.End = time.Now()
	return a
}

// Sender returns the entry that an attempt was sent to, or nil if the attempt is unknown.
func (t *Traffic) Sender(attempt string) *harness.Machine {
	entry, ok := t.entryByAttempt.Load(attempt)
	if !ok {
		return nil
	}
	return entry.(*harness.Machine)
}

// CheckAllServe sends one request of each kind to every entry and returns an error for the
// first request that is not served.
func (t *Traffic) CheckAllServe() error {
	for _, e := range t.fleet.Entries {
		for kind := range kindCount {
			if a := t.SendRequest(kind, e); !a.Served() {
				return errors.Newf("soak: %s answered a %s request with status %d, error %v", e.Name, kind, a.Status, a.Err)
			}
		}
	}
	return nil
}

func (t *Traffic) exchange(a *Answer, method, path, body string) {
	resp, err := t.do(a.Entry, a.Attempt, method, path, body, a.prompt...)
	if err != nil {
		a.Err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := readBounded(resp.Body)
	a.Status, a.Body, a.Err = resp.StatusCode, string(data), err
	headers := standins.DecodeAnswerHeaders(resp.Header)
	a.Stamp, a.Weights = headers.Stamp, headers.Weights
}

func (t *Traffic) do(entry *harness.Machine, attempt, method, path, body string, prompt ...standins.PromptPart) (*http.Response, error) {
	t.entryByAttempt.Store(attempt, entry)
	req, err := standins.Request{
		AttemptID: attempt, APIKey: harness.FleetKey, Entry: entry.CallerAddress, Method: method, Path: path, Body: body,
		Prompt: prompt,
	}.NewHTTPRequest()
	if err != nil {
		return nil, err
	}
	return t.client.Do(req)
}

// requestPath requests a path from an entry. It returns the status of the answer, 0 if there
// was none, and the reason if the answer is a problem document of the entry itself. A body
// that cannot be read to its end does not count as a problem document. A malformed problem
// document is recorded as a violation of TrueAnswer.
func (t *Traffic) requestPath(entry *harness.Machine, path string) (int, contract.Reason) {
	resp, err := t.do(entry, fmt.Sprintf("probe-%d", t.ids.Add(1)), http.MethodGet, path, "")
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := readBounded(resp.Body)
	if err != nil || resp.Header.Get("Content-Type") != problem.MediaType {
		return resp.StatusCode, ""
	}
	var p problem.Problem
	if err := json.Unmarshal(data, &p); err != nil {
		t.checker.AddViolation(TrueAnswer, "%s answered %s with malformed problem document %q: %v", entry.Name, path, data, err)
	}
	return resp.StatusCode, p.Reason
}
