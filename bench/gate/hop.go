package gate

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/bench/closedloop"
	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/target/backend"
)

const (
	hopTime      = 1500 * time.Millisecond
	hopDeadline  = 10 * time.Second
	answerTokens = 32
)

// errAnswer marks an answer that is not whole.
var errAnswer = errors.New("bench: answer is not whole")

// runs tells the requests of one run from those of the former ones.
var runs atomic.Int64

// throughLink calls by an attempt over the link.
func (r *rig) throughLink(kind string) closedloop.Caller {
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
func (r *rig) direct(kind string) closedloop.Caller {
	if kind == config.BackendModel {
		client := backend.NewEngineClient(r.backURL)
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

func directModel(client *backend.EngineClient, id string) (first time.Duration, err error) {
	began := time.Now()
	call := backend.GenerateRequest{ID: id, Prompt: id, MaxTokens: answerTokens, Digest: digest}
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
			printHop(w, r.kind, "direct", callers, closedloop.Measure(callers, hopTime, r.direct(r.kind)))
			printHop(w, r.kind, "target", callers, closedloop.Measure(callers, hopTime, r.throughLink(r.kind)))
		}
	}
	return nil
}

func printHop(w io.Writer, kind, way string, callers int, m closedloop.Measured) {
	fmt.Fprintf(w, "%-8s %-8s %7d %9.0f %7d %12d %12d %12d %12d %11d\n", kind, way, callers,
		float64(m.Calls)/hopTime.Seconds(), m.Failed,
		m.First.ValueAtQuantile(50), m.First.ValueAtQuantile(99),
		m.Whole.ValueAtQuantile(50), m.Whole.ValueAtQuantile(99), m.CPU.Microseconds()/int64(max(1, m.Calls)))
}
