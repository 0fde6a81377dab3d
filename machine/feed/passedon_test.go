package feed

import (
	"fmt"
	"slices"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"pgregory.net/rapid"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/platform"
)

// newSilentFeed returns a feed that is not running; onChange gets its updates.
func newSilentFeed(onChange func(Update)) *Feed {
	return New(nil, Options{Topic: platform.TopicTargets, OnChange: onChange, Log: &log.Logger{Handler: discard.Default, Level: log.InfoLevel}})
}

// Guards against requests to a target that has left the list (DRAIN, ourthe-bench trouble-2): an entry that
// was behind got the records after the removal from one that had just started, took itself for up to date, and
// never learned of the removal, which the other did not know either.
func TestRemovalIsNotMissedWhenPeerHasJustStarted(t *testing.T) {
	l := &restorableLog{}
	l.write("gone", "v")
	l.write("kept", "v")
	removed := false
	behind := newSilentFeed(func(u Update) {
		removed = removed || slices.ContainsFunc(u.Records, func(r contract.Record) bool { return r.Key == "gone" && len(r.Value) == 0 })
	})
	behind.reset(l.newest(), l.era, l.end())
	l.write("gone", "")
	l.write("kept", "w")
	started := newSilentFeed(func(Update) {})
	started.reset(l.newest(), l.era, l.end())
	behind.Merge(started.RecordsAfter(behind.NewestOffset()))
	if !removed {
		t.Errorf("the feed that was behind holds the topic up to %d and has not learned that a key was removed", behind.NewestOffset())
	}
}

// feedModel is a topic and some feeds that follow it, of which each may read the store, pull from another
// one or start anew.
type feedModel struct {
	topic restorableLog
	feeds []*Feed
	// replies holds the reply to the last pull of each feed, which arrives later.
	replies []contract.Records
}

func newFeedModel(n int) *feedModel {
	m := &feedModel{replies: make([]contract.Records, n)}
	for range n {
		m.feeds = append(m.feeds, newSilentFeed(func(Update) {}))
	}
	return m
}

// step lets one thing happen to the topic or to a feed.
func (m *feedModel) step(t *rapid.T) {
	i := rapid.IntRange(0, len(m.feeds)-1).Draw(t, "feed")
	f := m.feeds[i]
	switch rapid.SampledFrom([]string{"write", "delete", "snapshot", "read", "pull", "reply", "restart"}).Draw(t, "step") {
	case "write":
		m.topic.write(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key"), fmt.Sprint("v", len(m.topic.records)))
	case "delete":
		m.topic.write(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key"), "")
	case "snapshot":
		f.reset(m.topic.newest(), m.topic.era, m.topic.end())
	case "read":
		if f.HasSynced() {
			next := m.topic.records[f.NewestOffset()+1:]
			f.applyChange(func() []contract.Record { return f.replica.Apply(next) }, false)
		}
	case "pull":
		m.replies[i] = m.feeds[rapid.IntRange(0, len(m.feeds)-1).Draw(t, "peer")].RecordsAfter(f.NewestOffset())
	case "reply":
		f.Merge(m.replies[i])
		m.replies[i] = contract.Records{}
	case "restart":
		m.feeds[i], m.replies[i] = newSilentFeed(func(Update) {}), contract.Records{}
	}
}

// check compares what each feed holds with the topic at the position up to which the feed holds it.
func (m *feedModel) check(t *rapid.T) {
	for i, f := range m.feeds {
		if !f.HasSynced() {
			continue
		}
		then := restorableLog{records: m.topic.records[:f.NewestOffset()+1]}
		want := then.newest()
		for _, key := range []string{"a", "b", "c", "d"} {
			held := string(f.replica.records[key].Value)
			index := slices.IndexFunc(want, func(r contract.Record) bool { return r.Key == key })
			if index < 0 && held != "" || index >= 0 && held != string(want[index].Value) {
				t.Fatalf("feed %d holds the topic up to %d, with key %s = %q; the topic has %v there", i, f.NewestOffset(), key, held, want)
			}
		}
	}
}

// A feed holds exactly what the topic has at the position up to which it holds it, whoever it got that from.
func TestFeedsHoldWhatTheyReport(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFeedModel(3)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.step(t)
			m.check(t)
		}
	})
}
