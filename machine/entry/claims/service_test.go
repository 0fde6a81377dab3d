package claims

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/services"
	"mimosastand.example/mimosastand/standin/fault"
	"mimosastand.example/mimosastand/standin/logservice"
)

// noTargets is a Prober without targets: the state of every request is unknown.
type noTargets struct{}

func (noTargets) Probe(context.Context, contract.ServiceName, contract.RequestID, time.Duration) (ProbeResult, error) {
	return ProbeResult{}, nil
}

func startService(t *testing.T, url, writer string) *Service {
	config := DefaultConfig(writer)
	config.LogTimeout = time.Minute
	config.HolderTimeout = time.Minute
	config.ProbeDelay = time.Hour
	s := NewService(services.NewClient(url), noTargets{}, Options{
		Config: config, Stream: Stream, Logger: &log.Logger{Handler: log.HandlerFunc(func(*log.Entry) error { return nil })}, Scope: tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return s
}

// TestServiceRunsOnceDespiteLostReplies claims each key through two services at once
// while some appends lose their reply. Each key must run once, and both calls must get
// its answer.
func TestServiceRunsOnceDespiteLostReplies(t *testing.T) {
	handler := logservice.New(logservice.Config{})
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	services := []*Service{startService(t, server.URL, "a"), startService(t, server.URL, "b")}
	handler.Set(fault.Request{Fault: fault.LostReply, Method: "POST", Count: 3})
	const keys = 20
	var runs [keys]atomic.Int32
	var wg sync.WaitGroup
	for i := range keys {
		for j, s := range services {
			wg.Add(1)
			go func() {
				defer wg.Done()
				callOnce(t, s, i, j, &runs[i])
			}()
		}
	}
	wg.Wait()
	for i := range keys {
		if n := runs[i].Load(); n != 1 {
			t.Errorf("key %d ran %d times, want once", i, n)
		}
	}
}

func callOnce(t *testing.T, s *Service, key, caller int, runs *atomic.Int32) {
	ctx := context.Background()
	c := contract.Claim{Service: "registry", Team: "t", Key: fmt.Sprint(key), Request: contract.RequestID(fmt.Sprintf("%d-%d", key, caller))}
	d, err := s.Claim(ctx, c)
	if err != nil {
		t.Error(err)
		return
	}
	answer := fmt.Sprintf("answer %d", key)
	switch d.Verdict {
	case Run:
		runs.Add(1)
		if err := s.Resolve(ctx, c, Result{Outcome: contract.OutcomeDone, Status: 200, Body: []byte(answer)}); err != nil {
			t.Error(err)
		}
	case Replay:
		if string(d.Result.Body) != answer {
			t.Errorf("replayed answer to key %d is %q, want the answer of the request that ran", key, d.Result.Body)
		}
	default:
		t.Errorf("Claim() of key %d: verdict %q, want run or replay", key, d.Verdict)
	}
}

// TestServiceWithoutLogIsUnavailable checks that a call gets a decision when its context
// ends while the log is unavailable.
func TestServiceWithoutLogIsUnavailable(t *testing.T) {
	server := httptest.NewServer(logservice.New(logservice.Config{}))
	server.Close()
	s := startService(t, server.URL, "a")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	d, err := s.Claim(ctx, contract.Claim{Service: "registry", Team: "t", Key: "k", Request: "r"})
	if err != nil || d.Verdict != Unavailable || d.RetryAfter <= 0 {
		t.Fatalf("Claim() = %+v, %v, want unavailable with a Retry-After", d, err)
	}
}

// TestServiceRefusesKeysPastRetention checks that a service starts at the oldest record
// that the log retains, and then refuses a key that may have been used before that
// record.
func TestServiceRefusesKeysPastRetention(t *testing.T) {
	server := httptest.NewServer(logservice.New(logservice.Config{Retention: 1}))
	t.Cleanup(server.Close)
	var runs atomic.Int32
	a := startService(t, server.URL, "a")
	callOnce(t, a, 1, 0, &runs)
	callOnce(t, a, 2, 0, &runs)
	b := startService(t, server.URL, "b")
	claim := contract.Claim{Service: "registry", Team: "t", Key: "2", Request: "b-2"}
	if d, err := b.Claim(context.Background(), claim); err != nil || d.Verdict != Unavailable {
		t.Errorf("Claim() = verdict %q, error %v, want unavailable", d.Verdict, err)
	}
}
