package soak

import (
	"time"

	"mimosastand.example/mimosastand/internal/harness"
	standins "mimosastand.example/mimosastand/standin/fleet"
)

// limitSpan is a span in which a back end limited all entries together to perSecond requests
// a second.
type limitSpan struct {
	engine    *standins.Engine
	perSecond float64
	from, to  time.Time
}

func (b *bounds) addLimit(span limitSpan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = append(b.limits, span)
}

// checkLimits checks that no back end got more requests than the limit that it named allows,
// summed over the entries that were unimpaired for stableWindow before. senderOf returns the
// entry that sent an attempt, or nil.
func (b *bounds) checkLimits(checker *Checker, senderOf func(attempt string) *harness.Machine) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, span := range b.limits {
		var counted []standins.Arrival
		for _, a := range standins.ArrivalsSince(span.engine.Arrivals(), span.from.Add(standins.LimitNotice)) {
			sender := senderOf(a.AttemptID)
			if a.At.Before(span.to) && sender != nil && sender.Impairments.NoneWithin(a.At, stableWindow) &&
				b.impairmentsOfLocked(span.engine.Relay).NoneWithin(a.At, stableWindow) {
				counted = append(counted, a)
			}
		}
		if got, want := standins.MostArrivals(counted), standins.AllowedArrivals(span.perSecond); got > want {
			checker.AddViolation(LimitBound, "%s limited its rate to %v a second and got %d requests in %v, allowed %d",
				span.engine.ID, span.perSecond, got, standins.LimitWindow, want)
		}
	}
}
