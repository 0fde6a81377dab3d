package feed

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/platform"
)

const testTakeoverAge = time.Second

// newFollower returns a feed that holds a topic up to its record at offset 4 and leaves reading to
// peers.
func newFollower() *Feed {
	f := New(nil, Options{
		Topic:       platform.TopicOperators,
		TakeoverAge: func() time.Duration { return testTakeoverAge },
		OnChange:    func(Update) {},
		Log:         &log.Logger{Handler: discard.Default, Level: log.InfoLevel},
	})
	f.Merge(contract.Records{Records: []contract.Record{{Offset: 4, Key: "k", Value: []byte("v")}}, Synced: true, Newest: 4})
	return f
}

// confirmations counts those that progressOf returned.
var confirmations atomic.Uint32

// progressOf reports a confirmation that was not heard of before.
func progressOf(end int64, age time.Duration) *contract.TopicProgress {
	return &contract.TopicProgress{
		End: contract.Offset(end), ConfirmedAgeMS: uint32(age.Milliseconds()),
		Confirmation: contract.Confirmation{Reader: 1, Number: confirmations.Add(1)},
	}
}

// Guards against calls of the store that grow with the number of processes: at 268 of them 7,923
// calls in 24.5 s were three quarters of what the day was worth. A process does not call while the
// store confirms to others that it has missed nothing, and does once that is too long ago.
func TestFeedCallsStoreOnlyWithoutConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFollower()
		if wait := f.untilTakeover(); wait != 0 {
			t.Errorf("untilTakeover() = %v without any confirmation, want 0", wait)
		}
		f.ObserveProgress(progressOf(5, testTakeoverAge/4))
		if wait, want := f.untilTakeover(), testTakeoverAge*3/4; wait != want {
			t.Errorf("untilTakeover() = %v, want %v: the age counts that the peer reports", wait, want)
		}
		time.Sleep(testTakeoverAge / 2)
		f.ObserveProgress(progressOf(5, testTakeoverAge))
		if wait, want := f.untilTakeover(), testTakeoverAge/4; wait != want {
			t.Errorf("untilTakeover() = %v after an older confirmation, want %v", wait, want)
		}
		time.Sleep(testTakeoverAge / 4)
		if wait := f.untilTakeover(); wait != 0 {
			t.Errorf("untilTakeover() = %v once the confirmation is too old, want 0", wait)
		}
	})
}

// Guards against a process that takes a confirmation for its own although it lacks the records that
// the store confirmed, and so stays behind.
func TestConfirmationOfMissingRecordsDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFollower()
		f.ObserveProgress(progressOf(6, 0))
		if wait := f.untilTakeover(); wait != 0 {
			t.Errorf("untilTakeover() = %v while a record is missing, want 0", wait)
		}
		f.ObserveProgress(&contract.TopicProgress{End: 5, ConfirmedAgeMS: contract.Unconfirmed})
		if wait := f.untilTakeover(); wait != 0 {
			t.Errorf("untilTakeover() = %v if the peer has no confirmation either, want 0", wait)
		}
	})
}

// Guards against a feed that waits although its process needs the topic now, and against a store that
// counts as lost for ever although it answers the peer that reads in this process's place.
func TestTriggerAndStoreStateOfFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFollower()
		f.onCallFailed(platform.ErrUnavailable, time.Now())
		time.Sleep(testTakeoverAge)
		f.ObserveProgress(progressOf(5, 0))
		if f.untilTakeover() == 0 || !f.IsStoreUp() {
			t.Errorf("IsStoreUp() = %v after the store has answered a peer, want true", f.IsStoreUp())
		}
		f.TriggerRead()
		if wait := f.untilTakeover(); wait != 0 {
			t.Errorf("untilTakeover() = %v after TriggerRead, want 0", wait)
		}
		if wait := f.untilTakeover(); wait == 0 {
			t.Error("untilTakeover() = 0 again after the read that was triggered, want a wait")
		}
	})
}

// Guards against a short pause of the store that counts as an outage in which entries lapse: answers to
// any process, with pauses that are short enough, are one run.
func TestAnswersWithShortPausesAreOneRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxGap = time.Second
		f := newFollower()
		f.opts.MaxAnswerGap = maxGap
		var got contract.StoreAnswers
		f.opts.OnChange = func(u Update) { got = u.Answers }
		offset := int64(5)
		change := func() contract.StoreAnswers {
			f.Merge(contract.Records{Records: []contract.Record{{Offset: offset, Key: "k"}}, Synced: true, Newest: offset})
			offset++
			return got
		}
		if answers := change(); !answers.Last.IsZero() {
			t.Errorf("answers = %+v before any, want none", answers)
		}
		began := time.Now()
		for range 3 {
			f.ObserveProgress(progressOf(offset, 0))
			time.Sleep(maxGap)
		}
		if answers := change(); !answers.Since.Equal(began) || time.Since(answers.Last) != maxGap {
			t.Errorf("answers = %+v, want one run since %v", answers, began)
		}
		time.Sleep(time.Millisecond)
		f.ObserveProgress(progressOf(offset, 0))
		if answers := change(); !answers.Since.Equal(time.Now()) {
			t.Errorf("answers = %+v after a longer pause, want a run that begins now", answers)
		}
	})
}

// Guards against a topic that nobody reads (lists and manifests that are learned late) when all that read it
// for their zone are gone: over slow links a confirmation that went to and fro looked younger each time.
func TestConfirmationAgesWhilePassedToAndFro(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			interval  = 100 * time.Millisecond
			linkDelay = 150 * time.Millisecond
		)
		feeds := []*Feed{newFollower(), newFollower(), newFollower()}
		feeds[0].ObserveProgress(progressOf(5, 0))
		began := time.Now()
		for time.Since(began) < testTakeoverAge+2*linkDelay {
			for i, from := range feeds {
				for j, to := range feeds {
					if i != j {
						p := from.Progress()
						time.AfterFunc(linkDelay, func() { to.ObserveProgress(p) })
					}
				}
			}
			time.Sleep(interval)
		}
		for i, f := range feeds {
			if wait := f.untilTakeover(); wait > 0 {
				t.Errorf("feed %d waits for another %v, %v after the last confirmation; want none", i, wait, time.Since(began))
			}
		}
		time.Sleep(time.Second)
	})
}
