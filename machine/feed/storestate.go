package feed

import "time"

// StoreState is the outcome of a call to the store that differs from that of the call before.
type StoreState struct {
	Up bool
	// AwayAt is when the last call began that the store did not answer; zero if there was none. If Up
	// is set, the store has returned since then.
	AwayAt time.Time
}

// onCallFailed reports the store as lost unless that has been reported already. calledAt is when the
// call began that failed.
func (f *Feed) onCallFailed(err error, calledAt time.Time) {
	f.mu.Lock()
	wasUp := f.storeUp || f.storeStateAt.IsZero()
	f.storeUp, f.storeStateAt, f.storeAwayAt = false, time.Now(), calledAt
	f.mu.Unlock()
	if !wasUp {
		return
	}
	f.opts.Log.WithError(err).WithField("topic", f.opts.Topic).Warn("store lost")
	f.reportStoreState(StoreState{AwayAt: calledAt})
}

// recordAnswered records when a call began that the store has answered.
func (f *Feed) recordAnswered(calledAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answeredCallBegan = calledAt
}

// AnsweredCallBegan returns when the last call of this process began that the store has answered, zero if there
// was none. What is held then is no older than that, while the time of an answer says little after a standstill.
func (f *Feed) AnsweredCallBegan() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answeredCallBegan
}

// onCallSucceeded reports that the store answers unless it answered before.
func (f *Feed) onCallSucceeded() {
	f.mu.Lock()
	wasUp := f.storeUp
	f.storeUp, f.storeStateAt = true, time.Now()
	awayAt := f.storeAwayAt
	f.mu.Unlock()
	if wasUp {
		return
	}
	logger := f.opts.Log.WithField("topic", f.opts.Topic)
	if !awayAt.IsZero() {
		logger = logger.WithField("away_ms", time.Since(awayAt).Milliseconds())
	}
	logger.Info("store answers")
	f.reportStoreState(StoreState{Up: true, AwayAt: awayAt})
}

func (f *Feed) reportStoreState(s StoreState) {
	if f.opts.OnStoreStateChange != nil {
		f.opts.OnStoreStateChange(s)
	}
}

// IsStoreUp reports whether the last call to the store succeeded.
func (f *Feed) IsStoreUp() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeUp
}
