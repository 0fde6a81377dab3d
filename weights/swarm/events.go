package swarm

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Event is an input of the state machine.
type Event interface{ event() }

// Effect is an output of the state machine, to be carried out in order.
type Effect interface{ effect() }

// PeersChanged replaces the known live targets, without the own machine.
type PeersChanged struct{ Peers []Peer }

// Want asks for a version, or changes the priority of one.
type DesiredVersion struct {
	Version contract.Digest
	// Chunks is the number of chunks; ChunkBytes the size of each in bytes.
	Chunks, ChunkBytes int
	// Priority orders versions; a greater one is drawn first.
	Priority int
}

// Withdraw stops drawing and serving a version and forgets its state.
type Withdraw struct{ Version contract.Digest }

// HaveReceived tells which chunks a peer holds.
type HaveReceived struct {
	From    contract.MachineID
	Version contract.Digest
	// Epoch orders the runs of the peer's process.
	Epoch uint64
	// First is the chunk of the bitmap's first bit.
	First  int
	Bitmap []byte
}

// HaveFailed tells that a SendHave did not reach the peer.
type HaveFailed struct {
	To      contract.MachineID
	Version contract.Digest
}

// RequestReceived is a peer's request for a chunk.
type RequestReceived struct{ Upload }

// UploadEnded tells that a served request is finished or was cancelled.
type UploadEnded struct{ Upload }

// ChunkVerified tells that a requested chunk arrived and matched its digest.
type ChunkVerified struct{ Download }

// ChunkFailed tells that a request brought no usable chunk.
type ChunkFailed struct {
	Download
	Cause Failure
}

// Budget tells how many bytes a second live traffic leaves to weights; 0 means
// no bound.
type Budget struct {
	// Upload and Download concern the machine's own link.
	Upload, Download int
	// Region concerns each link to another region, for this machine.
	Region int
}

// Tick tells that the time of Next has come.
type Tick struct{}

func (PeersChanged) event()    {}
func (DesiredVersion) event()  {}
func (Withdraw) event()        {}
func (HaveReceived) event()    {}
func (HaveFailed) event()      {}
func (RequestReceived) event() {}
func (UploadEnded) event()     {}
func (ChunkVerified) event()   {}
func (ChunkFailed) event()     {}
func (Budget) event()          {}
func (Tick) event()            {}

// Draw names one chunk and where it is drawn from. An empty From is the origin.
type Download struct {
	Version contract.Digest
	Index   int
	From    contract.MachineID
}

// Upload names one chunk and the peer that asked for it.
type Upload struct {
	Version contract.Digest
	Index   int
	To      contract.MachineID
}

// Failure tells why a request brought no chunk.
type Failure uint8

// The causes of a failed request.
const (
	// FailureLink means that the peer could not be reached.
	FailureLink Failure = iota
	// FailureBusy means that the peer had no room.
	FailureBusy
	// FailureMissing means that the peer lacks what it advertised.
	FailureMissing
	// FailureCorrupt means that the chunk's hash was wrong.
	FailureCorrupt
	// FailureSize means that the reply was too long, too short or not asked for.
	FailureSize
)

// Request asks a peer, or the origin, for a chunk.
type Request struct{ Download }

// CancelRequest gives up a request; its result is not awaited any more.
type CancelRequest struct{ Download }

// Serve sends a held chunk at the rate of SetRates.
type Serve struct {
	Upload
	// Remote tells that the peer is in another region.
	Remote bool
}

// Refuse answers a request without a chunk.
type Refuse struct {
	Upload
	Cause Failure
}

// SendHave tells a peer which chunks are held.
type SendHave struct {
	To      contract.MachineID
	Version contract.Digest
	Epoch   uint64
	First   int
	Bitmap  []byte
}

// SetRates bounds in bytes a second what all chunks served inside the region
// send together, and what the chunks served to each other region do; 0 means no
// bound.
type SetRates struct {
	Upload, Region int
}

// Whole tells that every chunk of a version is held.
type VersionComplete struct{ Version contract.Digest }

// Note reports something to be counted.
type Note struct {
	Kind NoteKind
	Peer contract.MachineID
}

// NoteKind names what a Note counts.
type NoteKind string

// The kinds of note.
const (
	NoteCorrupt        NoteKind = "chunk_corrupt"
	NoteSize           NoteKind = "chunk_size"
	NoteMissing        NoteKind = "chunk_missing"
	NoteStalled        NoteKind = "source_stalled"
	NoteBanned         NoteKind = "source_banned"
	NoteTakeOver       NoteKind = "slot_taken_over"
	NoteEndgame        NoteKind = "second_source"
	NoteUnrequested    NoteKind = "chunk_unasked"
	NoteBadHave        NoteKind = "have_refused"
	NoteBadRequest     NoteKind = "request_refused"
	NoteBusy           NoteKind = "request_busy"
	NoteOriginFallback NoteKind = "origin_fallback"
)

func (Request) effect()         {}
func (CancelRequest) effect()   {}
func (Serve) effect()           {}
func (Refuse) effect()          {}
func (SendHave) effect()        {}
func (SetRates) effect()        {}
func (VersionComplete) effect() {}
func (Note) effect()            {}

// never is later than any deadline.
const never = time.Duration(1<<63 - 1)
