package direct

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/zone/placement"
)

// breakage is how an attempt broke off.
type breakage string

const (
	brokeSilent     breakage = "silent"
	brokeDeadline   breakage = "deadline"
	brokeCaller     breakage = "caller_gone"
	brokeEarly      breakage = "ended_early"
	brokeConnection breakage = "connection"
	brokeUnstamped  breakage = "no_stamp"
	brokeOther      breakage = "other_stamp"
	brokeEncoded    breakage = "encoded"
	brokeTooLarge   breakage = "too_large"
	brokePromise    breakage = "unstamped_promise"
	// brokeBusy and brokeMisdirected attempts were refused by the target, which has no
	// room, or is another than expected or holds other weights.
	brokeBusy        breakage = "target_busy"
	brokeMisdirected breakage = "misdirected"
)

// story is what the log tells of a request at its end.
type story struct {
	// choice is that of the last attempt, which began at sentAt and ended at endedAt,
	// zero while it runs; firstAt is when the first attempt began.
	choice                   placement.Choice
	firstAt, sentAt, endedAt time.Time
	outcome                  attempts.Outcome
	broke                    breakage
	err                      error
	// answered is the target's own status in the last attempt, 0 if it sent none, and
	// requests the load that it told, -1 if it did not.
	answered, requests int
	// expected is the version that the last attempt insisted on, told the one that the
	// target said it holds; 0 if there was none.
	expected, told int64
	// limit is why no other attempt followed.
	limit attempts.Limit
	// survey is how the targets stood when there was no room.
	survey *placement.Survey
	// begunAt is when the first part of the answer went to the caller, lastAt the
	// last; pause is the longest time between two, events their number.
	begunAt, lastAt time.Time
	pause           time.Duration
	events          int
}

// placed records that an attempt begins.
func (s *story) placed(choice placement.Choice, now time.Time) {
	s.choice, s.sentAt, s.endedAt = choice, now, time.Time{}
	s.outcome, s.broke, s.err, s.limit = attempts.Completed, "", nil, attempts.NoLimit
	s.answered, s.requests = 0, -1
	s.expected, s.told = 0, 0
	if s.firstAt.IsZero() {
		s.firstAt = now
	}
}

// replied records the head of a target's answer.
func (s *story) replied(reply platform.Reply) {
	s.answered, s.requests, s.told = reply.Status, reply.Requests, reply.Version
}

// attempted records how an attempt ended.
func (s *story) attempted(now time.Time, o attempts.Outcome, how breakage, err error) {
	s.endedAt = now
	s.outcome, s.broke, s.err = o, how, err
}

// took is how long the last attempt took or has taken.
func (s *story) took() time.Duration {
	if s.endedAt.IsZero() {
		return time.Since(s.sentAt)
	}
	return s.endedAt.Sub(s.sentAt)
}

// noRoom records how the targets stood when none was found.
func (s *story) noRoom(survey placement.Survey) { s.survey = &survey }

// delivered records that a part of the answer has gone to the caller.
func (s *story) delivered(now time.Time) {
	if s.begunAt.IsZero() {
		s.begunAt = now
	} else {
		s.pause = max(s.pause, now.Sub(s.lastAt))
	}
	s.lastAt = now
	s.events++
}

// isLate reports whether the answer began after its objective.
func (c *call) isLate() bool {
	if c.route == nil || c.route.Objective <= 0 || c.story.begunAt.IsZero() {
		return false
	}
	return c.story.begunAt.Sub(c.arrived) > c.route.Objective
}

// fields are those that explain an end which is not what the caller wanted.
func (c *call) fields() log.Fields {
	f := log.Fields{}
	if c.unsent > 0 {
		f["unsent"] = c.unsent
	}
	if c.manifest > 0 {
		f["manifest"] = c.manifest
	}
	if c.route != nil {
		f["objective_ms"] = c.route.Objective.Milliseconds()
	}
	c.answerFields(f)
	c.attemptFields(f)
	c.surveyFields(f)
	return f
}

// answerFields tell what the caller has of the answer.
func (c *call) answerFields(f log.Fields) {
	s := &c.story
	if s.begunAt.IsZero() {
		return
	}
	f["begun_ms"] = s.begunAt.Sub(c.arrived).Milliseconds()
	f["events"] = s.events
	f["pause_ms"] = s.pause.Milliseconds()
	f["quiet_ms"] = time.Since(s.lastAt).Milliseconds()
}

// attemptFields tell of the last attempt and what its choice rested on.
func (c *call) attemptFields(f log.Fields) {
	s := &c.story
	if s.sentAt.IsZero() {
		return
	}
	f["waited_ms"] = s.firstAt.Sub(c.arrived).Milliseconds()
	f["attempt_ms"] = s.took().Milliseconds()
	f["outcome"] = outcomeNames[s.outcome]
	s.breakageFields(f)
	if s.err != nil {
		f["error"] = s.err.Error()
	}
	if s.limit != attempts.NoLimit {
		f["limit"] = string(s.limit)
	}
	choiceFields(f, "", s.choice)
}

// breakageFields tell how the last attempt broke off and what the target said.
func (s *story) breakageFields(f log.Fields) {
	if s.broke != "" {
		f["broke"] = string(s.broke)
	}
	if s.answered != 0 {
		f["target_status"] = s.answered
	}
	if s.requests >= 0 {
		f["target_load"] = s.requests
	}
	if s.expected > 0 {
		f["expected_version"] = s.expected
	}
	if s.told > 0 {
		f["target_version"] = s.told
	}
}

// choiceFields tell what the choice of a target rests on; prefix begins their names.
func choiceFields(f log.Fields, prefix string, c placement.Choice) {
	f[prefix+"load"] = c.Load
	f[prefix+"first_ms"] = c.FirstEventDelay.Milliseconds()
	f[prefix+"version"] = c.Version
	f[prefix+"listed_ms"] = c.ListedAge.Milliseconds()
	f[prefix+"told_ms"] = c.StatusAge.Milliseconds()
}

// surveyFields tell why there was no room: the rules that left targets out, and the
// full one that would have answered first.
func (c *call) surveyFields(f log.Fields) {
	s := c.story.survey
	if s == nil {
		return
	}
	f["listed"] = s.Listed
	f["limit_ms"] = s.Limit.Milliseconds()
	if s.MinVersion > 0 {
		f["oldest"] = s.MinVersion
	}
	s.Each(func(b placement.Exclusion, targets int) { f["targets_"+b.String()] = targets })
	if s.Nearest.ID == "" {
		return
	}
	f["nearest"] = string(s.Nearest.ID)
	choiceFields(f, "nearest_", s.Nearest)
}

// cut gives up a connection that failed; the attempt is lost.
func (x *exchange) cut(err error) attempts.Outcome {
	x.conn.abandon()
	x.silent = x.quiet.Load()
	x.broken(err)
	return attempts.Lost
}

// broken records how an attempt broke off. The error of a connection that the entry
// closed itself tells nothing more.
func (x *exchange) broken(err error) {
	x.broke = x.breakage(err)
	if x.broke == brokeConnection || x.broke == brokeEarly {
		x.err = err
	}
}

// breakage tells how an attempt broke off with an error.
func (x *exchange) breakage(err error) breakage {
	caller := x.call.r.Context().Err()
	switch {
	case x.quiet.Load():
		return brokeSilent
	case caller != nil && !errors.Is(caller, context.DeadlineExceeded):
		return brokeCaller
	case !time.Now().Before(x.call.deadline):
		return brokeDeadline
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return brokeEarly
	default:
		return brokeConnection
	}
}

// refusal tells why a target did not run an attempt.
func refusal(reply platform.Reply) breakage {
	if reply.Misdirected {
		return brokeMisdirected
	}
	return brokeBusy
}

// unusable tells why an answer that came is not passed on.
func unusable(reply platform.Reply) breakage {
	switch {
	case reply.Encoded:
		return brokeEncoded
	case !reply.Stamped:
		return brokeUnstamped
	default:
		return brokeTooLarge
	}
}

// logRetry logs that a request is sent again.
func (e *Entry) logRetry(c *call, outcome attempts.Outcome) {
	e.meters.retried(outcome)
	f := log.Fields{"attempt_ms": c.story.took().Milliseconds()}
	f["version"] = c.story.choice.Version
	c.story.breakageFields(f)
	e.log.WithFields(f).WithField("request", c.info.ID).WithField("service", string(c.service)).
		WithField("target", string(c.targetID)).WithField("outcome", outcomeNames[outcome]).WithField("sent", c.sent).Info("sent again")
}

// logEnd logs how a request ended, and unless it went well, what explains it.
func (e *Entry) logEnd(c *call, status int, reason contract.Reason, after time.Duration) {
	e.meters.ended(c, status, reason)
	entry := e.log.WithField("request", c.info.ID).WithField("service", string(c.service)).WithField("target", string(c.targetID)).
		WithField("status", status).WithField("sent", c.sent).WithField("ms", time.Since(c.arrived).Milliseconds())
	good := reason == "" && status < http.StatusInternalServerError
	switch {
	case good && !c.isLate():
		entry.Info("request served")
	case good:
		entry.WithFields(c.fields()).Warn("request served late")
	default:
		entry.WithFields(c.fields()).WithField("reason", string(reason)).WithField("after_ms", after.Milliseconds()).Warn("request ended")
	}
}
