package fleet

import (
	"encoding/json"
	"fmt"
)

// The routes and services of the stand-in's manifests.
const (
	// Host is the name that callers use.
	Host = "accounts.example"
	// Model is the name of the one model, and ModelService of the service that serves it;
	// PlainService makes one effect a call.
	Model        = "daka"
	ModelService = "models"
	PlainService = "ledger"
	// ChatPath begins the paths of streams, PayPath those of calls that may run once
	// only, LookPath those that may be repeated.
	ChatPath = "/chat/"
	PayPath  = "/pay/"
	LookPath = "/look/"
)

const topicOperators = "keyed.op"

// Manifest is what operators write of routes, services and teams.
type Manifest struct {
	Version int
	// Keys are the API keys of the one team.
	Keys []string
	// Origin is the address of the origin of weights, which stands in Zone; a
	// version has Pieces pieces.
	Origin, Zone string
	Pieces       int
}

// GenerationPath is a path that only the manifest of one version routes.
func GenerationPath(version int) string { return fmt.Sprintf("/generation-%d/", version) }

type manifestRoute struct {
	Name          string `json:"name"`
	Host          string `json:"host"`
	PathPrefix    string `json:"path_prefix"`
	Kind          string `json:"kind"`
	TimeoutMS     int    `json:"timeout_ms"`
	TargetLatency int    `json:"target_latency_ms"`
	Service       string `json:"service"`
	MaxAttempts   int    `json:"max_attempts"`
	CanResume     bool   `json:"can_resume,omitempty"`
	GapTargetMS   int    `json:"gap_target_ms,omitempty"`
}

func (m Manifest) routes() []manifestRoute {
	return []manifestRoute{
		{Name: "chat", Host: Host, PathPrefix: ChatPath, Kind: "streaming", TimeoutMS: 60000, TargetLatency: 1000,
			Service: ModelService, MaxAttempts: 2, CanResume: true, GapTargetMS: 300},
		{Name: "pay", Host: Host, PathPrefix: PayPath, Kind: "non_idempotent", TimeoutMS: 2000, TargetLatency: 500,
			Service: PlainService, MaxAttempts: 2},
		{Name: "look", Host: Host, PathPrefix: LookPath, Kind: "idempotent", TimeoutMS: 2000, TargetLatency: 100,
			Service: PlainService, MaxAttempts: 2},
		{Name: "generation", Host: Host, PathPrefix: GenerationPath(m.Version), Kind: "idempotent", TimeoutMS: 2000,
			TargetLatency: 100, Service: PlainService, MaxAttempts: 2},
	}
}

func (m Manifest) encode() (string, error) {
	text, err := json.Marshal(map[string]any{
		"version": m.Version,
		"routes":  m.routes(),
		"services": []map[string]any{
			{"name": ModelService, "max_conns": 100, "engine": map[string]any{"slots": 8, "step_ms": 2, "read_per_s": 31900, "stride": 4,
				"usual": map[string]any{"prompt": 100, "answer": 32}, "models": []map[string]any{{"name": Model}}, "layers": layers, "chunks": m.Pieces}},
			{"name": PlainService, "max_conns": 100},
			{"name": "source", "origin": m.Origin, "zone": m.Zone},
		},
		"limits":  map[string]any{"max_body_bytes": 1000},
		"tenants": []map[string]any{{"name": "team-1", "api_keys": m.Keys}},
	})
	return string(text), err
}

// WriteManifest writes a manifest as operators do.
func (s *Store) WriteManifest(m Manifest) error {
	text, err := m.encode()
	if err != nil {
		return err
	}
	s.Put(topicOperators, "config", text)
	return nil
}

// NameVersion names a version of the model as the one to be served.
func (s *Store) AnnounceVersion(version int64) {
	s.Put(topicOperators, "version/"+Model, fmt.Sprintf(`{"model":%q,"version":%d}`, Model, version))
}

// Evacuate takes a zone out, or back in.
func (s *Store) Evacuate(zone string, out bool) {
	value := ""
	if out {
		value = "{}"
	}
	s.Put(topicOperators, "evacuate/"+zone, value)
}

// DropHistory drops the history of what operators and targets wrote; the newest
// records stay.
func (s *Store) DropHistory() {
	s.Compact(topicOperators)
	s.Compact(topicTargets)
}
