package placement

import (
	"math"
	"time"
)

const (
	// correctionWindow is the time over which errors of predictions are averaged. It is several times as
	// long as it takes until the first events of requests show the effect of a correction, which would
	// oscillate otherwise.
	correctionWindow = 3 * time.Second
	// correctionHold is how long a correction stays as it is without observations, correctionDecay the time in which
	// it shrinks to a third after that.
	correctionHold  = time.Second
	correctionDecay = 5 * time.Second
	// maxCorrectionShare bounds a correction, as a share of the predicted delay at an idle target.
	maxCorrectionShare = 0.5
	// maxErrorWeight bounds the weight of one error.
	maxErrorWeight = 0.1
)

// correction is the mean error of the predictions of a service: how much later the first events
// came than predicted without it.
type correction struct {
	mean time.Duration
	at   time.Time
}

// observe counts an error, of which at most bound counts in either direction.
func (c *correction) observe(now time.Time, err, bound time.Duration) {
	mean := c.valueAt(now)
	weight := maxErrorWeight
	if !c.at.IsZero() {
		weight = min(max(float64(now.Sub(c.at)), 0)/float64(correctionWindow), maxErrorWeight)
	}
	err = min(max(err, -bound), bound)
	c.mean, c.at = mean+time.Duration(float64(err-mean)*weight), now
}

// valueAt returns the correction at a time.
func (c *correction) valueAt(now time.Time) time.Duration {
	idle := now.Sub(c.at) - correctionHold
	if idle <= 0 {
		return c.mean
	}
	return time.Duration(float64(c.mean) * math.Exp(-float64(idle)/float64(correctionDecay)))
}

// PredictionObserved records that the first event of an attempt arrived after delay.
func (p *Pool) PredictionObserved(now time.Time, c Choice, delay time.Duration) {
	if !p.isSizeAware(now) {
		return
	}
	p.correction.observe(now, delay-(c.FirstEventDelay-c.Correction), p.maxCorrection())
}

// Correction returns by how much predictions are corrected now; 0 if sizes of requests do not count.
func (p *Pool) Correction(now time.Time) time.Duration {
	if !p.isSizeAware(now) {
		return 0
	}
	return p.correction.valueAt(now)
}

// maxCorrection returns the bound of the correction in either direction.
func (p *Pool) maxCorrection() time.Duration {
	return time.Duration(float64(NewLatencyModel(p.service, 0).FirstEventDelay(0)) * maxCorrectionShare)
}
