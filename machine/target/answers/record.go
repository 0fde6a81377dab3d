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
	id        contract.AttemptID
	state     contract.AttemptState
	reason    contract.Reason
	expiresAt time.Time
	heapIndex int
	// received reports whether the attempt itself arrived, requested whether a sender
	// requested a tombstone for it.
	received, requested bool

	// frames locates the frames from number firstFrame on in data; the earlier frames,
	// droppedBytes in all, were dropped. length counts the bytes of the answer, dropped
	// ones included.
	frames       []frameSpan
	data         []byte
	firstFrame   uint64
	droppedBytes uint64
	length       uint64
	end          contract.End
	endedAt      time.Time
}

// frameSpan is the place of a frame in its answer.
type frameSpan struct {
	at uint64
	// end is the number of bytes of the answer up to and including the frame.
	end uint64
}

// frameOverheadBytes is the memory that a frame takes in addition to its data.
const frameOverheadBytes = 16

// memoryBytes returns the memory that the answer takes.
func (r *Record) memoryBytes() int {
	return len(r.data) + frameOverheadBytes*len(r.frames)
}

func (r *Record) appendFrame(f Frame) {
	r.data = append(r.data, f.Data...)
	r.length += uint64(len(f.Data))
	r.frames = append(r.frames, frameSpan{at: f.At, end: r.length})
}

// dropFrames drops the frames before number seq.
func (r *Record) dropFrames(seq uint64) {
	n := min(seq, r.FrameCount()) - r.firstFrame
	if seq <= r.firstFrame || n == 0 {
		return
	}
	bytes := r.frames[n-1].end - r.droppedBytes
	r.frames = r.frames[n:]
	r.data = r.data[bytes:]
	r.firstFrame += n
	r.droppedBytes += bytes
}

// clipCapacity frees the unused capacity of a finished answer.
func (r *Record) clipCapacity() {
	r.data = slices.Clone(r.data)
	r.frames = slices.Clone(r.frames)
}

// ID returns the attempt's identifier.
func (r *Record) ID() contract.AttemptID { return r.id }

// State returns what is known about the attempt.
func (r *Record) State() contract.AttemptState { return r.state }

// Reason returns why the attempt never ran or did not complete, or "" if there is no
// reason.
func (r *Record) Reason() contract.Reason { return r.reason }

// WasReceived reports whether the attempt itself arrived at this process.
func (r *Record) WasReceived() bool { return r.received }

// HasStarted reports whether the attempt may have reached the back end.
func (r *Record) HasStarted() bool {
	return r.state != contract.AttemptNeverRan
}

// FrameCount returns the number of frames of the answer so far, dropped ones included.
func (r *Record) FrameCount() uint64 { return r.firstFrame + uint64(len(r.frames)) }

// Frame returns frame number seq, whose data must not be changed. ok is false if the
// frame has not arrived yet or has been dropped.
func (r *Record) Frame(seq uint64) (f Frame, ok bool) {
	if seq < r.firstFrame || seq >= r.FrameCount() {
		return Frame{}, false
	}
	i := seq - r.firstFrame
	begin := r.droppedBytes
	if i > 0 {
		begin = r.frames[i-1].end
	}
	span := r.frames[i]
	return Frame{At: span.at, Data: r.data[begin-r.droppedBytes : span.end-r.droppedBytes : span.end-r.droppedBytes]}, true
}

// CanSendFrom reports whether the answer can still be sent from frame seq on.
func (r *Record) CanSendFrom(seq uint64) bool {
	if r.state == contract.AttemptAnswerDropped || r.state == contract.AttemptNeverRan {
		return false
	}
	return seq >= r.firstFrame
}

// End returns the end of the answer. ok is false while the attempt is running.
func (r *Record) End() (end contract.End, ok bool) {
	return r.end, !r.endedAt.IsZero()
}

// expiryHeap orders records by the time at which they expire.
type expiryHeap []*Record

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt.Before(h[j].expiresAt) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	r := x.(*Record)
	r.heapIndex = len(*h)
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
