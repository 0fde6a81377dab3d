package soak

import (
	"encoding/json"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// SavedPlan is a plan in a file. A seed gives a different plan once kinds of faults are
// added, so the file of a plan that broke a promise is what reproduces it.
type SavedPlan struct {
	Seed uint64 `json:"seed"`
	// Cause explains in one line why promises broke; empty if unknown.
	Cause  string        `json:"cause"`
	Length time.Duration `json:"length_ns"`
	Events []Event       `json:"events"`
}

// Write writes the plan to a file.
func (p SavedPlan) Write(file string) error {
	data, err := json.MarshalIndent(p, "", " ")
	if err != nil {
		return errors.Wrap(err, "soak")
	}
	return errors.Wrap(os.WriteFile(file, data, 0o600), "soak")
}

// ReadSavedPlan reads a plan from a file.
func ReadSavedPlan(file string) (SavedPlan, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return SavedPlan{}, errors.Wrap(err, "soak")
	}
	var p SavedPlan
	return p, errors.Wrapf(json.Unmarshal(data, &p), "soak: %s", file)
}

// MarshalText returns the name of the fault.
func (f Fault) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText sets the fault to the one with the given name.
func (f *Fault) UnmarshalText(text []byte) error {
	index := slices.Index(faultNames[:], string(text))
	if index < 0 {
		return errors.Newf("soak: unknown fault %q", text)
	}
	*f = Fault(index)
	return nil
}
