package answers

import (
	"slices"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Frame is one part of an answer.
type Frame struct {
	// At is the position of the part in tokens (model) or bytes (plain service).
	At   uint64
	Data []byte
}

// Record is what the store holds of one attempt. Only the store changes it.
type Record struct {
	id      contract.AttemptID
	state   contract.AttemptState
	reason  contract.Reason
	expires time.Time
	index   int
	// heard tells that the attempt itself came, asked that a sender asked for its
	// tombstone.
	heard, asked bool

	// frames holds the parts from number first on, and data their bytes;
	// earlier ones were dropped.
	frames  []part
	data    []byte
	first   uint64
	dropped uint64
	length  uint64
	end     contract.End
	ended   time.Time
}

// part is where a frame lies in its answer.
type part struct {
	at uint64
	// end is the number of the answer's bytes up to the frame's end.
	end uint64
}

// partBytes is the memory of a frame beside its data.
const partBytes = 16

// memory returns the bytes that the answer takes.
func (r *Record) memory() int {
	return len(r.data) + partBytes*len(r.frames)
}

// add appends a frame.
func (r *Record) add(f Frame) {
	r.data = append(r.data, f.Data...)
	r.length += uint64(len(f.Data))
	r.frames = append(r.frames, part{at: f.At, end: r.length})
}

// drop drops the frames before number seq.
func (r *Record) drop(seq uint64) {
	n := min(seq, r.FrameCount()) - r.first
	if seq <= r.first || n == 0 {
		return
	}
	gone := r.frames[n-1].end - r.dropped
	r.frames = r.frames[n:]
	r.data = r.data[gone:]
	r.first += n
	r.dropped += gone
}

// clip gives up the spare room of a finished answer.
func (r *Record) clip() {
	r.data = slices.Clone(r.data)
	r.frames = slices.Clone(r.frames)
}

// ID returns the attempt's identifier.
func (r *Record) ID() contract.AttemptID { return r.id }

// State returns what is known about the attempt.
func (r *Record) State() contract.AttemptState { return r.state }

// Reason returns why the attempt never ran or broke, or "".
func (r *Record) Reason() contract.Reason { return r.reason }

// Heard reports whether the attempt itself came to this process.
func (r *Record) WasReceived() bool { return r.heard }

// Started reports whether the attempt may have reached the back end.
func (r *Record) HasStarted() bool {
	return r.state != contract.AttemptNeverRan
}

// Frames returns the number of frames of the answer so far.
func (r *Record) FrameCount() uint64 { return r.first + uint64(len(r.frames)) }

// Frame returns frame number seq, whose data is not to be changed; ok is false if it is not there (yet or any more).
func (r *Record) Frame(seq uint64) (f Frame, ok bool) {
	if seq < r.first || seq >= r.FrameCount() {
		return Frame{}, false
	}
	i := seq - r.first
	begin := r.dropped
	if i > 0 {
		begin = r.frames[i-1].end
	}
	p := r.frames[i]
	return Frame{At: p.at, Data: r.data[begin-r.dropped : p.end-r.dropped : p.end-r.dropped]}, true
}

// Kept reports whether the answer from frame seq on can be sent.
func (r *Record) CanSendFrom(seq uint64) bool {
	if r.state == contract.AttemptAnswerDropped || r.state == contract.AttemptNeverRan {
		return false
	}
	return seq >= r.first
}

// End returns the end of the answer; ok is false while the attempt runs.
func (r *Record) End() (end contract.End, ok bool) {
	return r.end, !r.ended.IsZero()
}

// expiryHeap orders records by the time at which they may be forgotten.
type expiryHeap []*Record

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	r := x.(*Record)
	r.index = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return r
}
