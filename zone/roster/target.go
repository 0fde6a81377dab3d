package roster

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosastand.example/mimosastand/contract"
)

// TargetID identifies a target in the target list.
type TargetID string

// Target is an entry of the target list.
type Target struct {
	ID      TargetID
	Service contract.ServiceName
	// Address is "ip:port".
	Address string
	Zone    contract.ZoneName
	// Slots is how many requests the target runs at once.
	Slots int
	// Leaving is set while the target drains: it gets no new requests.
	Leaving bool
	// ColdLeft is how much of the target's cold start was left when the entry was
	// written.
	ColdLeft time.Duration
	// Born is the start time of the target's incarnation, in Unix milliseconds; 0 if
	// unknown.
	Born int64
	// Seq orders the entries that one incarnation of the target writes.
	Seq int64
	// Model describes what a model engine has loaded; it is nil for a plain service.
	Model *Model
}

// Model is what a model engine has loaded.
type Model struct {
	Name string
	// Version is the newest version of the loaded layers; 0 if no layer is loaded.
	Version int64
	// Layers is the number of layers that are loaded without a gap, from the first one on.
	Layers int
	// IsMixed is set if the layers are not all of one model and version.
	IsMixed bool
}

// WholeVersion returns the version of the weights if all layers of the model are loaded, of one version;
// 0 if not. layers is how many the model has; 0 if that is not known, then any first layers count as all.
func (m Model) WholeVersion(layers int) int64 {
	if m.IsMixed || m.Layers == 0 || layers > 0 && m.Layers != layers {
		return 0
	}
	return m.Version
}

// loaded returns what a model engine has loaded; the zero value for a plain service.
func (t Target) loaded() Model {
	if t.Model == nil {
		return Model{}
	}
	return *t.Model
}

// Status is what the target process next to a model engine reports about the engine.
// It is more recent than the target list.
type Status struct {
	// Version is the version of the loaded weights; 0 if the model is incomplete.
	Version int64
	// Ready is set if the complete model is loaded and is not being replaced.
	Ready bool
	// Changing is set if the engine is loading weights or is about to.
	Changing bool
	// Load is the number of requests that run or wait at the engine, if HasLoad is set.
	Load    int
	HasLoad bool
	// Number orders the reports of the process, modulo 2^32; 0 if it gives none.
	Number uint32
}

// IsNewer reports whether a status that was reported at a time is newer than another one. Their numbers tell,
// if both have one and the other still counts: the times of relayed reports lose what the transfers took.
func (s Status) IsNewer(at time.Time, other Status, otherAt time.Time) bool {
	if s.Number == 0 || other.Number == 0 || at.Sub(otherAt) > statusMaxAge {
		return at.After(otherAt)
	}
	return int32(s.Number-other.Number) > 0
}

// IsUsable reports whether the target may be used, as far as the status shows.
func (s Status) IsUsable() bool { return s.Ready && !s.Changing }

// DiffersFrom reports whether another status has news on which requests the target may get; loads are
// none.
func (s Status) DiffersFrom(other Status) bool {
	return s.IsUsable() != other.IsUsable() || s.Version != other.Version
}

// ReportKey identifies an incarnation of an engine in reports.
type ReportKey uint64

// ReportKeyOf returns the key of the engine at an address that started at born, in Unix
// milliseconds.
func ReportKeyOf(address string, born int64) ReportKey {
	return ReportKey(xxhash.Sum64String(address + "/" + strconv.FormatInt(born, 10)))
}
