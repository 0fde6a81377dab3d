package claims

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/claims"
	"mimosastand.example/mimosastand/services"
	"mimosastand.example/mimosastand/standin/logservice"
)

// result is what one load gave.
type result struct {
	calls, run, refused int
	// latency of Claim in microseconds, of calls decided Run.
	latency             *hdrhistogram.Histogram
	appends, throttled  uint64
	items               uint64
	logBytes, readBytes uint64
	reads               uint64
	elapsed             time.Duration
}

// unreachable is a Prober whose targets do not answer.
type unreachable struct{}

// Probe implements claims.Prober.
func (unreachable) Probe(context.Context, contract.ServiceName, contract.RequestID, time.Duration) (claims.ProbeResult, error) {
	return claims.ProbeResult{}, nil
}

// cluster is a log and the claim services of several entries.
type cluster struct {
	log      *httptest.Server
	services []*claims.Service
	cancel   context.CancelFunc
	running  sync.WaitGroup

	mu      sync.Mutex
	result  result
	pending sync.WaitGroup
}

func newCluster(p point, seed uint64) *cluster {
	c := &cluster{log: httptest.NewServer(logservice.New(logservice.Config{AppendRate: appendRate, Delay: appendDelay}))}
	c.result.latency = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	for i := range p.entries {
		config := claims.DefaultConfig(fmt.Sprintf("entry-%d", i))
		config.MaxKeys = 1 << 20
		if !p.batched {
			config.Batcher.MaxBytes = 1
		}
		s := claims.NewService(services.NewClient(c.log.URL), unreachable{}, claims.Options{
			Config: config, Stream: claims.Stream, Logger: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
			Scope: tally.NoopScope, Seed: seed + uint64(i),
		})
		s.SetWriterCount(p.entries)
		c.services = append(c.services, s)
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			s.Run(ctx)
		}()
	}
	return c
}

func (c *cluster) close() {
	c.cancel()
	c.running.Wait()
	c.log.Close()
}

func (c *cluster) awaitReady() error {
	const tries, pause = 500, 10 * time.Millisecond
	for range tries {
		ready := true
		for _, s := range c.services {
			ready = ready && s.Ready()
		}
		if ready {
			return nil
		}
		time.Sleep(pause)
	}
	return errors.New("bench: services did not get ready")
}

// measure offers calls at random times at a fixed mean rate.
func measure(p point, seed uint64) (result, error) {
	c := newCluster(p, seed)
	defer c.close()
	if err := c.awaitReady(); err != nil {
		return result{}, err
	}
	rng := rand.New(rand.NewPCG(seed, 2))
	start := time.Now()
	next := start
	for i := 0; time.Since(start) < loadTime; i++ {
		gap := rng.ExpFloat64() / float64(p.perSecond)
		next = next.Add(time.Duration(gap * float64(time.Second)))
		time.Sleep(time.Until(next))
		c.pending.Add(1)
		go c.call(c.services[rng.IntN(p.entries)], i)
	}
	c.result.elapsed = time.Since(start)
	if err := c.readStats(); err != nil {
		return result{}, err
	}
	c.pending.Wait()
	return c.result, nil
}

// call makes one keyed call that runs at once and is resolved.
func (c *cluster) call(s *claims.Service, i int) {
	defer c.pending.Done()
	ctx, cancel := context.WithTimeout(context.Background(), drainTime)
	defer cancel()
	claim := contract.Claim{
		Service: "registry-gateway", Team: "team", Key: fmt.Sprintf("018f3c5a-0000-4000-8000-%012d", i),
		Request: contract.RequestID(fmt.Sprintf("entry-17-%016d", i)), BodyHash: "blake3:body",
	}
	start := time.Now()
	d, err := s.Claim(ctx, claim)
	took := time.Since(start)
	c.count(d, took)
	if err == nil && d.Verdict == claims.Run {
		body := make([]byte, 200)
		_ = s.Resolve(ctx, claim, claims.Result{Outcome: contract.OutcomeDone, Status: 200, ContentType: "application/json", Body: body})
	}
}

func (c *cluster) count(d claims.Decision, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.calls++
	if d.Verdict != claims.Run {
		c.result.refused++
		return
	}
	c.result.run++
	_ = c.result.latency.RecordValue(took.Microseconds())
}

// readStats takes the log's counts at the end of the load.
func (c *cluster) readStats() error {
	resp, err := c.log.Client().Get(c.log.URL + "/stats")
	if err != nil {
		return errors.Wrap(err, "bench")
	}
	defer func() { _ = resp.Body.Close() }()
	var stats logservice.Stats
	if err := json.NewDecoder(resp.Body).Decode(&stats); err != nil {
		return errors.Wrap(err, "bench")
	}
	c.result.appends, c.result.throttled = stats.Appends, stats.Throttled
	c.result.logBytes, c.result.readBytes = stats.AppendedBytes, stats.ServedBytes
	c.result.reads = stats.Reads
	for _, s := range c.services {
		c.result.items += s.AppendedItems()
	}
	return nil
}
