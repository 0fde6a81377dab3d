package feed

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

// maxReadersHeard bounds the processes whose confirmations are remembered.
const maxReadersHeard = 4096

// Progress returns how far this feed knows its topic, for heartbeats to peers.
func (f *Feed) Progress() *contract.TopicProgress {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := &contract.TopicProgress{
		End: contract.Offset(f.replica.NewestOffset() + 1), ConfirmedAgeMS: contract.Unconfirmed, Confirmation: f.confirmation,
	}
	if age := time.Since(f.confirmedAt); !f.confirmedAt.IsZero() && age.Milliseconds() < contract.Unconfirmed {
		p.ConfirmedAgeMS = uint32(age.Milliseconds())
	}
	return p
}

// ObserveProgress applies what a peer reports of the topic: while this feed holds as much as
// the peer, a confirmation that the peer knows of holds for this feed, too. Each confirmation
// counts once: the age of one that comes back lacks the time of each transfer.
func (f *Feed) ObserveProgress(p *contract.TopicProgress) {
	if p == nil || p.ConfirmedAgeMS == contract.Unconfirmed {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.hasSynced || f.replica.NewestOffset()+1 < int64(p.End) || !f.isNew(p.Confirmation) {
		return
	}
	if len(f.heard) >= maxReadersHeard {
		clear(f.heard)
	}
	f.heard[p.Confirmation.Reader] = p.Confirmation.Number
	f.confirm(time.Now().Add(-time.Duration(p.ConfirmedAgeMS)*time.Millisecond), p.Confirmation)
}

// isNew reports whether a confirmation of another process is newer than those heard of. f.mu must be
// held.
func (f *Feed) isNew(c contract.Confirmation) bool {
	last, known := f.heard[c.Reader]
	return c.Reader != f.own.Reader && (!known || c.Number > last)
}

// confirm records that the store confirmed the end of the topic at a time, unless a later
// confirmation is known. f.mu must be held.
func (f *Feed) confirm(at time.Time, c contract.Confirmation) {
	if !at.After(f.confirmedAt) {
		return
	}
	if f.confirmedAt.IsZero() || at.Sub(f.confirmedAt) > f.opts.MaxAnswerGap {
		f.answersSince = at
	}
	f.confirmedAt, f.confirmation = at, c
}

// untilTakeover returns the time until the feed calls the store itself, and 0 if that is now.
// Meanwhile the store counts as available if it has answered a peer since it failed to answer
// this process.
func (f *Feed) untilTakeover() time.Duration {
	if f.opts.TakeoverAge == nil {
		return 0
	}
	takeoverAge := f.opts.TakeoverAge()
	f.mu.Lock()
	if takeoverAge <= 0 || !f.hasSynced || f.readRequested || f.replica.LostCount() > 0 {
		f.readRequested = false
		f.mu.Unlock()
		return 0
	}
	wait := takeoverAge - time.Since(f.confirmedAt)
	answersPeer := wait > 0 && !f.storeUp && !f.storeStateAt.IsZero() && f.confirmedAt.After(f.storeStateAt)
	f.mu.Unlock()
	if answersPeer {
		f.onCallSucceeded()
	}
	return max(wait, 0)
}
