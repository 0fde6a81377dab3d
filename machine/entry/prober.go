package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/machine/entry/claims"
	"mimosastand.example/mimosastand/machine/entry/dispatch"
	"mimosastand.example/mimosastand/platform"
)

const (
	probeTimeout = 2 * time.Second
	// historyMargin covers the lag of the host list.
	historyMargin = 10 * time.Second
)

// ErrProbe marks a target that did not answer a probe.
var ErrProbe = errors.New("entry: probe without an answer")

// prober asks all targets of a service about a request. It implements
// claims.Prober. Targets that have left the host list since the request claimed
// its key can vouch for nothing, so that the answer is then unknown; so it is
// for requests older than what this process has seen of the list.
type prober struct {
	links *links

	mu    sync.Mutex
	since time.Time
	hosts map[contract.ServiceName]map[contract.MachineID]string
	gone  map[contract.ServiceName]time.Time
}

func newProber(l *links) *prober {
	return &prober{links: l, gone: map[contract.ServiceName]time.Time{}}
}

// observe notes a newer host list.
func (p *prober) observe(now time.Time, list platform.HostList) {
	hosts := map[contract.ServiceName]map[contract.MachineID]string{}
	for _, h := range list.Hosts {
		if h.Role != platform.HostTarget {
			continue
		}
		if hosts[h.Service] == nil {
			hosts[h.Service] = map[contract.MachineID]string{}
		}
		hosts[h.Service][h.Machine] = h.Address
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.since.IsZero() {
		p.since = now
	}
	for name, former := range p.hosts {
		for machine := range former {
			if _, ok := hosts[name][machine]; !ok {
				p.gone[name] = now
			}
		}
	}
	p.hosts = hosts
}

// vouching returns the targets of a service, and whether they were all that
// there was for the given time.
func (p *prober) vouching(now time.Time, service contract.ServiceName, age time.Duration) (map[contract.MachineID]string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	from := now.Add(-age - historyMargin)
	known := !p.since.IsZero() && !p.since.After(from)
	return p.hosts[service], known && !p.gone[service].After(from)
}

// Probe implements claims.Prober.
func (p *prober) Probe(ctx context.Context, service contract.ServiceName, request contract.RequestID, age time.Duration) (claims.ProbeResult, error) {
	targets, complete := p.vouching(time.Now(), service, age)
	answers := make(chan claims.ProbeResult, len(targets))
	for machine, address := range targets {
		go func() { answers <- p.ask(ctx, machine, address, request, age) }()
	}
	together := claims.ProbeResult{State: claims.ProbeNeverRan}
	if !complete || len(targets) == 0 {
		together.State = claims.ProbeUnknown
	}
	for range targets {
		together = join(together, <-answers)
	}
	return together, nil
}

// join combines what two targets know: an answer wins over work that runs, and
// that over not knowing.
func join(a, b claims.ProbeResult) claims.ProbeResult {
	if rankOf(b.State) > rankOf(a.State) {
		return b
	}
	return a
}

func rankOf(s claims.ProbeState) int {
	switch s {
	case claims.ProbeDone:
		return 3
	case claims.ProbeRunning:
		return 2
	case claims.ProbeUnknown:
		return 1
	default:
		return 0
	}
}

// ask asks one target; without an answer the state is unknown.
func (p *prober) ask(ctx context.Context, machine contract.MachineID, address string, request contract.RequestID, age time.Duration) claims.ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	s, done, err := p.open(ctx, machine, address)
	if err != nil {
		return claims.ProbeResult{}
	}
	defer done()
	deadline, _ := ctx.Deadline()
	_ = s.SetReadDeadline(deadline)
	_ = s.SetWriteDeadline(deadline)
	query := contract.Query{
		Attempt:   contract.AttemptID{Request: request},
		Tombstone: true,
		Resend:    true,
		Age:       max(age, time.Millisecond),
	}
	if err := s.Send(contract.Message{Kind: contract.KindQuery, Query: &query}); err != nil {
		return claims.ProbeResult{}
	}
	return readProbe(s, request)
}

// open opens a stream on the link to a target, or on a connection of its own to
// a target that this entry keeps no link to.
func (p *prober) open(ctx context.Context, machine contract.MachineID, address string) (*link.Stream, func(), error) {
	conn, kept := p.links.pool.Get(machine)
	if !kept {
		dialed, err := p.links.endpoint.Dial(ctx, address)
		if err != nil {
			return nil, nil, errors.Mark(err, ErrProbe)
		}
		if dialed.Peer().Machine != machine {
			dialed.Close()
			return nil, nil, errors.Wrapf(ErrProbe, "%s answered for %s", dialed.Peer().Machine, machine)
		}
		conn = dialed
	}
	s, err := conn.Open(ctx)
	if err != nil {
		return nil, nil, errors.Mark(err, ErrProbe)
	}
	return s, func() {
		s.Close()
		if !kept {
			conn.Close()
		}
	}, nil
}

// receiver is the reading side of a stream.
type receiver interface {
	Recv() (contract.Message, error)
}

// readProbe reads a Status and, for a finished attempt, its answer.
func readProbe(s receiver, request contract.RequestID) claims.ProbeResult {
	m, err := s.Recv()
	if err != nil || m.Kind != contract.KindStatus || m.Status.Attempt.Request != request {
		return claims.ProbeResult{}
	}
	switch m.Status.State {
	case contract.AttemptNeverRan:
		return claims.ProbeResult{State: claims.ProbeNeverRan}
	case contract.AttemptQueued, contract.AttemptRunning:
		return claims.ProbeResult{State: claims.ProbeRunning}
	case contract.AttemptDone:
		return readAnswer(s, m.Status.Attempt)
	default:
		return claims.ProbeResult{}
	}
}

// readAnswer collects a whole answer; anything less is unknown.
func readAnswer(s receiver, id contract.AttemptID) claims.ProbeResult {
	var body []byte
	for seq := uint64(0); ; seq++ {
		m, err := s.Recv()
		if err != nil {
			return claims.ProbeResult{}
		}
		if m.Kind == contract.KindEnd && m.End.Attempt == id {
			return wholeAnswer(*m.End, seq, body)
		}
		if m.Kind != contract.KindChunk || m.Chunk.Attempt != id || m.Chunk.Seq != seq {
			return claims.ProbeResult{}
		}
		if len(body)+len(m.Chunk.Data) > dispatch.MaxAnswerBytes {
			return claims.ProbeResult{}
		}
		body = append(body, m.Chunk.Data...)
	}
}

func wholeAnswer(end contract.End, frames uint64, body []byte) claims.ProbeResult {
	if end.Outcome != contract.OutcomeDone || end.Frames != frames || end.Length != uint64(len(body)) {
		return claims.ProbeResult{}
	}
	return claims.ProbeResult{State: claims.ProbeDone, Result: &claims.Result{
		Status:      end.Status,
		ContentType: end.ContentType,
		Body:        body,
		Outcome:     contract.OutcomeDone,
	}}
}
