package direct

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"mimosastand.example/mimosastand/internal/boottime"
	"mimosastand.example/mimosastand/internal/standstill"
	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/platform"
	standins "mimosastand.example/mimosastand/standin/fleet"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/placement"
)

// followTargets has an entry follow the list of targets of a store until the test ends.
func followTargets(t *testing.T, e *Entry, store *standins.Store) {
	t.Helper()
	e.targetsFeed = feed.New(platform.NewStore(store.Address()), feed.Options{
		Topic: platform.TopicTargets, OnChange: func(update feed.Update) { e.fleet.applyTargetRecords(update) },
		// The list is read when it is requested only.
		ReadInterval: func() time.Duration { return time.Hour },
		Log:          &log.Logger{Handler: discard.Default, Level: log.InfoLevel},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.targetsFeed.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// Guards against the beginning of an answer that is taken for all of it (ORDER, review/8; MIXED): its target
// crashed and started again while the entry stood still, and listens when the entry reads the end of the connection.
func TestAnswerThatEndedInStandstillMayBeCutOff(t *testing.T) {
	const (
		head         = "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nAttempt-Id: a\r\nConnection: close\r\n\r\n"
		stream       = head + "id: 1\ndata: x\n\n"
		born, reborn = 1000, 2000
		pause        = 2 * time.Second
	)
	for name, c := range map[string]struct {
		stoodStill bool
		// listed is what the store lists at the end, at the target's address.
		listedID   string
		listedBorn int64
		storeDown  bool
		want       attempts.Outcome
	}{
		"went on":                                {false, "target-1", reborn, false, attempts.Completed},
		"stood still, same start":                {true, "target-1", born, false, attempts.Completed},
		"stood still, started again":             {true, "target-1", reborn, false, attempts.Lost},
		"stood still, started as another":        {true, "target-2", reborn, false, attempts.Lost},
		"stood still, removed":                   {true, "", 0, false, attempts.Lost},
		"stood still, the store does not answer": {true, "target-1", born, true, attempts.Lost},
		"went on, the store does not answer":     {false, "target-1", born, true, attempts.Completed},
	} {
		for kind, text := range map[catalog.Kind]string{catalog.Streaming: stream, catalog.Idempotent: head + "half", catalog.NonIdempotent: head + "half"} {
			store := standins.NewStore()
			e := newQuietEntry()
			var asleep atomic.Int64
			e.fleet.standstills = standstill.NewDetectorWithClock(minStandstill, func() time.Time {
				return boottime.Time().Add(time.Duration(asleep.Load()))
			})
			var address string
			list := func(id string, at int64) {
				store.Put(platform.TopicTargets, id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a","slots":8,"state":"ready","seq_no":%d,"born":%d}`,
					testService, address, at, at))
			}
			// The target goes on listening after it has ended the connection, as one that has started again does.
			address = connTarget(t, func(conn net.Conn, r *http.Request) {
				defer func() { _ = conn.Close() }()
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, text)
				if c.stoodStill {
					e.fleet.standstills.Observe()
					asleep.Store(int64(pause))
					e.fleet.standstills.Observe()
				}
			})
			list("target-1", born)
			followTargets(t, e, store)
			for !e.targetsFeed.HasSynced() {
				time.Sleep(time.Millisecond)
			}
			if c.listedID != "target-1" {
				store.Put(platform.TopicTargets, "target-1", "")
			}
			if c.listedID != "" && c.listedBorn != born {
				list(c.listedID, c.listedBorn)
			}
			store.SetDown(c.storeDown)
			call, _ := boundedCall(e, kind)
			outcome, failure := call.runAttempts(context.Background(), placement.Choice{ID: "target-1", Born: born, Address: address})
			failure.release()
			if outcome != c.want {
				t.Errorf("%s, %v: outcome %v, want %v", name, kind, outcome, c.want)
			}
			store.Close()
		}
	}
}
