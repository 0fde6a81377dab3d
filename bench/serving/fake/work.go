package fake

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Next is when the target next has output; ok is false if it has none.
func (t *Target) Next() (at time.Time, ok bool) {
	for _, a := range t.running {
		if !ok || a.next.Before(at) {
			at, ok = a.next, true
		}
	}
	return at, ok
}

// Tick returns what the target says up to now.
func (t *Target) Tick(now time.Time) []Output {
	var out []Output
	left := t.running[:0]
	slowdown := 0.0
	if len(t.running) > 0 {
		slowdown = t.slowdown(now)
	}
	for _, a := range t.running {
		if a.next.After(now) {
			left = append(left, a)
			continue
		}
		out = t.advance(now, a, slowdown, out)
		if a.end == nil {
			left = append(left, a)
		}
	}
	t.running = left
	return out
}

// advance makes the next frame of an attempt, or its end.
func (t *Target) advance(now time.Time, a *attempt, slowdown float64, out []Output) []Output {
	if a.end == nil && a.frames < a.total {
		out = append(out, Output{a.start.Attempt, t.frame(a, a.frames)})
		a.frames++
		a.length += frameBytes
		t.Tokens++
		a.next = now.Add(time.Duration(float64(t.Gap) * slowdown))
	}
	if a.end == nil && a.frames == a.total {
		t.finish(a, contract.OutcomeDone, "")
	}
	if a.end != nil {
		out = append(out, Output{a.start.Attempt, t.endMessage(now, a)})
	}
	return out
}

const frameBytes = 2

// frame is frame seq of an attempt: a function of request, digest and position,
// so that crossed or spliced answers show.
func (t *Target) frame(a *attempt, seq uint64) contract.Message {
	at := seq
	if t.Model {
		at += a.start.ResumeAt
	}
	return contract.Message{Kind: contract.KindChunk, Chunk: &contract.Chunk{
		Attempt: a.start.Attempt, Seq: seq, At: at, Data: Part(a.start.Attempt.Request, a.start.Weights, at),
	}}
}

// Part is the part of an answer at a position.
func Part(request contract.RequestID, digest contract.Digest, at uint64) []byte {
	sum := at * 31
	for i := range len(request) {
		sum = sum*131 + uint64(request[i])
	}
	if len(digest) > 0 {
		sum = sum*131 + uint64(digest[len(digest)-1])
		sum = sum*131 + uint64(digest[8])
	}
	return []byte{byte(sum), byte(sum >> 8)}
}

func (t *Target) endMessage(now time.Time, a *attempt) contract.Message {
	end := *a.end
	end.Load = t.Load(now, a.from)
	return contract.Message{Kind: contract.KindEnd, End: &end}
}

// Query answers a question, with the frames and the end that are there.
func (t *Target) Query(now time.Time, q contract.Query) []contract.Message {
	a, ok := t.attempts[q.Attempt]
	if !ok {
		return []contract.Message{t.unknown(now, q)}
	}
	out := []contract.Message{t.statusMessage(q.Attempt, a)}
	if !q.Resend || a.state == contract.AttemptNeverRan {
		return out
	}
	for seq := q.ResendFrom; seq < a.frames; seq++ {
		out = append(out, t.frame(a, seq))
	}
	if a.end != nil {
		out = append(out, t.endMessage(now, a))
	}
	return out
}

// unknown puts a tombstone if it is asked to; the target vouches only for the
// time since it started.
func (t *Target) unknown(now time.Time, q contract.Query) contract.Message {
	a := &attempt{start: contract.Start{Attempt: q.Attempt}}
	if q.Tombstone {
		a.state = contract.AttemptNeverRan
		a.unsure = q.Age >= now.Sub(t.born)
		t.attempts[q.Attempt] = a
	}
	return t.statusMessage(q.Attempt, a)
}

func (t *Target) statusMessage(id contract.AttemptID, a *attempt) contract.Message {
	state := a.state
	if a.unsure {
		state = contract.AttemptNoRecord
	}
	return contract.Message{Kind: contract.KindStatus, Status: &contract.Status{
		Attempt: id, State: state, Incarnation: t.incarnation,
	}}
}

// Cancel stops an attempt that nobody waits for.
func (t *Target) Cancel(id contract.AttemptID) {
	for i, a := range t.running {
		if a.start.Attempt == id && (t.Model || a.start.Idempotent) {
			t.finish(a, contract.OutcomeUnknown, contract.ReasonCallerGone)
			t.running = append(t.running[:i], t.running[i+1:]...)
			return
		}
	}
}
