// Package wire holds the JSON messages of the administration API, for the
// server and for its clients.
package wire

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/settings"
)

// Paths of the API.
const (
	PathSettings  = "/v1/settings"
	PathEffective = "/v1/settings/effective"
	PathSchema    = "/v1/settings/schema"
	PathChanges   = "/v1/changes"
	PathZones     = "/v1/zones"
	PathServices  = "/v1/services"
	PathStatus    = "/v1/status"
)

// Value is one value that a scope holds.
type Value struct {
	Scope string       `json:"scope"`
	Key   settings.Key `json:"key"`
	Value string       `json:"value"`
}

// Tree is the answer to PathSettings: all set values.
type Tree struct {
	Offset contract.Offset `json:"offset"`
	Values []Value         `json:"values"`
}

// EffectiveValue is a value with its origin.
type EffectiveValue struct {
	Key   settings.Key `json:"key"`
	Value string       `json:"value"`
	// Origin is the scope that sets the value, or "schema" for a built-in default.
	Origin string `json:"origin"`
	// Offset is the change that set it, 0 for a built-in default.
	Offset  contract.Offset `json:"offset,omitempty"`
	Unit    string          `json:"unit,omitempty"`
	Allowed string          `json:"allowed"`
}

// Effective is the answer to PathExplain: what holds at one scope.
type Effective struct {
	Offset contract.Offset  `json:"offset"`
	Scope  string           `json:"scope"`
	Values []EffectiveValue `json:"values"`
}

// Field describes one key, in the answer to PathSchema.
type Field struct {
	Key     settings.Key `json:"key"`
	Unit    string       `json:"unit,omitempty"`
	Allowed string       `json:"allowed"`
	Default string       `json:"default"`
	Place   string       `json:"place"`
	Doc     string       `json:"doc"`
}

// Assignment sets or removes one key at one scope.
type Assignment struct {
	Scope string       `json:"scope"`
	Key   settings.Key `json:"key"`
	Value string       `json:"value,omitempty"`
	Unset bool         `json:"unset,omitempty"`
}

// ChangeRequest is a change of one or more keys, whole or not at all.
type ChangeRequest struct {
	// ID makes a resend harmless; it is required.
	ID string `json:"id"`
	// Base is the offset of the settings that the operator saw; without it the
	// change is based on what the server knows.
	Base    *contract.Offset `json:"base,omitempty"`
	Note    string           `json:"note,omitempty"`
	Changes []Assignment     `json:"changes"`
}

// ActionRequest is the body of the shorthands: zone out and in, and rollback.
type ActionRequest struct {
	ID   string           `json:"id"`
	Base *contract.Offset `json:"base,omitempty"`
	Note string           `json:"note,omitempty"`
}

// DeployRequest deploys a version of a service.
type DeployRequest struct {
	ActionRequest
	Weights  contract.Digest `json:"weights"`
	Adapters []string        `json:"adapters,omitempty"`
}

// ChangeReply tells where an accepted change stands.
type ChangeReply struct {
	Offset contract.Offset `json:"offset"`
	// Duplicate tells that an earlier send of the change had been accepted.
	Duplicate bool `json:"duplicate,omitempty"`
	// Changes lists what was set; it is empty for a duplicate.
	Changes []Assignment `json:"changes,omitempty"`
}

// HistoryEntry is one change with what became of it.
type HistoryEntry struct {
	Offset contract.Offset `json:"offset"`
	// Time is the log service's clock; it is zero if the record came from a peer.
	Time    time.Time       `json:"time,omitzero"`
	Author  string          `json:"author"`
	ID      string          `json:"id"`
	Base    contract.Offset `json:"base"`
	Note    string          `json:"note,omitempty"`
	Changes []Assignment    `json:"changes"`
	// Outcome is empty for a record older than what the server remembers.
	Outcome string `json:"outcome,omitempty"`
	// With is the other change of a conflict or duplicate.
	With contract.Offset `json:"with,omitempty"`
}

// History is the answer to a GET of PathChanges, oldest first.
type History struct {
	Entries []HistoryEntry `json:"entries"`
	// Oldest is the first offset that could still be read.
	Oldest contract.Offset `json:"oldest"`
}

// Problem is a refusal, in the form of problem details.
type Problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Request string `json:"request"`
	// Faults lists refused values.
	Faults []Fault `json:"faults,omitempty"`
	// Conflict names the other change.
	Conflict *Conflict `json:"conflict,omitempty"`
}

// Fault is one refused value.
type Fault struct {
	Scope   string       `json:"scope"`
	Key     settings.Key `json:"key"`
	Value   string       `json:"value"`
	Allowed string       `json:"allowed"`
}

// Conflict is the change that won.
type Conflict struct {
	Offset contract.Offset `json:"offset"`
	Author string          `json:"author,omitempty"`
	ID     string          `json:"id,omitempty"`
	Scope  string          `json:"scope"`
	Key    settings.Key    `json:"key"`
}

// Reasons of refusals that only this API gives.
const (
	ReasonConflict         = "settings_conflict"
	ReasonRefusedValue     = "refused_value"
	ReasonBaseTooOld       = "base_too_old"
	ReasonIdentifierReused = "identifier_reused"
	ReasonForbidden        = "forbidden"
	ReasonNotFound         = "not_found"
	ReasonNotAccepted      = "not_accepted"
	ReasonResultUnknown    = "result_unknown"
)
