// Package hedging decides when a second attempt at a request, the hedge, starts beside one whose target
// is slow to answer, and whether it may: for which requests, and within which share of extra work.
//
// The package has no I/O and no clock.
package hedging

import (
	"time"

	"mimosastand.example/mimosastand/machine/entry/retry"
)

const (
	// limitWindow is the sliding window in which extra attempts are limited to a share of the requests.
	// An entry that gets one request in a second would never reach a whole extra attempt in a few seconds.
	limitWindow = 30 * time.Second
	// delayQuantile is the quantile of the observed times to the first event after which an attempt
	// counts as slow.
	delayQuantile = 0.9
	// predictionFactor is how many times the predicted time to the first event an attempt may take
	// before it counts as slow. Slow periods stretch work by more, the spread of usual requests by less.
	predictionFactor = 1.5
	// minDelayShare and maxDelayShare bound the time before a hedge as shares of the objective. A hedge
	// that starts earlier repeats requests that are well in time; one that starts later cannot begin
	// its answer within the objective.
	minDelayShare = 0.25
	maxDelayShare = 0.5
	// minObserved is the number of observations below which they decide nothing.
	minObserved = 10
	// minLonger is the number of observations longer than the wait of an attempt from which its
	// remaining time is estimated.
	minLonger = 3
	// allowedPromptShare is the share of the prompts lately, in order of size, that may be read twice.
	allowedPromptShare = 0.9
)

// Refusal is the rule by which an attempt that is due gets no hedge.
type Refusal string

const (
	// Allowed means that a hedge may start.
	Allowed Refusal = ""
	// Limit means that the extra attempts have used up their share of the requests.
	Limit Refusal = "limit"
	// Budget means that the retry budget is used up.
	Budget Refusal = "budget"
	// NoTarget means that no other target with a free slot is predicted to begin sooner.
	NoTarget Refusal = "no_target"
	// TooLarge means that the prompt belongs to the largest tenth, or that its size is not known.
	TooLarge Refusal = "too_large"
	// RequestsWait means that requests wait for a target and this one is not of the most urgent rank.
	RequestsWait Refusal = "requests_wait"
	// Late means that the objective has passed: no hedge can meet it any more.
	Late Refusal = "late"
	// Attempts means that the route, the deadline or a planned stop allows no further attempt.
	Attempts Refusal = "attempts"
	// Suspect means that the request may crash targets.
	Suspect Refusal = "suspect"
	// Off means that hedges have been turned off, or the targets report no pace any more.
	Off Refusal = "off"
)

// IsFinal reports whether the refusal holds for the rest of the attempt.
func (r Refusal) IsFinal() bool {
	return r == TooLarge || r == Late || r == Attempts || r == Off
}

// Attempt describes an attempt whose first event has not arrived.
type Attempt struct {
	// Predicted is the time to the first event that was predicted when the attempt was sent.
	Predicted time.Duration
	// Objective is the time within which the caller is to get the first event, of which Spent had
	// passed when the attempt started.
	Objective, Spent time.Duration
	// PromptTokens is the size of the prompt; 0 if it is not known or there is none.
	PromptTokens float64
	// LessUrgent is set if the service has requests of a more urgent rank.
	LessUrgent bool
}

// Tracker holds what one entry knows of the requests of one service.
type Tracker struct {
	// extra bounds the extra attempts to a share of the requests.
	extra *retry.Window
	// firstEvents holds times to the first event in nanoseconds, prompts sizes in tokens.
	firstEvents, prompts sample
}

// NewTracker returns the tracker of a process that started at started. extraWork is the share of the
// requests that may be sent a second time.
func NewTracker(started time.Time, extraWork float64) *Tracker {
	return &Tracker{extra: retry.NewWindow(started, limitWindow, extraWork, 0)}
}

// SetExtraWork replaces the share of the requests that may be sent a second time.
func (t *Tracker) SetExtraWork(extraWork float64) { t.extra.SetBounds(limitWindow, extraWork, 0) }

// RecordRequest records a request of the service, whatever its route. promptTokens is 0 if it is not known.
func (t *Tracker) RecordRequest(now time.Time, promptTokens float64) {
	t.extra.Remaining(now)
	t.extra.RecordRequest(now)
	if promptTokens > 0 {
		t.prompts.add(now, promptTokens)
	}
}

// RecordFirstEvent records that the first event of an attempt arrived after delay, or that the attempt
// was given up after that time.
func (t *Tracker) RecordFirstEvent(now time.Time, delay time.Duration) {
	t.firstEvents.add(now, float64(delay))
}

// Delay returns for how long the first event of an attempt may be missing before a hedge is due.
func (t *Tracker) Delay(now time.Time, a Attempt) time.Duration {
	delay := time.Duration(predictionFactor * float64(a.Predicted))
	if t.firstEvents.count(now) >= minObserved {
		delay = max(delay, time.Duration(t.firstEvents.quantile(now, delayQuantile)))
	}
	objective := float64(a.Objective)
	latest := time.Duration(maxDelayShare*objective) - a.Spent
	return max(min(delay, latest), time.Duration(minDelayShare*objective))
}

// Remaining returns the expected time to the first event of an attempt that has waited for a time. It is
// the mean of what attempts lately took that waited as long, and at least what was predicted. An attempt
// that has waited longer than almost all of them is expected to take as long again.
func (t *Tracker) Remaining(now time.Time, a Attempt, waited time.Duration) time.Duration {
	remaining := a.Predicted - waited
	mean, longer := t.firstEvents.meanAbove(now, float64(waited))
	if longer < minLonger {
		return max(remaining, waited)
	}
	return max(remaining, time.Duration(mean)-waited)
}

// Check returns the rule by which an attempt that has waited for a time gets no hedge, except those that
// depend on other targets, the retry budget and the request's route. requestsWait is set if requests of
// the service wait for a target.
func (t *Tracker) Check(now time.Time, a Attempt, waited time.Duration, requestsWait bool) Refusal {
	switch {
	case a.Spent+waited >= a.Objective:
		return Late
	case t.isTooLarge(now, a.PromptTokens):
		return TooLarge
	case requestsWait && a.LessUrgent:
		return RequestsWait
	case t.extra.Remaining(now) < 1:
		return Limit
	}
	return Allowed
}

// isTooLarge reports whether a prompt belongs to the largest tenth of those lately. If sizes are known,
// one whose size is not known counts as such.
func (t *Tracker) isTooLarge(now time.Time, promptTokens float64) bool {
	switch {
	case t.prompts.count(now) == 0:
		return false
	case promptTokens <= 0:
		return true
	default:
		return promptTokens > t.prompts.largestOf(now, allowedPromptShare)
	}
}

// TryAcquire records an extra attempt if the limit allows one, and reports whether it did.
func (t *Tracker) TryAcquire(now time.Time) bool { return t.extra.TryAcquire(now) }
