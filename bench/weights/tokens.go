package weights

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mimosastand.example/mimosastand/weights/swarm"
)

// Live traffic of the token benchmark.
const (
	tokenGap     = 40 * time.Millisecond
	tokenJitter  = 4 * time.Millisecond
	tokenBytes   = 180
	localStreams = 200
	spillStreams = 100
	watchedHosts = 3
	tokenHosts   = 48
	tokenRegions = 3
	// The parts in which the agent sends chunks.
	tokenSegment       = 16 << 10
	tokenRemoteSegment = 8 << 10
	// tokenRun is how long tokens are watched without a roll-out, and the longest
	// time with one.
	tokenRun      = 30 * time.Second
	longestTokens = 10 * time.Minute
	// maxGap is the largest gap that the histogram tells apart.
	maxGap = int64(10 * time.Second)
)

// tokenSource sends the tokens of some streams over a path and records the gaps.
type tokenSource struct {
	wire *wire
	path []*line
	gaps *hdrhistogram.Histogram
}

func (t *tokenSource) stream() {
	last := time.Duration(-1)
	var send func()
	send = func() {
		t.hop(0, func() {
			if now := t.wire.clock.now; last >= 0 {
				_ = t.gaps.RecordValue(min(int64(now-last), maxGap))
			}
			last = t.wire.clock.now
		})
		t.wire.clock.after(tokenGap+time.Duration(t.wire.rng.Int64N(int64(2*tokenJitter)))-tokenJitter, send)
	}
	t.wire.clock.after(time.Duration(t.wire.rng.Int64N(int64(tokenGap))), send)
}

// hop sends one token over the lines from number k on.
func (t *tokenSource) hop(k int, arrived func()) {
	if k == len(t.path) {
		arrived()
		return
	}
	at := t.path[k].admit(tokenBytes)
	t.wire.clock.push(event{at: at, f: func() { t.hop(k+1, arrived) }})
}

// gapResult holds the p95 of token gaps inside a region and between regions,
// and how long the roll-out took.
type gapResult struct {
	local, spill time.Duration
	took         time.Duration
}

// tokenGaps streams tokens for a while, with or without a roll-out.
func tokenGaps(seed uint64, rollout, giveWay bool) gapResult {
	p := DefaultParams(tokenHosts, tokenRegions, seed)
	p.Segment, p.RemoteSegment = tokenSegment, tokenRemoteSegment
	w := newWire(p)
	local := hdrhistogram.New(1, maxGap, 3)
	spill := hdrhistogram.New(1, maxGap, 3)
	for i := range watchedHosts {
		h := w.hosts[i*tokenRegions]
		src := &tokenSource{wire: w, path: []*line{h.up}, gaps: local}
		for range localStreams {
			src.stream()
		}
	}
	h := w.hosts[watchedHosts*tokenRegions]
	src := &tokenSource{wire: w, path: []*line{h.up, w.between[0][1]}, gaps: spill}
	for range spillStreams {
		src.stream()
	}
	for _, h := range w.hosts {
		h.startSwarm(1)
		if giveWay {
			h.step(w.liveBudget(h))
		}
		if rollout {
			w.clock.after(time.Duration(w.rng.Float64()*float64(startSpread)), h.want)
		}
	}
	limit := tokenRun
	if rollout {
		limit = longestTokens
	}
	w.clock.run(limit, w.allDone)
	return gapResult{
		local: time.Duration(local.ValueAtQuantile(95)),
		spill: time.Duration(spill.ValueAtQuantile(95)),
		took:  w.clock.now,
	}
}

// liveBudget is what a host's target would tell of the live traffic.
func (w *wire) liveBudget(h *host) swarm.Budget {
	perStream := tokenBytes * int(time.Second/tokenGap)
	live := swarm.LiveTraffic{Up: localStreams * perStream, Region: spillStreams * perStream}
	links := swarm.Links{Machine: int(w.p.Machine), Region: int(w.p.Region)}
	return swarm.BudgetFor(links, live, swarm.SendersPerLink(swarm.DefaultSlots, len(w.hosts)/w.p.Regions, w.p.Regions))
}

func reportTokens(out io.Writer, seed uint64) error {
	calm := tokenGaps(seed, false, false)
	without := tokenGaps(seed, true, false)
	with := tokenGaps(seed, true, true)
	fmt.Fprintf(out, "\nlive token gaps, p95, %d targets in %d regions\n", tokenHosts, tokenRegions)
	fmt.Fprintf(out, "%-28s %10s %8s %14s %8s %8s\n", "", "in region", "ratio", "between", "ratio", "took")
	for _, row := range []struct {
		name string
		r    gapResult
	}{{"no roll-out", calm}, {"roll-out, not giving way", without}, {"roll-out, giving way", with}} {
		fmt.Fprintf(out, "%-28s %10s %8.2f %14s %8.2f %8s\n", row.name,
			row.r.local.Round(100*time.Microsecond), float64(row.r.local)/float64(calm.local),
			row.r.spill.Round(100*time.Microsecond), float64(row.r.spill)/float64(calm.spill), row.r.took.Round(100*time.Millisecond))
	}
	return nil
}
