package replay

import (
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/settings/checkpoint"
	"mimosastand.example/mimosastand/settings/record"
	"mimosastand.example/mimosastand/settings/schema"
)

// Outcome is what became of a record.
type Outcome uint8

// The outcomes of records.
const (
	Accepted Outcome = iota + 1
	// Conflicting changes lost a race: another change set one of their keys.
	Conflicting
	// Invalid changes hold a value that the schema does not allow.
	Invalid
	// BaseTooOld changes are based on a tree older than the window.
	BaseTooOld
	// Duplicate changes are resends.
	Duplicate
	// IdentifierReused changes differ from an earlier one with their identifier.
	IdentifierReused
	CheckpointConfirmed
	CheckpointRefused
	Malformed
)

// String returns the outcome in lower case.
func (o Outcome) String() string {
	names := [...]string{"", "accepted", "conflict", "invalid", "base too old", "duplicate", "identifier reused",
		"checkpoint confirmed", "checkpoint refused", "malformed"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// Decision tells what became of the record at an offset.
type Decision struct {
	Offset  contract.Offset
	Outcome Outcome
	// Faults are the values that made a change invalid.
	Faults []*schema.Fault
	// With is the change that a conflict is with, or the first change of a
	// duplicate; Scope and Key are the contested setting.
	With  contract.Offset
	Scope settings.Scope
	Key   settings.Key
	// First is the outcome of the first change of a duplicate.
	First checkpoint.Outcome
}

func (d Decision) seen(c record.Change) checkpoint.Seen {
	seen := checkpoint.Seen{ID: idHash(c.ID), Sum: c.Sum(), Offset: d.Offset, Outcome: checkpoint.Refused}
	switch d.Outcome {
	case Accepted:
		seen.Outcome = checkpoint.Accepted
	case Conflicting:
		seen.Outcome, seen.With = checkpoint.Conflict, d.With
	}
	return seen
}

// decide returns what becomes of a change at an offset, with its changes in
// canonical form.
func (s *State) decide(c record.Change, offset contract.Offset) (Decision, []settings.Change) {
	d := Decision{Offset: offset}
	if s.isDuplicate(c, &d) {
		return d, nil
	}
	checked, faults := schema.CheckAll(c.Changes)
	faults = append(faults, repeated(checked)...)
	switch {
	case s.off&baseCheck == 0 && (c.Base < s.floor || c.Base >= offset):
		d.Outcome = BaseTooOld
	case len(faults) > 0:
		d.Outcome, d.Faults = Invalid, faults
	case s.conflicts(c.Base, checked, &d):
		d.Outcome = Conflicting
	default:
		d.Outcome = Accepted
	}
	return d, checked
}

func (s *State) isDuplicate(c record.Change, d *Decision) bool {
	seen, ok := s.Seen(c.ID)
	if !ok || s.off&duplicateCheck != 0 {
		return false
	}
	d.Outcome, d.With, d.First = Duplicate, seen.Offset, seen.Outcome
	if seen.Sum != c.Sum() {
		d.Outcome = IdentifierReused
	}
	return true
}

// conflicts looks for a key that was set after base.
func (s *State) conflicts(base contract.Offset, changes []settings.Change, d *Decision) bool {
	if s.off&conflictCheck != 0 {
		return false
	}
	for _, c := range changes {
		if e, ok := s.tree.At(c.Scope, c.Key); ok && e.Offset > base {
			d.With, d.Scope, d.Key = e.Offset, c.Scope, c.Key
			return true
		}
	}
	return false
}

// repeated finds keys that one record changes twice.
func repeated(changes []settings.Change) []*schema.Fault {
	type at struct {
		scope settings.Scope
		key   settings.Key
	}
	seen := map[at]bool{}
	var faults []*schema.Fault
	for _, c := range changes {
		if place := (at{c.Scope, c.Key}); seen[place] {
			faults = append(faults, &schema.Fault{Scope: c.Scope, Key: c.Key, Value: c.Value, Allowed: "may be changed once in a record"})
		} else {
			seen[place] = true
		}
	}
	return faults
}
