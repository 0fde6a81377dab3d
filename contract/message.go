package contract

import "time"

// Kind identifies the field of a Message that is set.
type Kind uint8

// The kinds of message. On an attempt stream the entry first sends Start, Query or
// Cancel. The target answers Start with Accept or Refuse, and Query with Status; Chunk
// messages and one End follow Accept, and Status if the answer is resent. On a peer
// stream the opener sends one request and reads one reply, which takes several messages
// for pieces and for the parts of a chunk.
const (
	KindInvalid Kind = iota
	KindStart
	KindAccept
	KindRefuse
	KindChunk
	KindEnd
	KindQuery
	KindStatus
	KindCancel
	KindHeartbeat
	KindSettingsPull
	KindSettingsRecords
	KindHave
	KindChunkRequest
	KindChunkReply
	KindRecordsPull
	KindRecords
	KindPiecesRequest
	KindPieces
)

// Message is the union of all messages that the processes of the system exchange.
// Exactly the field that Kind identifies is set; Consistent checks only that it is.
type Message struct {
	Kind            Kind             `cbor:"1,keyasint"`
	Start           *Start           `cbor:"2,keyasint,omitempty"`
	Accept          *Accept          `cbor:"3,keyasint,omitempty"`
	Refuse          *Refuse          `cbor:"4,keyasint,omitempty"`
	Chunk           *Chunk           `cbor:"5,keyasint,omitempty"`
	End             *End             `cbor:"6,keyasint,omitempty"`
	Query           *Query           `cbor:"7,keyasint,omitempty"`
	Status          *Status          `cbor:"8,keyasint,omitempty"`
	Cancel          *Cancel          `cbor:"9,keyasint,omitempty"`
	Heartbeat       *Heartbeat       `cbor:"10,keyasint,omitempty"`
	SettingsPull    *SettingsPull    `cbor:"11,keyasint,omitempty"`
	SettingsRecords *SettingsRecords `cbor:"12,keyasint,omitempty"`
	Have            *Have            `cbor:"13,keyasint,omitempty"`
	ChunkRequest    *ChunkRequest    `cbor:"14,keyasint,omitempty"`
	ChunkReply      *ChunkReply      `cbor:"15,keyasint,omitempty"`
	RecordsPull     *RecordsPull     `cbor:"16,keyasint,omitempty"`
	Records         *Records         `cbor:"17,keyasint,omitempty"`
	PiecesRequest   *PiecesRequest   `cbor:"18,keyasint,omitempty"`
	Pieces          *Pieces          `cbor:"19,keyasint,omitempty"`
}

// Start requests that a target run one attempt.
type Start struct {
	Attempt AttemptID   `cbor:"1,keyasint"`
	Service ServiceName `cbor:"2,keyasint"`
	Team    TeamName    `cbor:"3,keyasint"`
	// Priority orders the requests of one team; a greater value is served first.
	Priority int8 `cbor:"4,keyasint,omitempty"`
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration `cbor:"5,keyasint"`
	// Weights is the digest of the version that the request is pinned to; empty for a
	// plain service.
	Weights Digest `cbor:"6,keyasint,omitempty"`
	// SettingsOffset is the highest settings offset that the sender has applied.
	SettingsOffset Offset `cbor:"7,keyasint"`
	// Idempotent reports whether the back end may run the request more than once.
	Idempotent bool `cbor:"8,keyasint,omitempty"`
	// Method, Path, ContentType and Body are the HTTP request to a plain service. A
	// request to a model has its JSON parameters in Body.
	Method      string `cbor:"9,keyasint,omitempty"`
	Path        string `cbor:"10,keyasint,omitempty"`
	ContentType string `cbor:"11,keyasint,omitempty"`
	Body        []byte `cbor:"12,keyasint,omitempty"`
	// Key is the caller's Idempotency-Key, which is forwarded to the back end.
	Key string `cbor:"13,keyasint,omitempty"`
	// ResumeAt is the number of answer tokens that the caller has received already.
	ResumeAt uint64 `cbor:"14,keyasint,omitempty"`
	// PrefixHash identifies the prefix of the prompt, for the engine's cache; 0 if there
	// is none.
	PrefixHash uint64 `cbor:"15,keyasint,omitempty"`
	// Tokens is the estimated cost of the request in tokens.
	Tokens uint32 `cbor:"16,keyasint,omitempty"`
}

// Accept reports that an attempt was admitted and is about to start.
type Accept struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Load    Load      `cbor:"2,keyasint"`
}

// Refuse reports that an attempt did not start and never will: the target holds a
// tombstone for it, or refuses every copy of it as malformed.
type Refuse struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Reason  Reason    `cbor:"2,keyasint"`
	// RetryAfter is the time after which this target expects to have room; 0 if unknown.
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
	Load       Load          `cbor:"4,keyasint"`
	// SettingsOffset is the highest settings offset that the target has applied.
	SettingsOffset Offset `cbor:"5,keyasint,omitempty"`
}

// Chunk carries a part of an answer.
type Chunk struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	// Seq numbers the Chunk messages of the attempt from 0, without gaps.
	Seq uint64 `cbor:"2,keyasint"`
	// At is the position of this part in the answer: the number of tokens (model) or
	// bytes (plain service) before it.
	At   uint64 `cbor:"3,keyasint"`
	Data []byte `cbor:"4,keyasint"`
}

// End closes an answer. An answer without End is incomplete.
type End struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Outcome Outcome   `cbor:"2,keyasint"`
	// Reason states why the outcome is not OutcomeDone.
	Reason Reason `cbor:"3,keyasint,omitempty"`
	// Frames is the number of the attempt's Chunk messages, Length that of the bytes of
	// their data.
	Frames      uint64 `cbor:"4,keyasint"`
	Length      uint64 `cbor:"5,keyasint"`
	Status      int    `cbor:"6,keyasint,omitempty"`
	ContentType string `cbor:"7,keyasint,omitempty"`
	// Weights is the digest of the version that the engine reported when the work ended.
	Weights Digest `cbor:"8,keyasint,omitempty"`
	Load    Load   `cbor:"9,keyasint"`
}

// Query requests the state of an attempt from a target or, with an attempt number of
// 0, that of all attempts of the request.
type Query struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	// Tombstone requests that the target refuse the attempt permanently if it has not
	// started.
	Tombstone bool `cbor:"2,keyasint,omitempty"`
	// Resend requests the stored answer, as Chunk messages and End after Status.
	Resend bool `cbor:"3,keyasint,omitempty"`
	// ResendFrom is the sequence number of the first Chunk to send.
	ResendFrom uint64 `cbor:"4,keyasint,omitempty"`
	// Age is the time since the sender first sent the attempt.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
	// SentToIncarnation is the incarnation of the target that the sender knew from
	// earlier messages when it first sent the attempt; 0 if unknown.
	SentToIncarnation Incarnation `cbor:"6,keyasint,omitempty"`
}

// Status answers a Query.
type Status struct {
	Attempt     AttemptID    `cbor:"1,keyasint"`
	State       AttemptState `cbor:"2,keyasint"`
	Incarnation Incarnation  `cbor:"3,keyasint"`
	Reason      Reason       `cbor:"4,keyasint,omitempty"`
}

// Cancel informs a target that the answer to an attempt is no longer needed.
type Cancel struct {
	Attempt AttemptID `cbor:"1,keyasint"`
}

// Load is the state that a target reports with its replies and heartbeats.
type Load struct {
	// Running and Queued count the units of work in the back end and in the target's
	// queue.
	Running uint32 `cbor:"1,keyasint,omitempty"`
	Queued  uint32 `cbor:"2,keyasint,omitempty"`
	// Limit is the number of units that the target may run at once at present.
	Limit uint32 `cbor:"3,keyasint,omitempty"`
	// Warm reports whether the back end has completed its cold start.
	Warm bool `cbor:"4,keyasint,omitempty"`
	// Leaving reports whether the target accepts no new work, because it is shutting
	// down or its zone is out of service.
	Leaving bool `cbor:"5,keyasint,omitempty"`
	// Weights is the digest of the version that the engine confirmed; empty for a plain
	// service.
	Weights Digest `cbor:"6,keyasint,omitempty"`
	// Credits is the number of attempts that the receiver of this load may have at the
	// target at once.
	Credits uint32 `cbor:"7,keyasint,omitempty"`
	// Seq orders the loads of one incarnation; a load with a lower number is outdated.
	Seq uint64 `cbor:"8,keyasint,omitempty"`
}

// SettingsPull requests the settings records after an offset from a peer.
type SettingsPull struct {
	After Offset `cbor:"1,keyasint"`
}

// SettingsRecords carries consecutive settings records.
type SettingsRecords struct {
	// Checkpoint, if set, replaces all records up to offset First-1.
	Checkpoint []byte `cbor:"1,keyasint,omitempty"`
	// First is the offset of Records[0].
	First   Offset   `cbor:"2,keyasint"`
	Records [][]byte `cbor:"3,keyasint,omitempty"`
	// Newest is the highest offset that the sender has applied.
	Newest Offset `cbor:"4,keyasint"`
}

// Have reports to a peer which chunks of a version the sender holds.
type Have struct {
	Weights Digest `cbor:"1,keyasint"`
	// Bitmap has bit i (least significant first) set if chunk First+i is held and
	// verified. It adds to the earlier bitmaps with the same Seq. An empty bitmap
	// requests the receiver's bitmap.
	Bitmap []byte `cbor:"2,keyasint,omitempty"`
	// Seq is the sender's incarnation; a greater one invalidates earlier bitmaps.
	Seq uint64 `cbor:"3,keyasint,omitempty"`
	// First is the index of the chunk that the first bit of Bitmap stands for.
	First uint32 `cbor:"4,keyasint,omitempty"`
	// Rollout, if set, reports the sender's state in a rollout instead of chunks, and
	// requests the receiver's state.
	Rollout *RolloutStatus `cbor:"5,keyasint,omitempty"`
}

// RolloutStatus is the state that targets report to each other during the rollout of a
// version.
type RolloutStatus struct {
	// Active is the digest of the version that the engine confirmed.
	Active Digest `cbor:"1,keyasint,omitempty"`
	// Failed is the digest of the version to which the target failed to change.
	Failed Digest `cbor:"2,keyasint,omitempty"`
	// Serving reports whether the target accepts work and its engine has completed its
	// cold start.
	Serving bool `cbor:"3,keyasint,omitempty"`
	// Running is the number of units of work in the back end, Limit the number that may
	// run at once.
	Running uint32 `cbor:"4,keyasint,omitempty"`
	Limit   uint32 `cbor:"5,keyasint,omitempty"`
}

// ChunkRequest requests one chunk from a peer.
type ChunkRequest struct {
	Weights Digest `cbor:"1,keyasint"`
	Index   uint32 `cbor:"2,keyasint"`
}

// ChunkReply carries one chunk or a part of it, or the reason why it is not sent.
type ChunkReply struct {
	Weights Digest `cbor:"1,keyasint"`
	Index   uint32 `cbor:"2,keyasint"`
	Data    []byte `cbor:"3,keyasint,omitempty"`
	Refused Reason `cbor:"4,keyasint,omitempty"`
	// More reports that another reply with the next part of the data follows.
	More bool `cbor:"5,keyasint,omitempty"`
}

// Claim requests a decision on which of the requests with one idempotency key runs.
type Claim struct {
	Service ServiceName `cbor:"1,keyasint"`
	Team    TeamName    `cbor:"2,keyasint"`
	Key     string      `cbor:"3,keyasint"`
	Request RequestID   `cbor:"4,keyasint"`
	// BodyHash distinguishes different requests that use the same key.
	BodyHash Digest `cbor:"5,keyasint"`
}

// Record is the newest record of a key in one of the platform store's topics.
type Record struct {
	// Offset is the position of the record in the topic (NewPosition); a greater one is newer.
	Offset int64  `cbor:"1,keyasint"`
	Key    string `cbor:"2,keyasint"`
	// Value is empty for a key that was deleted.
	Value []byte `cbor:"3,keyasint,omitempty"`
	// Packed is the value in DEFLATE format, in place of Value. Only the reply to a pull with
	// AcceptPacked has it.
	Packed []byte `cbor:"4,keyasint,omitempty"`
}

// RecordsPull requests from a peer the records that it has of a topic of the platform's
// store.
type RecordsPull struct {
	Topic string `cbor:"1,keyasint"`
	// After is the position up to which the peer omits records. A peer in a newer era of the
	// store sends all.
	After int64 `cbor:"2,keyasint"`
	// AcceptPacked reports that the sender reads records with Packed.
	AcceptPacked bool `cbor:"3,keyasint,omitempty"`
}

// Records answers a RecordsPull.
type Records struct {
	Topic   string   `cbor:"1,keyasint"`
	Records []Record `cbor:"2,keyasint,omitempty"`
	// All reports that Records holds all keys of the topic: one that is missing was deleted before
	// Newest, and the sender may not know when.
	All bool `cbor:"7,keyasint,omitempty"`
	// Synced reports whether the sender has read the complete topic, Newest is the position
	// up to which it has.
	Synced bool  `cbor:"3,keyasint,omitempty"`
	Newest int64 `cbor:"4,keyasint,omitempty"`
	// Era is the era of the store in which the sender has read the topic.
	Era int64 `cbor:"6,keyasint,omitempty"`
	// Busy reports that the sender is answering other peers and does not answer this
	// request.
	Busy bool `cbor:"5,keyasint,omitempty"`
}

// PiecesRequest requests the pieces of one version of a model's weights from a peer,
// which sends them as it receives them itself.
type PiecesRequest struct {
	Model   string `cbor:"1,keyasint"`
	Version int64  `cbor:"2,keyasint"`
	// Have lists the pieces that the sender holds and does not need.
	Have []uint32 `cbor:"3,keyasint,omitempty"`
	// HeldOnly requests only the pieces that the peer holds already. FromOrigin reports
	// that the sender cannot reach the origin, and requests that the peer download the
	// pieces from there at once.
	HeldOnly   bool `cbor:"4,keyasint,omitempty"`
	FromOrigin bool `cbor:"5,keyasint,omitempty"`
	// DigestsOnly requests the digests and no pieces.
	DigestsOnly bool `cbor:"6,keyasint,omitempty"`
}

// Pieces answers a PiecesRequest. The first message with content has the digests of all
// pieces, each further one a piece.
type Pieces struct {
	Digests [][]byte `cbor:"1,keyasint,omitempty"`
	Index   uint32   `cbor:"2,keyasint,omitempty"`
	Data    []byte   `cbor:"3,keyasint,omitempty"`
	// End reports that no more pieces follow, Wait that the peer is still waiting for
	// content that it can send.
	End  bool `cbor:"4,keyasint,omitempty"`
	Wait bool `cbor:"5,keyasint,omitempty"`
}
