package roster

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

// TargetID names one life of a target; it appears nowhere else.
type TargetID string

// Target is a target as the list describes it.
type Target struct {
	ID      TargetID
	Service contract.ServiceName
	// Address is "ip:port".
	Address string
	Zone    contract.ZoneName
	// Slots is how many requests the target runs at once.
	Slots int
	// Leaving targets take no new work.
	Leaving bool
	// ColdLeft is how long the target stayed cold when it wrote this.
	ColdLeft time.Duration
	// Born is when the target started, in Unix milliseconds; 0 if not told.
	Born int64
	// Seq orders what one life of the target writes.
	Seq int64
	// Model tells what a model engine holds; nil for a plain service.
	Model *Model
}

// Model is what a model engine has loaded.
type Model struct {
	Name string
	// Version is that of the loaded weights; 0 if no layer is loaded.
	Version int64
	// Layers is how many layers are loaded.
	Layers int
}

// Status is what the process beside a model engine tells of it, fresher than
// the list.
type Status struct {
	// Version is that of the loaded weights; 0 if the model is not whole.
	Version int64
	// Ready tells that the whole model is loaded and no change is under way.
	Ready bool
	// Changing tells that the engine is about to load, or loads.
	Changing bool
}
