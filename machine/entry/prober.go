package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/machine/entry/claims"
	"mimosastand.example/mimosastand/machine/entry/claims/vouch"
	"mimosastand.example/mimosastand/machine/entry/dispatch"
	"mimosastand.example/mimosastand/zone/hostlist"
)

const (
	probeTimeout = 2 * time.Second
	// hostsLag bounds the age of what the host list shows.
	hostsLag = 10 * time.Second
	// goneTargetsKept is how long targets that left the list are remembered; it
	// is longer than a key is held.
	goneTargetsKept = 2 * time.Hour
)

// ErrProbe marks a target that did not answer a probe.
var ErrProbe = errors.New("entry: probe without an answer")

// prober asks all targets of a service about a request, also those that have
// left the host list since the request claimed its key. It implements
// claims.Prober.
type prober struct {
	links *links

	mu      sync.Mutex
	watch   *vouch.TargetTracker
	version uint64
}

func newProber(l *links) *prober {
	return &prober{links: l, watch: vouch.NewTargetTracker(vouch.Config{Retention: goneTargetsKept, MaxListAge: hostsLag})}
}

// observe notes a host list that was asked for at the given time. Lists older
// than one already seen are left out.
func (p *prober) observe(asked time.Time, list hostlist.List) {
	var targets []vouch.Target
	for _, h := range list.Hosts {
		if h.Role == hostlist.Target {
			targets = append(targets, vouch.Target{Service: h.Service, Machine: h.Machine, Address: h.Address})
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if list.Version < p.version {
		return
	}
	p.version = list.Version
	p.watch.ObserveList(asked, targets)
}

// observedHosts shows a prober each list that is read, also one without changes.
type observedHosts struct {
	hostlist.Reader
	observe func(asked time.Time, list hostlist.List)
}

// List implements hostlist.Reader.
func (h observedHosts) List(ctx context.Context) (hostlist.List, error) {
	asked := time.Now()
	list, err := h.Reader.List(ctx)
	if err == nil {
		h.observe(asked, list)
	}
	return list, err
}

// Probe implements claims.Prober.
func (p *prober) Probe(ctx context.Context, service contract.ServiceName, request contract.RequestID, age time.Duration) (claims.ProbeResult, error) {
	p.mu.Lock()
	targets, complete := p.watch.ProbeTargets(time.Now(), service, age)
	p.mu.Unlock()
	heard := make(chan vouch.Answer, len(targets))
	for _, t := range targets {
		go func() { heard <- p.ask(ctx, t.Machine, t.Address, request, age) }()
	}
	answers := make([]vouch.Answer, len(targets))
	for i := range answers {
		answers[i] = <-heard
	}
	return vouch.Combine(complete, answers), nil
}

// ask asks one target.
func (p *prober) ask(ctx context.Context, machine contract.MachineID, address string, request contract.RequestID, age time.Duration) vouch.Answer {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	s, done, err := p.open(ctx, machine, address)
	if err != nil {
		return vouch.Answer{}
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
		return vouch.Answer{}
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
func readProbe(s receiver, request contract.RequestID) vouch.Answer {
	m, err := s.Recv()
	if err != nil || m.Kind != contract.KindStatus || m.Status.Attempt.Request != request {
		return vouch.Answer{}
	}
	answer := vouch.Answer{Received: true, State: m.Status.State}
	if m.Status.State == contract.AttemptDone {
		answer.Result = readAnswer(s, m.Status.Attempt)
		answer.Received = answer.Result != nil
	}
	return answer
}

// readAnswer collects a whole answer; it returns nil for anything less.
func readAnswer(s receiver, id contract.AttemptID) *claims.Result {
	var body []byte
	for seq := uint64(0); ; seq++ {
		m, err := s.Recv()
		if err != nil {
			return nil
		}
		if m.Kind == contract.KindEnd && m.End.Attempt == id {
			return wholeAnswer(*m.End, seq, body)
		}
		if m.Kind != contract.KindChunk || m.Chunk.Attempt != id || m.Chunk.Seq != seq {
			return nil
		}
		if len(body)+len(m.Chunk.Data) > dispatch.MaxAnswerBytes {
			return nil
		}
		body = append(body, m.Chunk.Data...)
	}
}

func wholeAnswer(end contract.End, frames uint64, body []byte) *claims.Result {
	if end.Outcome != contract.OutcomeDone || end.Frames != frames || end.Length != uint64(len(body)) {
		return nil
	}
	return &claims.Result{
		Status:      end.Status,
		ContentType: end.ContentType,
		Body:        body,
		Outcome:     contract.OutcomeDone,
	}
}
