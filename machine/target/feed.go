package target

import (
	"context"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/target/answers"
)

const (
	// batchFrames and batchBytes bound what is taken from a feed at once.
	batchFrames = 64
	batchBytes  = 256 << 10
)

// feed is what the streams of one attempt read. Process.mu guards it.
type feed struct {
	id     contract.AttemptID
	record *answers.Record
	// accepted, refusal and end are set as the gate decides.
	accepted *contract.Accept
	refusal  *contract.Refuse
	end      *contract.End
	// stop ends the work; it is nil while the attempt is queued.
	stop    context.CancelCauseFunc
	readers []*reader
	// room has a value when a reader has consumed frames.
	room chan struct{}
}

func newFeed(id contract.AttemptID) *feed {
	return &feed{id: id, room: make(chan struct{}, 1)}
}

// reader is one stream that follows a feed.
type reader struct {
	// next is the first frame that the stream has not been given.
	next     uint64
	wantHead bool
	ready    chan struct{}
}

func (f *feed) attach(next uint64, wantHead bool) *reader {
	r := &reader{next: next, wantHead: wantHead, ready: make(chan struct{}, 1)}
	r.wake()
	f.readers = append(f.readers, r)
	return r
}

func (f *feed) detach(r *reader) {
	for i, other := range f.readers {
		if other == r {
			f.readers = append(f.readers[:i], f.readers[i+1:]...)
			break
		}
	}
	f.freed()
}

func (f *feed) signal() {
	for _, r := range f.readers {
		r.wake()
	}
}

func (f *feed) freed() {
	select {
	case f.room <- struct{}{}:
	default:
	}
}

func (r *reader) wake() {
	select {
	case r.ready <- struct{}{}:
	default:
	}
}

// consumed returns the number of frames that every reader has; all of them if
// nobody reads.
func (f *feed) consumed() uint64 {
	low := f.record.FrameCount()
	for _, r := range f.readers {
		low = min(low, r.next)
	}
	return low
}

// take returns the messages that r has not been given yet. last tells that the
// feed ends with them; lost that frames which r wants are no longer kept.
func (f *feed) take(r *reader, batch []contract.Message) (out []contract.Message, last, lost bool) {
	if f.refusal != nil {
		return append(batch, contract.Message{Kind: contract.KindRefuse, Refuse: f.refusal}), true, false
	}
	if r.wantHead && f.accepted != nil {
		r.wantHead = false
		batch = append(batch, contract.Message{Kind: contract.KindAccept, Accept: f.accepted})
	}
	if f.record != nil {
		batch, lost = f.frames(r, batch)
	}
	if f.end != nil && (f.record == nil || r.next >= f.end.Frames) {
		return append(batch, contract.Message{Kind: contract.KindEnd, End: f.end}), true, lost
	}
	return batch, false, lost
}

func (f *feed) frames(r *reader, batch []contract.Message) (out []contract.Message, lost bool) {
	size := 0
	for len(batch) < batchFrames && size < batchBytes && r.next < f.record.FrameCount() {
		frame, ok := f.record.Frame(r.next)
		if !ok {
			return batch, true
		}
		chunk := &contract.Chunk{Attempt: f.id, Seq: r.next, At: frame.At, Data: frame.Data}
		batch = append(batch, contract.Message{Kind: contract.KindChunk, Chunk: chunk})
		size += len(frame.Data)
		r.next++
	}
	if r.next < f.record.FrameCount() {
		r.wake()
	}
	f.freed()
	return batch, false
}
