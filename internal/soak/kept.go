package soak

import (
	"encoding/json"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Kept is a plan in a file. A seed gives another plan once faults are added; the file
// of a plan that broke a promise plays it again.
type SavedPlan struct {
	Seed uint64 `json:"seed"`
	// Cause tells in a line why promises broke; empty if that is not known.
	Cause  string        `json:"cause"`
	Length time.Duration `json:"length_ns"`
	Events []Event       `json:"events"`
}

// Write writes the plan to a file.
func (k SavedPlan) Write(file string) error {
	data, err := json.MarshalIndent(k, "", " ")
	if err != nil {
		return errors.Wrap(err, "soak")
	}
	return errors.Wrap(os.WriteFile(file, data, 0o600), "soak")
}

// ReadKept reads the file of a plan.
func ReadSavedPlan(file string) (SavedPlan, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return SavedPlan{}, errors.Wrap(err, "soak")
	}
	var k SavedPlan
	return k, errors.Wrapf(json.Unmarshal(data, &k), "soak: %s", file)
}

// MarshalText returns the name of the fault.
func (f Fault) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText finds the fault with a name.
func (f *Fault) UnmarshalText(text []byte) error {
	at := slices.Index(faultNames[:], string(text))
	if at < 0 {
		return errors.Newf("soak: no fault %q", text)
	}
	*f = Fault(at)
	return nil
}
