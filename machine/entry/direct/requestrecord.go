package direct

import (
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/zone/placement"
)

// requestRecord collects what is logged of a request when it ends.
type requestRecord struct {
	// choice is that of the last attempt, which began at startedAt and ended at endedAt,
	// zero while it runs; firstAttemptAt is when the first attempt began.
	choice                             placement.Choice
	firstAttemptAt, startedAt, endedAt time.Time
	outcome                            attempts.Outcome
	breakage                           breakage
	err                                error
	// targetStatus is the status of the target's response in the last attempt, 0 if there
	// was none, and targetLoad the load that the target reported, -1 if it did not.
	targetStatus, targetLoad int
	// targetBackoff is for how long the target wanted no further request, targetLeaving whether it
	// said that it leaves.
	targetBackoff time.Duration
	targetLeaving bool
	// targetPace is the pace in percent that the target reported, 0 if it did not.
	targetPace float64
	// expectedVersion is the version that the last attempt insisted on, targetVersion the
	// one that the target reported; 0 if there was none.
	expectedVersion, targetVersion int64
	// limit is the rule by which no other attempt followed.
	limit attempts.Limit
	// queueTime is how long the request waited in the queue of its service.
	queueTime time.Duration
	// survey is the state of the targets when none had room.
	survey *placement.Survey
	// firstDeliveryAt is when the first part of the response went to the caller,
	// lastDeliveryAt the last one; longestPause is the longest time between two parts,
	// events their number.
	firstDeliveryAt, lastDeliveryAt time.Time
	longestPause                    time.Duration
	events                          int
}

// attemptStarted records the start of an attempt and clears the results of the last one.
func (rec *requestRecord) attemptStarted(choice placement.Choice, now time.Time) {
	rec.choice, rec.startedAt, rec.endedAt = choice, now, time.Time{}
	rec.outcome, rec.breakage, rec.err, rec.limit = attempts.Completed, "", nil, attempts.NoLimit
	rec.targetStatus, rec.targetLoad, rec.targetBackoff, rec.targetLeaving = 0, -1, 0, false
	rec.expectedVersion, rec.targetVersion = 0, 0
	rec.targetPace = 0
	if rec.firstAttemptAt.IsZero() {
		rec.firstAttemptAt = now
	}
}

// replyReceived records the head of a target's response, and the version that the attempt
// insisted on.
func (rec *requestRecord) replyReceived(reply platform.Reply, expectedVersion int64) {
	rec.expectedVersion = expectedVersion
	rec.targetStatus, rec.targetLoad, rec.targetVersion = reply.Status, reply.OpenRequests, reply.Version
	rec.targetBackoff, rec.targetLeaving, rec.targetPace = reply.Backoff, reply.Leaving, reply.Pace
}

// attemptEnded records how an attempt ended.
func (rec *requestRecord) attemptEnded(now time.Time, o attempts.Outcome, b breakage, err error) {
	rec.endedAt = now
	rec.outcome, rec.breakage, rec.err = o, b, err
}

// attemptTime returns how long the last attempt took or has taken so far.
func (rec *requestRecord) attemptTime() time.Duration {
	if rec.endedAt.IsZero() {
		return time.Since(rec.startedAt)
	}
	return rec.endedAt.Sub(rec.startedAt)
}

// setSurvey records the state of the targets when none was found.
func (rec *requestRecord) setSurvey(survey placement.Survey) { rec.survey = &survey }

// partDelivered records that a part of the response has gone to the caller.
func (rec *requestRecord) partDelivered(now time.Time) {
	if rec.firstDeliveryAt.IsZero() {
		rec.firstDeliveryAt = now
	} else {
		rec.longestPause = max(rec.longestPause, now.Sub(rec.lastDeliveryAt))
	}
	rec.lastDeliveryAt = now
	rec.events++
}

// isLate reports whether the response began later than the route's objective.
func (c *call) isLate() bool {
	if c.route == nil || c.route.Objective <= 0 || c.record.firstDeliveryAt.IsZero() {
		return false
	}
	return c.record.firstDeliveryAt.Sub(c.arrived) > c.route.Objective
}

// logFields returns the fields that explain why a request ended differently than the
// caller wanted.
func (c *call) logFields() log.Fields {
	f := c.rankFields()
	if c.suspect.Whole != 0 {
		f["identity"] = c.suspect.Whole.String()
	}
	if c.attemptsUnsent > 0 {
		f["unsent"] = c.attemptsUnsent
	}
	if c.manifest > 0 {
		f["manifest"] = c.manifest
	}
	if c.route != nil {
		f["objective_ms"] = c.route.Objective.Milliseconds()
	}
	c.addDeliveryFields(f)
	c.addAttemptFields(f)
	c.addSurveyFields(f)
	return f
}

// rankFields returns the rank of a request of a ranked service, and how long it waited in the queue.
func (c *call) rankFields() log.Fields {
	f := log.Fields{}
	if c.isRanked {
		f["rank"] = c.rank
	}
	if c.record.queueTime > 0 {
		f["queued_ms"] = c.record.queueTime.Milliseconds()
	}
	return f
}

// addDeliveryFields adds what the caller has received of the response.
func (c *call) addDeliveryFields(f log.Fields) {
	rec := &c.record
	if rec.firstDeliveryAt.IsZero() {
		return
	}
	f["begun_ms"] = rec.firstDeliveryAt.Sub(c.arrived).Milliseconds()
	f["events"] = rec.events
	f["pause_ms"] = rec.longestPause.Milliseconds()
	f["quiet_ms"] = time.Since(rec.lastDeliveryAt).Milliseconds()
}

// addAttemptFields adds the last attempt and the data that its choice was based on.
func (c *call) addAttemptFields(f log.Fields) {
	rec := &c.record
	if rec.startedAt.IsZero() {
		return
	}
	f["waited_ms"] = rec.firstAttemptAt.Sub(c.arrived).Milliseconds()
	f["attempt_ms"] = rec.attemptTime().Milliseconds()
	f["outcome"] = outcomeNames[rec.outcome]
	if observed := rec.firstDeliveryAt.Sub(rec.startedAt); !rec.firstDeliveryAt.IsZero() && observed >= 0 {
		f["observed_ms"] = observed.Milliseconds()
	}
	rec.addBreakageFields(f)
	c.addPromptFields(f, rec.outcome)
	if rec.err != nil {
		f["error"] = rec.err.Error()
	}
	if rec.limit != attempts.NoLimit {
		f["limit"] = string(rec.limit)
	}
	rec.addWeightsFields(f)
	addChoiceFields(f, "", rec.choice)
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// addPromptFields adds the parts that the prompt of a lost attempt shares with others.
func (c *call) addPromptFields(f log.Fields, outcome attempts.Outcome) {
	if shared := len(c.info.PromptParts) - 1; outcome == attempts.Lost && shared > 0 {
		f["parts"] = strings.Join(c.info.PromptParts[:min(shared, maxLoggedParts)], ",")
	}
}

// addBreakageFields adds how the last attempt broke off and what the target reported.
func (rec *requestRecord) addBreakageFields(f log.Fields) {
	if rec.breakage != "" {
		f["broke"] = string(rec.breakage)
	}
	if rec.targetStatus != 0 {
		f["target_status"] = rec.targetStatus
	}
	if rec.targetLoad >= 0 {
		f["target_load"] = rec.targetLoad
	}
	if rec.targetBackoff > 0 {
		f["target_backoff_ms"] = rec.targetBackoff.Milliseconds()
	}
	if rec.targetLeaving {
		f["target_leaving"] = true
	}
	if rec.targetPace > 0 {
		f["target_pace"] = int(rec.targetPace)
	}
}

// addWeightsFields adds which weights the last attempt relied on: those of a start of the target, as
// the process beside it had reported them, the version that the attempt insisted on, and the one that
// the target answered with.
func (rec *requestRecord) addWeightsFields(f log.Fields) {
	if rec.startedAt.IsZero() {
		return
	}
	f["address"] = rec.choice.Address
	f["born"] = rec.choice.Born
	f["version"] = rec.choice.Version
	f["told_ms"] = rec.choice.StatusAge.Milliseconds()
	if rec.expectedVersion > 0 {
		f["expected_version"] = rec.expectedVersion
	}
	if rec.targetVersion > 0 {
		f["target_version"] = rec.targetVersion
	}
}

// addChoiceFields adds the data that the choice of a target is based on; prefix begins
// the names of the fields.
func addChoiceFields(f log.Fields, prefix string, c placement.Choice) {
	f[prefix+"load"] = c.Load
	f[prefix+"first_ms"] = c.FirstEventDelay.Milliseconds()
	f[prefix+"version"] = c.Version
	f[prefix+"listed_ms"] = c.ListedAge.Milliseconds()
	f[prefix+"told_ms"] = c.StatusAge.Milliseconds()
	addPaceFields(f, prefix, c)
}

// addPaceFields adds what a prediction assumed of the pace of the target and of the error of predictions, if
// it did; prefix begins the names of the fields.
func addPaceFields(f log.Fields, prefix string, c placement.Choice) {
	if c.Pace > 0 {
		f[prefix+"pace"] = int(c.Pace)
	}
	if c.Correction != 0 {
		f[prefix+"correction_ms"] = c.Correction.Milliseconds()
	}
}

// addSurveyFields adds why there was no room: how many targets each rule excluded, and
// the full target that would have responded first.
func (c *call) addSurveyFields(f log.Fields) {
	s := c.record.survey
	if s == nil {
		return
	}
	f["listed"] = s.Listed
	f["limit_ms"] = s.Limit.Milliseconds()
	if s.MinVersion > 0 {
		f["oldest"] = s.MinVersion
	}
	s.Each(func(e placement.Exclusion, targets int) { f["targets_"+e.String()] = targets })
	if s.Nearest.ID == "" {
		return
	}
	f["nearest"] = string(s.Nearest.ID)
	addChoiceFields(f, "nearest_", s.Nearest)
}

// logPlacement logs the target of an attempt and the data that the choice is based on.
func (e *Entry) logPlacement(c *call, choice placement.Choice) {
	f := c.rankFields()
	addPaceFields(f, "", choice)
	e.log.WithFields(f).WithField("request", c.info.AttemptID).WithField("service", string(c.service)).WithField("target", string(choice.ID)).
		WithField("load", choice.Load).WithField("first_ms", choice.FirstEventDelay.Milliseconds()).WithField("version", choice.Version).
		WithField("oldest", choice.MinVersion).
		WithField("listed_ms", choice.ListedAge.Milliseconds()).WithField("told_ms", choice.StatusAge.Milliseconds()).
		WithField("born", choice.Born).WithField("address", choice.Address).WithField("manifest", c.manifest).
		WithField("left_ms", time.Until(c.deadline).Milliseconds()).Info("attempt placed")
}

// logSilence logs and counts that the target of an attempt has fallen silent.
func (e *Entry) logSilence(x *exchange) {
	e.meters.countSilence()
	c := x.call
	runTime := e.fleet.runTime()
	e.log.WithField("request", c.info.AttemptID).WithField("service", string(c.service)).WithField("target", string(x.choice.ID)).
		WithField("silent_ms", (runTime-time.Duration(x.lastActivityRunTime.Load())).Milliseconds()).
		WithField("target_silent_ms", (runTime-e.fleet.lastActivity(c.service, x.choice.ID)).Milliseconds()).
		WithField("left_ms", time.Until(c.deadline).Milliseconds()).Info("target silent")
}

// logRetry logs and counts that a request is sent again.
func (e *Entry) logRetry(c *call, outcome attempts.Outcome) {
	e.meters.countRetry(outcome)
	f := log.Fields{"attempt_ms": c.record.attemptTime().Milliseconds()}
	c.record.addWeightsFields(f)
	c.record.addBreakageFields(f)
	c.addPromptFields(f, outcome)
	e.log.WithFields(f).WithField("request", c.info.AttemptID).WithField("service", string(c.service)).
		WithField("target", string(c.lastTarget)).WithField("outcome", outcomeNames[outcome]).WithField("sent", c.attemptsSent).Info("sent again")
}

// logEnd logs and counts the end of a request. For one that failed or was late it adds
// the fields that explain this.
func (e *Entry) logEnd(c *call, status int, reason contract.Reason, retryAfter time.Duration) {
	e.meters.countRequest(c, status, reason)
	entry := e.log.WithField("request", c.info.AttemptID).WithField("service", string(c.service)).WithField("target", string(c.lastTarget)).
		WithField("status", status).WithField("sent", c.attemptsSent).WithField("ms", time.Since(c.arrived).Milliseconds())
	succeeded := reason == "" && status < http.StatusInternalServerError
	switch {
	case succeeded && !c.isLate():
		f := log.Fields{}
		c.record.addWeightsFields(f)
		entry.WithFields(f).Info("request served")
	case succeeded:
		entry.WithFields(c.logFields()).Warn("request served late")
	default:
		entry.WithFields(c.logFields()).WithField("reason", string(reason)).WithField("after_ms", retryAfter.Milliseconds()).Warn("request ended")
	}
}
