package through

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/bench/closedloop"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/claims"
)

const (
	runTime      = 1500 * time.Millisecond
	answerTokens = 32
	readyTimeout = 30 * time.Second
	readyPoll    = 20 * time.Millisecond
)

// errAnswer marks an answer that is not whole.
var errAnswer = errors.New("bench: answer is not whole")

// noClaims refuses keyed calls; none are made.
type noClaims struct{}

// Claim implements claims.Claimer.
func (noClaims) Claim(context.Context, contract.Claim) (claims.Decision, error) {
	return claims.Decision{}, nil
}

// Resolve implements claims.Claimer.
func (noClaims) Resolve(context.Context, contract.Claim, claims.Result) error { return nil }

// Run prints calls through the system beside direct ones. Times vary from run
// to run; the seed is not used.
func Run(out io.Writer, _ uint64) error {
	r, err := newRig()
	if r != nil {
		defer r.close()
	}
	if err != nil {
		return errors.Wrap(err, "bench")
	}
	if err := r.awaitReady(); err != nil {
		return err
	}
	fmt.Fprintf(out, "calls through entry and target beside direct ones, loopback, %s each, all in one process; %d tokens, %s apart\n",
		runTime, answerTokens, tokenDelay)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "service\tway\tcallers\tcalls/s\tfailed\tfirst p50\tfirst p99\twhole p50\twhole p99\tcpu a call")
	for _, name := range []string{plain, model} {
		for _, callers := range []int{1, 8, 48} {
			for _, way := range []string{"direct", "system"} {
				m := closedloop.Measure(callers, runTime, r.caller(name, way))
				fmt.Fprintf(table, "%s\t%s\t%d\t%.0f\t%d\t%d us\t%d us\t%d us\t%d us\t%d us\n", name, way, callers,
					float64(m.Calls)/runTime.Seconds(), m.Failed, m.First.ValueAtQuantile(50), m.First.ValueAtQuantile(99),
					m.Whole.ValueAtQuantile(50), m.Whole.ValueAtQuantile(99), m.CPU.Microseconds()/int64(max(1, m.Calls)))
			}
		}
	}
	return table.Flush()
}

// awaitReady calls each service until it answers with all its limit.
func (r *rig) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, name := range []string{plain, model} {
		call := r.caller(name, "system")
		for {
			if _, err := call(0); err == nil {
				break
			}
			if time.Now().After(deadline) {
				return errors.Newf("bench: %s is not ready", name)
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

func (r *rig) caller(name, way string) closedloop.Caller {
	base := r.direct[name]
	path := "/balance"
	if way == "system" {
		base = "http://" + r.entry.HTTPAddress()
		path = "/v1/services/" + name + path
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: running}}
	if name == plain {
		return func(int) (time.Duration, error) { return get(client, base+path) }
	}
	path = "/v1/generate"
	if way == "system" {
		path = "/v1/models/" + name + "/generate"
	}
	run := runs.Add(1)
	return func(n int) (time.Duration, error) {
		body := fmt.Sprintf(`{"id":"%d-%d","prompt":"p%d","max_tokens":%d,"digest":%q}`, run, n, n, answerTokens, digest)
		return generate(client, base+path, body)
	}
}

// runs tells the requests of one run from those of the former ones.
var runs atomic.Int64

// send sends a request of the benchmark's team and returns when it began to.
func send(client *http.Client, method, url string, body io.Reader) (began time.Time, resp *http.Response, err error) {
	req, err := http.NewRequest(method, url, body)
	if err != nil {
		return time.Time{}, nil, err
	}
	req.Header.Set("X-Team", teamName)
	began = time.Now()
	resp, err = client.Do(req)
	return began, resp, err
}

func get(client *http.Client, url string) (time.Duration, error) {
	began, resp, err := send(client, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	first := time.Since(began)
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		return 0, errAnswer
	}
	return first, nil
}

func generate(client *http.Client, url, body string) (first time.Duration, err error) {
	began, resp, err := send(client, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	tokens, ended := 0, false
	for lines.Scan() {
		switch {
		case strings.HasPrefix(lines.Text(), "event: token"):
			tokens++
			if first == 0 {
				first = time.Since(began)
			}
		case strings.HasPrefix(lines.Text(), "event: end"):
			ended = true
		}
	}
	if tokens != answerTokens || !ended {
		return 0, errAnswer
	}
	return first, nil
}
