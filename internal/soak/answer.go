package soak

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"time"

	"mimosastand.example/mimosastand/internal/harness"
	standins "mimosastand.example/mimosastand/standin/fleet"
)

// Kind is a kind of request.
type Kind uint8

// The kinds of requests: Chat is a stream of a model, Pay is a call that may run only once,
// Look is a call that may be repeated.
const (
	Chat Kind = iota
	Pay
	Look
	// kindCount is the number of kinds.
	kindCount
)

// String returns the kind's name.
func (k Kind) String() string { return [kindCount]string{"chat", "pay", "look"}[k] }

// Answer is what a caller received for one attempt.
type Answer struct {
	Kind    Kind
	Attempt string
	// Sent is what the back end should have received: method, path and body.
	Sent       string
	Entry      *harness.Machine
	Start, End time.Time
	// Status is 0 and Err is set if no answer came. If the answer was cut off, Err is set
	// and Status is that of the answer.
	Status int
	Err    error
	// Stamp is the stamp of the back end; Weights are the versions that it reports to have
	// served with.
	Stamp, Weights string
	Body           string
	// prompt lists the parts of the prompt that was sent; empty if there is none.
	prompt []standins.PromptPart
}

// Served reports whether the answer is a complete success.
func (a Answer) Served() bool { return a.Status == http.StatusOK && a.Err == nil }

// Refused reports whether the status promises that a call that may run only once has not
// run and will not run.
func (a Answer) Refused() bool {
	switch a.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// streamProblem describes what is wrong with the body of a complete stream of n events. It
// is empty if the body is correct.
func streamProblem(body string, n int, weights string) string {
	scanner := bufio.NewScanner(strings.NewReader(body))
	next := 1
	version := ""
	for scanner.Scan() {
		line := scanner.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			if id != fmt.Sprint(next) {
				return fmt.Sprintf("event id %s, want %d", id, next)
			}
			next++
		}
		if _, v, ok := strings.Cut(line, " of version "); ok {
			if version != "" && v != version {
				return fmt.Sprintf("events of versions %s and %s", version, v)
			}
			version = v
		}
	}
	switch {
	case next != n+1:
		return fmt.Sprintf("%d events, want %d", next-1, n)
	case weights != "" && version != weights:
		return fmt.Sprintf("events of version %s, answer reports version %s", version, weights)
	}
	return ""
}
