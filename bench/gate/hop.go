package gate

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/target/backend"
)

const (
	hopTime      = 1500 * time.Millisecond
	hopDeadline  = 10 * time.Second
	answerTokens = 32
	maxMicros    = 10_000_000
	digits       = 3
)

// errAnswer marks an answer that is not whole.
var errAnswer = errors.New("bench: answer is not whole")

// caller makes one call and returns the time to the first part of its answer.
type caller func(n int) (first time.Duration, err error)

// measured is what callers saw in one run.
type measured struct {
	calls, failed int
	// cpu is the processor time of caller, target and stand-in together.
	cpu          time.Duration
	first, whole *hdrhistogram.Histogram
}

// measure lets several callers call one after the other for hopTime.
func measure(callers int, call caller) measured {
	var mu sync.Mutex
	var next atomic.Int64
	m := measured{first: hdrhistogram.New(1, maxMicros, digits), whole: hdrhistogram.New(1, maxMicros, digits)}
	var wg sync.WaitGroup
	before := cpuTime()
	end := time.Now().Add(hopTime)
	for range callers {
		wg.Go(func() {
			for time.Now().Before(end) {
				began := time.Now()
				first, err := call(int(next.Add(1)))
				whole := time.Since(began)
				mu.Lock()
				m.note(first, whole, err)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	m.cpu = cpuTime() - before
	return m
}

// cpuTime returns the processor time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func (m *measured) note(first, whole time.Duration, err error) {
	if err != nil {
		m.failed++
		return
	}
	m.calls++
	_ = m.first.RecordValue(max(1, first.Microseconds()))
	_ = m.whole.RecordValue(max(1, whole.Microseconds()))
}

// runs tells the requests of one run from those of the former ones.
var runs atomic.Int64

// throughLink calls by an attempt over the link.
func (r *rig) throughLink(kind string) caller {
	run := runs.Add(1)
	return func(n int) (time.Duration, error) {
		start := contract.Start{
			Attempt: contract.AttemptID{Request: contract.RequestID(fmt.Sprintf("%d-%d", run, n)), N: 1},
			Service: "s", Team: "t", Remaining: hopDeadline, Idempotent: true,
			Method: http.MethodGet, Path: "/balance",
		}
		if kind == config.BackendModel {
			start.Weights = digest
			start.Body, _ = json.Marshal(map[string]any{"prompt": start.Attempt.Request, "max_tokens": answerTokens})
		}
		return r.attempt(start)
	}
}

func (r *rig) attempt(start contract.Start) (first time.Duration, err error) {
	began := time.Now()
	s, err := r.conn.Open(context.Background())
	if err != nil {
		return 0, err
	}
	defer s.Close()
	if err := s.Send(contract.Message{Kind: contract.KindStart, Start: &start}); err != nil {
		return 0, err
	}
	for {
		m, err := s.Recv()
		switch {
		case err != nil:
			return 0, err
		case m.Kind == contract.KindChunk && first == 0:
			first = time.Since(began)
		case m.Kind == contract.KindEnd && m.End.Outcome == contract.OutcomeDone:
			return first, nil
		case m.Kind == contract.KindEnd, m.Kind == contract.KindRefuse:
			return 0, errAnswer
		}
	}
}

// direct calls the stand-in without the system.
func (r *rig) direct(kind string) caller {
	if kind == config.BackendModel {
		client := backend.NewEngine(r.backURL)
		run := runs.Add(1)
		return func(n int) (time.Duration, error) {
			return directModel(client, fmt.Sprintf("%d-%d", run, n))
		}
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: hopRunning}}
	return func(int) (time.Duration, error) {
		began := time.Now()
		resp, err := client.Get(r.backURL + "/balance")
		if err != nil {
			return 0, err
		}
		defer func() { _ = resp.Body.Close() }()
		first := time.Since(began)
		_, err = io.Copy(&bytes.Buffer{}, resp.Body)
		return first, err
	}
}

func directModel(client *backend.Engine, id string) (first time.Duration, err error) {
	began := time.Now()
	call := backend.Generate{ID: id, Prompt: id, MaxTokens: answerTokens, Digest: digest}
	_, err = client.Generate(context.Background(), call, func(backend.Token) error {
		if first == 0 {
			first = time.Since(began)
		}
		return nil
	})
	return first, err
}

// reportHop prints calls through the target beside direct ones.
func reportHop(w io.Writer) error {
	fmt.Fprintf(w, "\nthe way through the target beside a direct call, loopback, %s each; model answers have %d tokens, %s apart\n",
		hopTime, answerTokens, tokenDelay)
	fmt.Fprintf(w, "%-8s %-8s %7s %9s %7s %12s %12s %12s %12s %11s\n",
		"back end", "way", "callers", "calls/s", "failed", "first p50 us", "first p99 us", "whole p50 us", "whole p99 us", "cpu us/call")
	rigs, err := newRigs()
	defer rigs.close()
	if err != nil {
		return err
	}
	for _, r := range rigs {
		for _, callers := range []int{1, 8, 48} {
			printHop(w, r.kind, "direct", callers, measure(callers, r.direct(r.kind)))
			printHop(w, r.kind, "target", callers, measure(callers, r.throughLink(r.kind)))
		}
	}
	return nil
}

func printHop(w io.Writer, kind, way string, callers int, m measured) {
	fmt.Fprintf(w, "%-8s %-8s %7d %9.0f %7d %12d %12d %12d %12d %11d\n", kind, way, callers,
		float64(m.calls)/hopTime.Seconds(), m.failed,
		m.first.ValueAtQuantile(50), m.first.ValueAtQuantile(99),
		m.whole.ValueAtQuantile(50), m.whole.ValueAtQuantile(99), m.cpu.Microseconds()/int64(max(1, m.calls)))
}
