package contract

import "time"

// Kind tells which field of a Message is set.
type Kind uint8

// The kinds of message. On an attempt stream the entry opens with Start, Query
// or Cancel; the target answers Start with Accept or Refuse, then Chunk frames
// and one End. On a peer stream the opener sends one request and reads one reply.
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

// Message is the union of all that the system's processes send each other.
// Exactly the field that Kind names is set.
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

// Start asks a target to run one attempt.
type Start struct {
	Attempt AttemptID   `cbor:"1,keyasint"`
	Service ServiceName `cbor:"2,keyasint"`
	Team    TeamName    `cbor:"3,keyasint"`
	// Priority orders the requests of one team; a greater value goes first.
	Priority int8 `cbor:"4,keyasint,omitempty"`
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration `cbor:"5,keyasint"`
	// Weights is the digest that the request is pinned to; empty for a plain service.
	Weights Digest `cbor:"6,keyasint,omitempty"`
	// Settings is the highest settings offset that the sender has applied.
	SettingsOffset Offset `cbor:"7,keyasint"`
	// Idempotent allows the back end to run the request more than once.
	Idempotent bool `cbor:"8,keyasint,omitempty"`
	// Method, Path and Body are the call of a plain service. A model call has
	// its JSON parameters in Body.
	Method      string `cbor:"9,keyasint,omitempty"`
	Path        string `cbor:"10,keyasint,omitempty"`
	ContentType string `cbor:"11,keyasint,omitempty"`
	Body        []byte `cbor:"12,keyasint,omitempty"`
	// Key is the caller's Idempotency-Key, passed on to the back end.
	Key string `cbor:"13,keyasint,omitempty"`
	// ResumeAt is the number of answer tokens that the caller already has.
	ResumeAt uint64 `cbor:"14,keyasint,omitempty"`
	// PrefixHash identifies the prompt prefix, for the engine's cache.
	PrefixHash uint64 `cbor:"15,keyasint,omitempty"`
	// Tokens is the estimated cost of the request in tokens.
	Tokens uint32 `cbor:"16,keyasint,omitempty"`
}

// Accept tells that an attempt passed the gate and is about to start.
type Accept struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Load    Load      `cbor:"2,keyasint"`
}

// Refuse tells that an attempt did not start and never will: the target holds
// a tombstone for it.
type Refuse struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Reason  Reason    `cbor:"2,keyasint"`
	// RetryAfter is when this target expects to have room; 0 means not known.
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
	Load       Load          `cbor:"4,keyasint"`
	// Settings is the target's own settings offset.
	SettingsOffset Offset `cbor:"5,keyasint,omitempty"`
}

// Chunk carries a part of an answer.
type Chunk struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	// Seq counts the frames of the attempt, from 0, without gaps.
	Seq uint64 `cbor:"2,keyasint"`
	// At is the number of tokens (model) or bytes (plain service) before this part.
	At   uint64 `cbor:"3,keyasint"`
	Data []byte `cbor:"4,keyasint"`
}

// End closes an answer. Without it an answer is not whole.
type End struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Outcome Outcome   `cbor:"2,keyasint"`
	// Reason tells why an outcome is not done.
	Reason Reason `cbor:"3,keyasint,omitempty"`
	// Frames and Length are the totals of the Chunk frames and of their data in bytes.
	Frames      uint64 `cbor:"4,keyasint"`
	Length      uint64 `cbor:"5,keyasint"`
	Status      int    `cbor:"6,keyasint,omitempty"`
	ContentType string `cbor:"7,keyasint,omitempty"`
	// Weights is the digest that the engine reported when the work ended.
	Weights Digest `cbor:"8,keyasint,omitempty"`
	Load    Load   `cbor:"9,keyasint"`
}

// Query asks a target what became of an attempt, or of every attempt of a
// request when N is 0.
type Query struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	// Tombstone asks the target to refuse the attempt for good if it has not started.
	Tombstone bool `cbor:"2,keyasint,omitempty"`
	// Resend asks for the kept answer, as Chunk frames and End after Status.
	Resend bool `cbor:"3,keyasint,omitempty"`
	// ResendAt is the first frame wanted.
	ResendFrom uint64 `cbor:"4,keyasint,omitempty"`
	// Age is how long ago the sender first sent the attempt.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
	// SentTo is the run of the target that the sender had heard from when it first
	// sent the attempt; 0 if not known.
	SentToIncarnation Incarnation `cbor:"6,keyasint,omitempty"`
}

// Status answers a Query.
type Status struct {
	Attempt     AttemptID    `cbor:"1,keyasint"`
	State       AttemptState `cbor:"2,keyasint"`
	Incarnation Incarnation  `cbor:"3,keyasint"`
	Reason      Reason       `cbor:"4,keyasint,omitempty"`
}

// Cancel tells a target that nobody waits for the attempt any more.
type Cancel struct {
	Attempt AttemptID `cbor:"1,keyasint"`
}

// Load is what a target tells of itself on every reply and heartbeat.
type Load struct {
	// Running and Queued count units of work in the back end and at the gate.
	Running uint32 `cbor:"1,keyasint,omitempty"`
	Queued  uint32 `cbor:"2,keyasint,omitempty"`
	// Limit is how many units the target bears at present.
	Limit uint32 `cbor:"3,keyasint,omitempty"`
	// Warm tells that the back end is past cold start.
	Warm bool `cbor:"4,keyasint,omitempty"`
	// Leaving tells that the target accepts no new work.
	Leaving bool `cbor:"5,keyasint,omitempty"`
	// Weights is the digest that the engine confirmed; empty for a plain service.
	Weights Digest `cbor:"6,keyasint,omitempty"`
	// Credits is how many attempts this sender may have at the target at once.
	Credits uint32 `cbor:"7,keyasint,omitempty"`
	// Seq orders the loads of one incarnation; a lower one is out of date.
	Seq uint64 `cbor:"8,keyasint,omitempty"`
}

// Heartbeat is sent both ways on every link at a fixed interval. On the wire, all
// heartbeats after the first of a connection leave out who the sender is, and the
// load's weights while they stay the same; package link fills them in again.
type Heartbeat struct {
	Machine        MachineID   `cbor:"1,keyasint,omitempty"`
	Incarnation    Incarnation `cbor:"2,keyasint,omitempty"`
	SettingsOffset Offset      `cbor:"3,keyasint"`
	// Load is set by targets.
	Load    *Load       `cbor:"4,keyasint,omitempty"`
	Zone    ZoneName    `cbor:"5,keyasint,omitempty"`
	Service ServiceName `cbor:"6,keyasint,omitempty"`
	// SameWeights tells that Load.Weights is left out because it is the same as
	// in the heartbeat before.
	SameWeights bool `cbor:"7,keyasint,omitempty"`
	// Engine is set by the process beside a model engine, Flights by an entry.
	Engine   *EngineStatus    `cbor:"8,keyasint,omitempty"`
	InFlight []TargetInFlight `cbor:"9,keyasint,omitempty"`
	// SameFlights tells that the flights are left out and those told before hold.
	SameInFlight bool `cbor:"11,keyasint,omitempty"`
	// Targets is the highest offset of the list of targets that an entry knows, plus
	// one; 0 if it knows none.
	TargetsEndOffset Offset `cbor:"10,keyasint,omitempty"`
	// Named tells since when the versions that were named a short time ago have been
	// known, so that processes that learned of them late count from then as well.
	Announced []AnnouncedVersion `cbor:"12,keyasint,omitempty"`
}

// NamedVersion is a version of a model's weights that operators have named.
type AnnouncedVersion struct {
	_       struct{} `cbor:",toarray"`
	Model   string
	Version int64
	// AgeMS is how many milliseconds before the heartbeat it was named, or more;
	// Witnessed tells that it is not more.
	AgeMS     uint32
	Witnessed bool
}

// EngineStatus is what the process beside a model engine tells entries of it.
type EngineStatus struct {
	// Address is where the engine takes requests; Born when it started, in Unix
	// milliseconds, 0 if not known.
	Address string `cbor:"1,keyasint"`
	Born    int64  `cbor:"2,keyasint,omitempty"`
	// Up tells that the engine answers.
	Up bool `cbor:"3,keyasint,omitempty"`
	// Version is that of the loaded weights; 0 if the model is not whole.
	Version int64 `cbor:"4,keyasint,omitempty"`
	// Changing tells that the engine loads, or is about to.
	Changing bool `cbor:"5,keyasint,omitempty"`
}

// Flight is how many attempts an entry has at a target.
type TargetInFlight struct {
	_ struct{} `cbor:",toarray"`
	// Target is the 32-bit hash of the target's name: the list is in every heartbeat
	// of every two entries.
	Target uint32
	Count  uint32
}

// SettingsPull asks a peer for the settings records after an offset.
type SettingsPull struct {
	After Offset `cbor:"1,keyasint"`
}

// SettingsRecords carries consecutive settings records.
type SettingsRecords struct {
	// Checkpoint, if set, stands for all records up to First-1.
	Checkpoint []byte `cbor:"1,keyasint,omitempty"`
	// First is the offset of Records[0].
	First   Offset   `cbor:"2,keyasint"`
	Records [][]byte `cbor:"3,keyasint,omitempty"`
	// Newest is the highest offset that the sender has applied.
	Newest Offset `cbor:"4,keyasint"`
}

// Have tells a peer which chunks of a version the sender holds.
type Have struct {
	Weights Digest `cbor:"1,keyasint"`
	// Bitmap has bit i (least significant first) set if chunk First+i is held and
	// verified. It adds to the bitmaps of the same Seq; an empty one asks the
	// receiver to tell what it holds.
	Bitmap []byte `cbor:"2,keyasint,omitempty"`
	// Seq is the sender's incarnation; a greater one voids former bitmaps.
	Seq uint64 `cbor:"3,keyasint,omitempty"`
	// First is the chunk of the bitmap's first bit.
	First uint32 `cbor:"4,keyasint,omitempty"`
	// Rollout, if set, tells the sender's state in a roll-out instead of chunks,
	// and asks for the receiver's.
	Rollout *RolloutStatus `cbor:"5,keyasint,omitempty"`
}

// RolloutStatus is what targets tell each other while a version is rolled out.
type RolloutStatus struct {
	// Active is the digest that the engine confirmed.
	Active Digest `cbor:"1,keyasint,omitempty"`
	// Failed is the version that the target could not change to.
	Failed Digest `cbor:"2,keyasint,omitempty"`
	// Serving tells that the gate is open and the engine past cold start.
	Serving bool `cbor:"3,keyasint,omitempty"`
	// Running and Limit count units of work.
	Running uint32 `cbor:"4,keyasint,omitempty"`
	Limit   uint32 `cbor:"5,keyasint,omitempty"`
}

// ChunkRequest asks a peer for one chunk.
type ChunkRequest struct {
	Weights Digest `cbor:"1,keyasint"`
	Index   uint32 `cbor:"2,keyasint"`
}

// ChunkReply carries one chunk, or the reason why it is not sent.
type ChunkReply struct {
	Weights Digest `cbor:"1,keyasint"`
	Index   uint32 `cbor:"2,keyasint"`
	Data    []byte `cbor:"3,keyasint,omitempty"`
	Refused Reason `cbor:"4,keyasint,omitempty"`
	// More tells that another reply with the next part of the data follows.
	More bool `cbor:"5,keyasint,omitempty"`
}

// Claim asks the home of an idempotency key to decide who runs a request.
type Claim struct {
	Service ServiceName `cbor:"1,keyasint"`
	Team    TeamName    `cbor:"2,keyasint"`
	Key     string      `cbor:"3,keyasint"`
	Request RequestID   `cbor:"4,keyasint"`
	// BodyHash tells two different requests with the same key apart.
	BodyHash Digest `cbor:"5,keyasint"`
}

// Record is the newest record of a key in one of the platform store's topics.
type Record struct {
	// Offset is the record's place in the topic; a greater one is newer.
	Offset int64  `cbor:"1,keyasint"`
	Key    string `cbor:"2,keyasint"`
	// Value is empty for a key that was dropped.
	Value []byte `cbor:"3,keyasint,omitempty"`
}

// RecordsPull asks a peer for what it knows of a topic of the platform's store.
type RecordsPull struct {
	Topic string `cbor:"1,keyasint"`
	// After leaves out records up to this offset.
	After int64 `cbor:"2,keyasint"`
}

// Records answers a RecordsPull.
type Records struct {
	Topic   string   `cbor:"1,keyasint"`
	Records []Record `cbor:"2,keyasint,omitempty"`
	// Known tells that the sender knows the whole topic, Newest up to which offset.
	Synced bool  `cbor:"3,keyasint,omitempty"`
	Newest int64 `cbor:"4,keyasint,omitempty"`
	// Busy tells that the sender answers others, and says nothing of the topic.
	Busy bool `cbor:"5,keyasint,omitempty"`
}

// PiecesRequest asks a peer for the pieces of one version of a model's weights,
// which it then sends as it gets them.
type PiecesRequest struct {
	Model   string `cbor:"1,keyasint"`
	Version int64  `cbor:"2,keyasint"`
	// Have lists the pieces that the sender does not need.
	Have []uint32 `cbor:"3,keyasint,omitempty"`
	// Kept asks only for what the peer already holds. Draw tells that the sender cannot
	// reach the origin: the peer is to draw the pieces itself, at once.
	HeldOnly   bool `cbor:"4,keyasint,omitempty"`
	FromOrigin bool `cbor:"5,keyasint,omitempty"`
}

// Pieces answers a PiecesRequest, one message for each piece; the first has the
// digests of all pieces.
type Pieces struct {
	Digests [][]byte `cbor:"1,keyasint,omitempty"`
	Index   uint32   `cbor:"2,keyasint,omitempty"`
	Data    []byte   `cbor:"3,keyasint,omitempty"`
	// End tells that no more will come, Wait that more will.
	End  bool `cbor:"4,keyasint,omitempty"`
	Wait bool `cbor:"5,keyasint,omitempty"`
}
