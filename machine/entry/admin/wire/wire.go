// Package wire defines the JSON messages of the administration API. The server and its
// clients share them.
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

// Value is one value that is set at a scope.
type Value struct {
	Scope string       `json:"scope"`
	Key   settings.Key `json:"key"`
	Value string       `json:"value"`
}

// Tree is the response to PathSettings: all values that are set.
type Tree struct {
	Offset contract.Offset `json:"offset"`
	Values []Value         `json:"values"`
}

// EffectiveValue is a value that applies at a scope, with its origin.
type EffectiveValue struct {
	Key   settings.Key `json:"key"`
	Value string       `json:"value"`
	// Origin is the scope that sets the value, or "schema" for a built-in default.
	Origin string `json:"origin"`
	// Offset is that of the change which set the value; 0 for a built-in default.
	Offset  contract.Offset `json:"offset,omitempty"`
	Unit    string          `json:"unit,omitempty"`
	Allowed string          `json:"allowed"`
}

// Effective is the response to PathEffective: the values that apply at one scope.
type Effective struct {
	Offset contract.Offset  `json:"offset"`
	Scope  string           `json:"scope"`
	Values []EffectiveValue `json:"values"`
}

// Field describes one key. The response to PathSchema is a list of fields.
type Field struct {
	Key     settings.Key `json:"key"`
	Unit    string       `json:"unit,omitempty"`
	Allowed string       `json:"allowed"`
	Default string       `json:"default"`
	Place   string       `json:"place"`
	Doc     string       `json:"doc"`
}

// Assignment sets one key at one scope, or removes it.
type Assignment struct {
	Scope string       `json:"scope"`
	Key   settings.Key `json:"key"`
	Value string       `json:"value,omitempty"`
	Unset bool         `json:"unset,omitempty"`
}

// ChangeRequest changes one or more keys atomically.
type ChangeRequest struct {
	// ID identifies the change, so that sending it again does not apply it twice. It is
	// required.
	ID string `json:"id"`
	// Base is the offset of the settings that the operator saw. If it is nil, the change
	// is based on the newest settings that the server has.
	Base    *contract.Offset `json:"base,omitempty"`
	Note    string           `json:"note,omitempty"`
	Changes []Assignment     `json:"changes"`
}

// ActionRequest is the body of the calls that evacuate a zone, end its evacuation, or
// roll a service back. Its fields have the meaning that they have in ChangeRequest.
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

// ChangeReply is the response to an accepted change. Offset is the change's position in
// the log.
type ChangeReply struct {
	Offset contract.Offset `json:"offset"`
	// Duplicate reports that the change had been accepted before, under the same ID.
	Duplicate bool `json:"duplicate,omitempty"`
	// Changes lists the assignments made; it is empty for a duplicate.
	Changes []Assignment `json:"changes,omitempty"`
}

// HistoryEntry is one change and its outcome.
type HistoryEntry struct {
	Offset contract.Offset `json:"offset"`
	// Time is read from the log service's clock. It is zero if the record came from a
	// peer.
	Time    time.Time       `json:"time,omitzero"`
	Author  string          `json:"author"`
	ID      string          `json:"id"`
	Base    contract.Offset `json:"base"`
	Note    string          `json:"note,omitempty"`
	Changes []Assignment    `json:"changes"`
	// Outcome is empty for a record that is older than the server's own history.
	Outcome string `json:"outcome,omitempty"`
	// With is the offset of the other change of a conflict or duplicate.
	With contract.Offset `json:"with,omitempty"`
}

// History is the response to a GET of PathChanges. Its entries are ordered from the
// oldest to the newest.
type History struct {
	Entries []HistoryEntry `json:"entries"`
	// Oldest is the lowest offset that the server could read.
	Oldest contract.Offset `json:"oldest"`
}

// Problem describes why a call was refused, in the format of problem details (RFC 9457).
type Problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Request string `json:"request"`
	// Faults lists the refused values.
	Faults []Fault `json:"faults,omitempty"`
	// Conflict is the change that took precedence, if the call was refused for a conflict.
	Conflict *Conflict `json:"conflict,omitempty"`
}

// Fault is one refused value; Allowed describes the values that are allowed.
type Fault struct {
	Scope   string       `json:"scope"`
	Key     settings.Key `json:"key"`
	Value   string       `json:"value"`
	Allowed string       `json:"allowed"`
}

// Conflict identifies the earlier change with which a refused change conflicts, and the
// scope and key that both set.
type Conflict struct {
	Offset contract.Offset `json:"offset"`
	Author string          `json:"author,omitempty"`
	ID     string          `json:"id,omitempty"`
	Scope  string          `json:"scope"`
	Key    settings.Key    `json:"key"`
}

// These are the reasons of refusals that only this API gives.
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
