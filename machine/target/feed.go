package target

import (
	"context"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/target/answers"
)

const (
	// batchFrames and batchBytes bound how much is read from a feed at once.
	batchFrames = 64
	batchBytes  = 256 << 10
)

// feed holds the messages that the streams of one attempt read. Process.mu guards it.
type feed struct {
	id     contract.AttemptID
	record *answers.Record
	// accept, refusal and end are set by effects of the gate.
	accept  *contract.Accept
	refusal *contract.Refuse
	end     *contract.End
	// stop ends the work; it is nil while the attempt is queued.
	stop    context.CancelCauseFunc
	readers []*reader
	// room has a value when a reader has consumed frames or was detached.
	room chan struct{}
}

func newFeed(id contract.AttemptID) *feed {
	return &feed{id: id, room: make(chan struct{}, 1)}
}

// reader is the position of one stream in a feed.
type reader struct {
	// next is the first frame that the stream has not received.
	next        uint64
	needsAccept bool
	ready       chan struct{}
}

func (f *feed) attach(next uint64, needsAccept bool) *reader {
	r := &reader{next: next, needsAccept: needsAccept, ready: make(chan struct{}, 1)}
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
	f.signalRoom()
}

func (f *feed) wakeReaders() {
	for _, r := range f.readers {
		r.wake()
	}
}

func (f *feed) signalRoom() {
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

// consumed returns the number of frames that all readers have read; the number of all
// frames if there is no reader.
func (f *feed) consumed() uint64 {
	low := f.record.FrameCount()
	for _, r := range f.readers {
		low = min(low, r.next)
	}
	return low
}

// nextMessages appends the messages that r has not read yet to batch, up to the bounds of
// a batch. last is set if the feed ends with them, lost if the next frame of r is no longer
// stored.
func (f *feed) nextMessages(r *reader, batch []contract.Message) (messages []contract.Message, last, lost bool) {
	if f.refusal != nil {
		return append(batch, contract.Message{Kind: contract.KindRefuse, Refuse: f.refusal}), true, false
	}
	if r.needsAccept && f.accept != nil {
		r.needsAccept = false
		batch = append(batch, contract.Message{Kind: contract.KindAccept, Accept: f.accept})
	}
	if f.record != nil {
		batch, lost = f.appendFrames(r, batch)
	}
	if f.end != nil && (f.record == nil || r.next >= f.end.Frames) {
		return append(batch, contract.Message{Kind: contract.KindEnd, End: f.end}), true, lost
	}
	return batch, false, lost
}

func (f *feed) appendFrames(r *reader, batch []contract.Message) (messages []contract.Message, lost bool) {
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
	f.signalRoom()
	return batch, false
}
