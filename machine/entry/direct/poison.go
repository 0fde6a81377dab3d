package direct

import (
	"context"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/placement"
	"mimosastand.example/mimosastand/zone/poison"
	"mimosastand.example/mimosastand/zone/ratelimit"
)

// crashCheckTimeout bounds the dial that shows whether a target still listens.
const crashCheckTimeout = 200 * time.Millisecond

// maxCrashDials bounds the dials of one look at a target, and crashRedialDelay is the time between two.
const (
	maxCrashDials    = 4
	crashRedialDelay = 10 * time.Millisecond
)

// crashSettleTime is how long a new connection must last to show that its target is there.
const crashSettleTime = 30 * time.Millisecond

// lostAttempt is an attempt whose connection ended before the attempt was proven.
type lostAttempt struct {
	choice           placement.Choice
	sentAt, brokenAt time.Time
}

// isLostUnproven reports whether an attempt that was lost may have ended with the crash of its
// target: its connection ended, and it had not been proven.
func (x *exchange) isLostUnproven() bool {
	if x.replaced || x.callerGone || x.givenUp || x.otherVersion || x.proven {
		return false
	}
	return x.breakage == breakageEndedEarly || x.breakage == breakageConnection
}

// recordEnd records a complete answer as proven: a stream with events, or another success.
func (x *exchange) recordEnd(end part) {
	isSuccess := end.response != nil && end.response.status < http.StatusMultipleChoices
	if isSuccess || end.response == nil && !x.begunAt.IsZero() {
		x.recordProof(true)
	}
}

// recordProof records the attempt as proven once its stream has lasted long enough after its
// first event, while this process ran, or is complete.
func (x *exchange) recordProof(complete bool) {
	if x.proven {
		return
	}
	fleet := x.call.entry.fleet
	runTime := fleet.runTime()
	if x.begunAt.IsZero() {
		x.begunAt, x.begunRunTime = time.Now(), runTime
	}
	if !complete && runTime-x.begunRunTime < poison.ProvenAfter {
		return
	}
	x.proven = true
	fleet.recordProven(x.begunAt, x.call.suspect, x.start)
}

// crashesTargets reports whether the request is known to crash targets. retryAfter is when the
// caller may come back.
func (c *call) crashesTargets() (refused bool, retryAfter time.Duration) {
	decision, retryAfter := c.entry.fleet.peekSuspect(c.suspect)
	return decision == poison.Refused, retryAfter
}

// checkSuspect refuses an attempt that is about to be sent if the request is known to crash
// targets.
func (c *call) checkSuspect() (refused bool, retryAfter time.Duration) {
	decision, retryAfter := c.entry.fleet.checkSuspect(c.suspect)
	c.probing = decision == poison.Probe
	if c.probing {
		c.entry.log.WithField("request", c.info.AttemptID).WithField("service", string(c.service)).
			WithField("identity", c.suspect.Whole.String()).Warn("request that crashed targets is tried again")
	}
	return decision == poison.Refused, retryAfter
}

// mayRepeat reports whether the request may be sent to another target after the last attempts,
// and has the crashes of their targets recorded. It may if the targets are still there, or if
// nothing that it has is suspect. It does not wait for looks at the targets once ctx has ended: the
// request gets no other attempt then, and at the end of a planned stop its answer has only
// lastAnswersTimeout, which one look can last.
func (c *call) mayRepeat(ctx context.Context) bool {
	lost := c.lostAttempts
	c.lostAttempts = nil
	if len(lost) == 0 {
		return c.mayRepeatAfter(false)
	}
	crashed := make(chan bool, 1)
	go func() { crashed <- c.recordCrashes(ctx, lost) }()
	select {
	case crashed := <-crashed:
		return c.mayRepeatAfter(crashed)
	case <-ctx.Done():
		return false
	}
}

// mayRepeatAfter is mayRepeat once it is known whether a target has crashed.
func (c *call) mayRepeatAfter(crashed bool) bool {
	if refused, _ := c.crashesTargets(); refused {
		return false
	}
	return !crashed || c.entry.fleet.mayRepeat(c.suspect)
}

// recordCrashes records which of some lost attempts ended with the crash of their target, and reports
// whether one did. It runs in a goroutine of its own, where a panic would end the process: one counts
// as a crash.
func (c *call) recordCrashes(ctx context.Context, lost []lostAttempt) (crashed bool) {
	defer func() {
		if cause := recover(); cause != nil {
			c.entry.recordPanic(c, cause)
			crashed = true
		}
	}()
	for _, l := range lost {
		crashed = c.entry.recordCrash(ctx, c, l) || crashed
	}
	return crashed
}

// recordCrash records the loss of an attempt as the crash of its target if nothing listens at
// the target's address any more, and reports whether that is so.
func (e *Entry) recordCrash(ctx context.Context, c *call, l lostAttempt) (crashed bool) {
	if !e.isDown(ctx, l.choice.Address) {
		return false
	}
	e.log.WithField("request", c.info.AttemptID).WithField("service", string(c.service)).WithField("target", string(l.choice.ID)).
		WithField("attempt_ms", l.brokenAt.Sub(l.sentAt).Milliseconds()).WithField("identity", c.suspect.Whole.String()).WithField("parts", c.info.PromptParts).Warn("target crashed")
	e.meters.countCrash()
	e.fleet.recordCrash(poison.Observation{
		Crash: uint64(ratelimit.KeyOf(l.choice.ID, l.choice.Born)), Request: c.suspect, SentAt: l.sentAt, BrokenAt: l.brokenAt,
	})
	e.peers.SendNews()
	return true
}

// isDown reports whether nothing listens at an address any more.
func (e *Entry) isDown(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashCheckTimeout)
	defer cancel()
	return isRefused(func() (net.Conn, error) { return e.conns.dialer.DialContext(ctx, "tcp", address) })
}

// isRefused reports whether connections are refused. The listener of a process that ends may last a
// little longer than its connections: one that ends at once is made again. A target that has too
// many connections also ends them, and goes on doing so.
func isRefused(dial func() (net.Conn, error)) bool {
	for range maxCrashDials {
		conn, err := dial()
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		if lasts(conn) {
			return false
		}
		time.Sleep(crashRedialDelay)
	}
	return false
}

// lasts reports whether a new connection does not end at once, and closes it.
func lasts(conn net.Conn) bool {
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(crashSettleTime))
	_, err := conn.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// peekSuspect decides whether a request may be sent to a target; it need not be sent.
func (fs *fleetState) peekSuspect(r poison.Request) (poison.Decision, time.Duration) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.poison.Peek(time.Now(), r, fs.entryShares().IsTurn)
}

// checkSuspect decides whether a request may be sent to a target now. If so, it counts as sent.
func (fs *fleetState) checkSuspect(r poison.Request) (poison.Decision, time.Duration) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.poison.Check(time.Now(), r, fs.entryShares().IsTurn)
}

// shouldGiveUp reports whether a request under way has become known to crash targets.
func (fs *fleetState) shouldGiveUp(r poison.Request) bool {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.poison.ShouldGiveUp(r)
}

// mayRepeat reports whether a request may be sent again after it was lost with a target.
func (fs *fleetState) mayRepeat(r poison.Request) bool {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.poison.MayRetry(r)
}

// recordProven records that a target answers an attempt without harm. The attempt was sent at
// sentAt, and its answer began at begunAt.
func (fs *fleetState) recordProven(begunAt time.Time, r poison.Request, sentAt time.Time) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.poison.Proven(begunAt, r, sentAt)
}

// mayHedge reports whether a request may be sent beside an attempt whose target is silent.
func (fs *fleetState) mayHedge(r poison.Request) bool {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.poison.MayHedge(r)
}

// recordCrash records an attempt that ended with the crash of its target.
func (fs *fleetState) recordCrash(o poison.Observation) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.poison.Observe(time.Now(), o)
}

// poisonReports lists what this entry knows of what crashes targets, for heartbeats to
// other entries.
func (fs *fleetState) poisonReports() ([]contract.PoisonObservation, []contract.PoisonVerdict) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.poison.Reports(time.Now())
}

// applyPeerPoison applies what a peer reports of what crashes targets.
func (fs *fleetState) applyPeerPoison(hb contract.Heartbeat) (changed int) {
	if len(hb.PoisonObservations) == 0 && len(hb.PoisonVerdicts) == 0 {
		return 0
	}
	changed = fs.poison.ApplyReports(time.Now(), hb.Machine, hb.PoisonObservations, hb.PoisonVerdicts)
	if changed > 0 {
		fs.log.WithField("peer", string(hb.Machine)).WithField("changed", changed).Info("verdicts on what crashes targets received from peer")
	}
	return changed
}
