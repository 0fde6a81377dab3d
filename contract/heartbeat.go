package contract

import "math"

// Heartbeat is sent periodically in both directions on every link. On the wire, all
// heartbeats of a connection after the first omit the sender's identity (Machine,
// Incarnation, Zone and Service), and the weights of the load while they stay the
// same. Package link restores the omitted fields.
type Heartbeat struct {
	Machine     MachineID   `cbor:"1,keyasint,omitempty"`
	Incarnation Incarnation `cbor:"2,keyasint,omitempty"`
	// SettingsOffset is the highest settings offset that the sender has applied.
	SettingsOffset Offset `cbor:"3,keyasint"`
	// Load is set by targets.
	Load    *Load       `cbor:"4,keyasint,omitempty"`
	Zone    ZoneName    `cbor:"5,keyasint,omitempty"`
	Service ServiceName `cbor:"6,keyasint,omitempty"`
	// SameWeights reports that Load.Weights is omitted because it is the same as in the
	// previous heartbeat with a load.
	SameWeights bool `cbor:"7,keyasint,omitempty"`
	// Engine is set by the process that runs beside a model engine, InFlight by an entry.
	Engine   *EngineStatus    `cbor:"8,keyasint,omitempty"`
	InFlight []TargetInFlight `cbor:"9,keyasint,omitempty"`
	// SameInFlight reports that InFlight is omitted and the counts reported before still
	// apply.
	SameInFlight bool `cbor:"11,keyasint,omitempty"`
	// Operators, Targets and Members tell how far the sender knows the topics of what
	// operators write, of the list of targets, and of the members; nil for a topic that the
	// sender does not pass on.
	Operators *TopicProgress `cbor:"21,keyasint,omitempty"`
	Targets   *TopicProgress `cbor:"22,keyasint,omitempty"`
	Members   *TopicProgress `cbor:"23,keyasint,omitempty"`
	// Announced lists for how long recently announced versions have been known, so that
	// processes that learn of them late count from the same time.
	Announced []AnnouncedVersion `cbor:"12,keyasint,omitempty"`
	// UncertainMS holds AnnouncedVersion.UncertainMS of each element of Announced: the format of lists is fixed.
	UncertainMS []uint32 `cbor:"26,keyasint,omitempty"`
	// StoreEra is the newest era of the platform's store that the sender knows; 0 if none.
	StoreEra int64 `cbor:"14,keyasint,omitempty"`
	// RateLimits lists the rates to which targets limit all entries, and the limits that
	// were lifted recently, as far as the sending entry knows.
	RateLimits []TargetRateLimit `cbor:"13,keyasint,omitempty"`
	// PoisonObservations lists attempts, of the sending entry and of others, that ended
	// recently with the crash of their target. PoisonVerdicts lists what the entry knows of the parts of
	// prompts that crash targets.
	PoisonObservations []PoisonObservation `cbor:"15,keyasint,omitempty"`
	PoisonVerdicts     []PoisonVerdict     `cbor:"16,keyasint,omitempty"`
	// TargetReports lists what the processes beside engines reported to the sending entry, or
	// to others from which it heard.
	TargetReports []TargetReport `cbor:"24,keyasint,omitempty"`
	// OriginOutage is the newest report of an entry that could not reach the origin of weights;
	// nil if there is none, or if the sender knows no such reports.
	OriginOutage *OriginOutage `cbor:"25,keyasint,omitempty"`
	// LeavingTargets lists 64-bit hashes of the names and starts of the targets that have said
	// in an answer that they are about to stop, as far as the sending entry knows.
	LeavingTargets []uint64 `cbor:"17,keyasint,omitempty"`
	// EntrySightings lists reports of entries of the sender's zone that they run, those that the sender
	// has learned of since its last heartbeat to the same peer. Only entries of one zone exchange them.
	EntrySightings []EntrySighting `cbor:"27,keyasint,omitempty"`
}

// EntrySighting reports that an entry was running a short time ago.
type EntrySighting struct {
	_ struct{} `cbor:",toarray"`
	// Entry is a 32-bit hash of the entry's name and certificate: a later run has another one.
	Entry uint32
	// Number is the number of seconds for which the entry had been running when it reported itself. Only
	// a higher one is new: the same report reaches a process over several others.
	Number uint32
	// AgeMS is the time in milliseconds from that report to the heartbeat.
	AgeMS uint32
}

// OriginOutage reports that an entry tried to download weights and could not reach their origin.
type OriginOutage struct {
	_ struct{} `cbor:",toarray"`
	// Report is a random number that identifies the report, since several entries pass it on.
	Report uint64
	// AgeMS is the time in milliseconds from the attempt to the heartbeat.
	AgeMS uint32
}

// TopicProgress tells how far a process knows a topic of the platform's store.
type TopicProgress struct {
	_ struct{} `cbor:",toarray"`
	// End is the newest position that the process holds, plus one; 0 if it holds none.
	End Offset
	// ConfirmedAgeMS is the time in milliseconds since the store last confirmed, to this
	// process or to one that it heard from, that the topic ends there; Unconfirmed if it
	// never has.
	ConfirmedAgeMS uint32
	// Confirmation identifies that confirmation.
	Confirmation Confirmation
}

// Confirmation identifies a confirmation by the store of where a topic ends.
type Confirmation struct {
	_ struct{} `cbor:",toarray"`
	// Reader is a random number that the process which the store answered drew at its start.
	Reader uint32
	// Number counts the confirmations that this process has had.
	Number uint32
}

// Unconfirmed is the age of a confirmation that never came.
const Unconfirmed = math.MaxUint32

// PoisonObservation is an attempt that ended, before it had shown to be sound, with the crash
// of its target.
type PoisonObservation struct {
	_ struct{} `cbor:",toarray"`
	// ID is a random number that identifies the attempt.
	ID uint64
	// Crash is a 64-bit hash of the target's name and the start of its incarnation, Service
	// one of the name of its service.
	Crash   uint64
	Service uint64
	// Whole is a 64-bit hash of the request, which its repeats have too; 0 if unknown. Prompt is
	// one of the complete prompt, and Parts are those of parts of it.
	Whole  uint64
	Prompt uint64
	Parts  []uint64
	// SentAgeMS and BrokenAgeMS are the times in milliseconds from the sending and from the
	// end of the attempt to the heartbeat.
	SentAgeMS   uint32
	BrokenAgeMS uint32
	// Entry is the entry that made the attempt; empty if it is the sender of the heartbeat.
	Entry MachineID
}

// PoisonVerdict is what an entry learnt of a group of parts: requests that hold all of them
// crash targets, or, for a single part, that a request with it has been served.
type PoisonVerdict struct {
	_ struct{} `cbor:",toarray"`
	// Parts are 64-bit hashes of the parts, in ascending order.
	Parts []uint64
	// Observation is a random number that identifies the statement, since several entries
	// report it.
	Observation uint64
	// AgeMS is the time in milliseconds from what the statement rests on to the heartbeat.
	AgeMS uint32
	// Blamed reports whether requests with the group are refused, Probing whether one of
	// them has been sent nonetheless. Probes counts those that crashed their target.
	Blamed  bool
	Probing bool
	Probes  uint8
}

// TargetRateLimit is what an answer of a target showed of the rate that it accepts.
type TargetRateLimit struct {
	_ struct{} `cbor:",toarray"`
	// Target is a 64-bit hash of the target's name and the start of its incarnation.
	Target uint64
	// Observation is a random number that identifies the answer, since several entries
	// report it.
	Observation uint64
	// AgeMS is the time in milliseconds from the answer to the heartbeat.
	AgeMS uint32
	// Limited reports whether the target limits its rate, to PerSecond requests a second
	// from all entries together.
	Limited   bool
	PerSecond float64
}

// AnnouncedVersion is a version of a model's weights that operators have announced.
type AnnouncedVersion struct {
	_       struct{} `cbor:",toarray"`
	Model   string
	Version int64
	// AgeMS is the time in milliseconds from the announcement to the heartbeat, at least;
	// Witnessed reports that no more than AgeMS and UncertainMS have passed, unless the sender capped AgeMS.
	AgeMS     uint32
	Witnessed bool
	// UncertainMS is sent in Heartbeat.UncertainMS.
	UncertainMS uint32 `cbor:"-"`
}

// assumedUncertainMS is the UncertainMS of a sender that does not send any: a release that took a process for a
// witness if it had read the operators' records within this time.
const assumedUncertainMS = 2500

// PackAnnounced prepares the announced versions for sending.
func (hb *Heartbeat) PackAnnounced() {
	hb.UncertainMS = nil
	for _, v := range hb.Announced {
		hb.UncertainMS = append(hb.UncertainMS, v.UncertainMS)
	}
}

// UnpackAnnounced completes the announced versions after receipt.
func (hb *Heartbeat) UnpackAnnounced() {
	for i := range hb.Announced {
		hb.Announced[i].UncertainMS = assumedUncertainMS
		if i < len(hb.UncertainMS) {
			hb.Announced[i].UncertainMS = hb.UncertainMS[i]
		}
	}
}

// EngineStatus is the state of a model engine, which the process beside it reports to
// entries.
type EngineStatus struct {
	// Address is the address at which the engine serves requests; Born is when it
	// started, in Unix milliseconds, 0 if unknown.
	Address string `cbor:"1,keyasint"`
	Born    int64  `cbor:"2,keyasint,omitempty"`
	// Up reports whether the engine answers.
	Up bool `cbor:"3,keyasint,omitempty"`
	// Version is the version of the loaded weights; 0 if no model is completely loaded.
	Version int64 `cbor:"4,keyasint,omitempty"`
	// Changing reports whether the engine is loading a version or is about to.
	Changing bool `cbor:"5,keyasint,omitempty"`
	// Load is the number of requests that run or wait at the engine, if HasLoad is set.
	Load    uint32 `cbor:"6,keyasint,omitempty"`
	HasLoad bool   `cbor:"7,keyasint,omitempty"`
	// Layers is the number of layers that are loaded, from the first one on; 0 if not reported. The
	// process beside the engine may not know how many the model has.
	Layers uint32 `cbor:"8,keyasint,omitempty"`
	// Number orders the reports of the process and of those before it: the milliseconds since the machine
	// was booted, modulo 2^32, and at least one more than in its report before; 0 if not reported.
	Number uint32 `cbor:"9,keyasint,omitempty"`
}

// TargetReport is the state of a model engine that an entry passes on to others.
type TargetReport struct {
	_ struct{} `cbor:",toarray"`
	// Target is a 64-bit hash of the engine's address and start.
	Target uint64
	// Version is the version of the loaded weights; 0 if no model is completely loaded. Ready
	// reports whether the engine answers and has one loaded, Changing whether it is loading
	// another one or is about to.
	Version  int64
	Ready    bool
	Changing bool
	// Load is the number of requests that run or wait at the engine, if HasLoad is set.
	Load    uint32
	HasLoad bool
	// AgeMS is the time in milliseconds from the report to the heartbeat.
	AgeMS uint32
	// Number is that of the EngineStatus.
	Number uint32
}

// TargetInFlight is the number of attempts that an entry has in flight at a target.
type TargetInFlight struct {
	_ struct{} `cbor:",toarray"`
	// Target is a 32-bit hash of the target's name. Names would make heartbeats large,
	// since the heartbeats between any two entries carry the list.
	Target uint32
	Count  uint32
}
