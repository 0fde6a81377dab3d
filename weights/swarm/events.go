package swarm

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Event is an input of the state machine.
type Event interface{ event() }

// Effect is an output of the state machine, to be executed in order.
type Effect interface{ effect() }

// PeersChanged replaces the list of live targets; an entry for the own machine is ignored.
type PeersChanged struct{ Peers []Peer }

// DesiredVersion adds a version to download, or changes the priority of one.
type DesiredVersion struct {
	Version contract.Digest
	// Chunks is the number of chunks and ChunkBytes the size of each one in bytes.
	Chunks, ChunkBytes int
	// Priority orders the versions; chunks of a greater priority are requested first.
	Priority int
}

// Withdraw stops downloading and serving a version and removes its state.
type Withdraw struct{ Version contract.Digest }

// HaveReceived reports which chunks a peer holds.
type HaveReceived struct {
	From    contract.MachineID
	Version contract.Digest
	// Epoch orders the runs of the peer's process.
	Epoch uint64
	// First is the index of the chunk that the first bit of the bitmap stands for.
	First  int
	Bitmap []byte
}

// HaveFailed reports that a SendHave did not reach the peer.
type HaveFailed struct {
	To      contract.MachineID
	Version contract.Digest
}

// RequestReceived is a peer's request for a chunk.
type RequestReceived struct{ Upload }

// UploadEnded reports that a peer's request has been served or was cancelled.
type UploadEnded struct{ Upload }

// ChunkVerified reports that a requested chunk arrived and matched its digest.
type ChunkVerified struct{ Download }

// ChunkFailed reports that a request yielded no usable chunk.
type ChunkFailed struct {
	Download
	Cause Failure
}

// Budget gives the rates in bytes per second that live traffic leaves for weights; 0 means
// no limit.
type Budget struct {
	// Upload and Download apply to the machine's own link.
	Upload, Download int
	// Region applies to what this machine sends over each link to another region.
	Region int
}

// Tick reports that the time returned by Next has come.
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

// Download identifies one chunk and its source. An empty From stands for the origin.
type Download struct {
	Version contract.Digest
	Index   int
	From    contract.MachineID
}

// Upload identifies one chunk and the peer that requested it.
type Upload struct {
	Version contract.Digest
	Index   int
	To      contract.MachineID
}

// Failure is the reason why a request yielded no usable chunk.
type Failure uint8

// The reasons why a request fails.
const (
	// FailureLink means that the peer could not be reached.
	FailureLink Failure = iota
	// FailureBusy means that the peer had no capacity for the request.
	FailureBusy
	// FailureMissing means that the peer does not hold a chunk that it advertised.
	FailureMissing
	// FailureCorrupt means that the hash of the chunk did not match.
	FailureCorrupt
	// FailureSize means that the reply was too long, too short or not the requested one.
	FailureSize
)

// Request requests a chunk from a peer or the origin.
type Request struct{ Download }

// CancelRequest cancels a request; its result is no longer expected.
type CancelRequest struct{ Download }

// Serve sends a held chunk at the rate of SetRates.
type Serve struct {
	Upload
	// Remote means that the peer is in another region.
	Remote bool
}

// Refuse refuses a peer's request.
type Refuse struct {
	Upload
	Cause Failure
}

// SendHave announces held chunks to a peer. The fields are those of HaveReceived.
type SendHave struct {
	To      contract.MachineID
	Version contract.Digest
	Epoch   uint64
	First   int
	Bitmap  []byte
}

// SetRates limits the rates of serving chunks in bytes per second: Upload for all chunks
// served within the region together, Region for the chunks served to each other region; 0
// means no limit.
type SetRates struct {
	Upload, Region int
}

// VersionComplete reports that every chunk of a version is held.
type VersionComplete struct{ Version contract.Digest }

// Note reports an occurrence to be counted.
type Note struct {
	Kind NoteKind
	Peer contract.MachineID
}

// NoteKind is the kind of occurrence that a Note counts.
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
