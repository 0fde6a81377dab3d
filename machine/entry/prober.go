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
	// maxHostListAge bounds the age of the state that the host list shows.
	maxHostListAge = 10 * time.Second
	// removedTargetRetention is how long targets that have left the host list are
	// remembered. It is longer than a key is held.
	removedTargetRetention = 2 * time.Hour
)

// ErrProbe marks the failure to open a stream to a target for a probe.
var ErrProbe = errors.New("entry: target cannot be probed")

// prober queries all targets of a service about a request, including those that have left
// the host list since the request claimed its key. It implements claims.Prober.
type prober struct {
	links *links

	mu          sync.Mutex
	tracker     *vouch.TargetTracker
	listVersion uint64
}

func newProber(l *links) *prober {
	return &prober{links: l, tracker: vouch.NewTargetTracker(vouch.Config{Retention: removedTargetRetention, MaxListAge: maxHostListAge})}
}

// recordHostList records a host list that was requested at the given time. It ignores
// lists with a lower version than one recorded before.
func (p *prober) recordHostList(requestedAt time.Time, list hostlist.List) {
	var targets []vouch.Target
	for _, h := range list.Hosts {
		if h.Role == hostlist.Target {
			targets = append(targets, vouch.Target{Service: h.Service, Machine: h.Machine, Address: h.Address})
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if list.Version < p.listVersion {
		return
	}
	p.listVersion = list.Version
	p.tracker.ObserveList(requestedAt, targets)
}

// observedReader calls observe with each host list that is read, even if the list has not
// changed.
type observedReader struct {
	hostlist.Reader
	observe func(requestedAt time.Time, list hostlist.List)
}

// List implements hostlist.Reader.
func (h observedReader) List(ctx context.Context) (hostlist.List, error) {
	requestedAt := time.Now()
	list, err := h.Reader.List(ctx)
	if err == nil {
		h.observe(requestedAt, list)
	}
	return list, err
}

// Probe implements claims.Prober.
func (p *prober) Probe(ctx context.Context, service contract.ServiceName, request contract.RequestID, age time.Duration) (claims.ProbeResult, error) {
	p.mu.Lock()
	targets, complete := p.tracker.ProbeTargets(time.Now(), service, age)
	p.mu.Unlock()
	replies := make(chan vouch.Answer, len(targets))
	for _, t := range targets {
		go func() { replies <- p.probeTarget(ctx, t.Machine, t.Address, request, age) }()
	}
	answers := make([]vouch.Answer, len(targets))
	for i := range answers {
		answers[i] = <-replies
	}
	return vouch.Combine(complete, answers), nil
}

// probeTarget queries one target. The query makes a target that does not know the request
// refuse it from then on.
func (p *prober) probeTarget(ctx context.Context, machine contract.MachineID, address string, request contract.RequestID, age time.Duration) vouch.Answer {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	s, done, err := p.openStream(ctx, machine, address)
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
	return readProbeReply(s, request)
}

// openStream opens a stream on the link to a target. If this entry has no link to the
// target, the stream is opened on a new connection, which is closed with it. The returned
// function closes the stream.
func (p *prober) openStream(ctx context.Context, machine contract.MachineID, address string) (*link.Stream, func(), error) {
	conn, pooled := p.links.pool.Get(machine)
	if !pooled {
		dialed, err := p.links.endpoint.Dial(ctx, address)
		if err != nil {
			return nil, nil, errors.Mark(err, ErrProbe)
		}
		if dialed.Peer().Machine != machine {
			dialed.Close()
			return nil, nil, errors.Wrapf(ErrProbe, "connected to %s instead of %s", dialed.Peer().Machine, machine)
		}
		conn = dialed
	}
	s, err := conn.Open(ctx)
	if err != nil {
		return nil, nil, errors.Mark(err, ErrProbe)
	}
	return s, func() {
		s.Close()
		if !pooled {
			conn.Close()
		}
	}, nil
}

// receiver is the receiving side of a stream.
type receiver interface {
	Recv() (contract.Message, error)
}

// readProbeReply reads a Status and, for a completed attempt, its answer. If the reply is
// incomplete, the returned answer is not marked as received.
func readProbeReply(s receiver, request contract.RequestID) vouch.Answer {
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

// readAnswer reads the frames of an answer. It returns nil unless the answer is complete.
func readAnswer(s receiver, id contract.AttemptID) *claims.Result {
	var body []byte
	for seq := uint64(0); ; seq++ {
		m, err := s.Recv()
		if err != nil {
			return nil
		}
		if m.Kind == contract.KindEnd && m.End.Attempt == id {
			return completeAnswer(*m.End, seq, body)
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

// completeAnswer returns the answer as a result, or nil if the totals of End do not match
// the frames received.
func completeAnswer(end contract.End, frames uint64, body []byte) *claims.Result {
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
