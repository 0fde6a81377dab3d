package fleet

import (
	"encoding/json"
	"fmt"
)

// Names in the manifests of the stand-in.
const (
	// Host is the host name that callers use.
	Host = "accounts.example"
	// Model is the name of the only model, and ModelService that of the service that serves
	// it. PlainService is the name of a plain service.
	Model        = "daka"
	ModelService = "models"
	PlainService = "ledger"
	// ChatPath is the path prefix of streams, PayPath that of requests that must run at most
	// once, and LookPath that of requests that may be repeated.
	ChatPath = "/chat/"
	PayPath  = "/pay/"
	LookPath = "/look/"
)

const topicOperators = "keyed.op"

// Manifest holds the values that differ between the manifests that operators write.
type Manifest struct {
	Version int
	// Keys are the API keys of the only team.
	Keys []string
	// Origin is the address of the origin of weights, which runs in Zone. Each version
	// consists of Pieces pieces.
	Origin, Zone string
	Pieces       int
}

// ManifestRoutePath returns a path prefix that only the manifest of the given version routes,
// to the plain service.
func ManifestRoutePath(version int) string { return fmt.Sprintf("/generation-%d/", version) }

// manifestRoute is a route in the format of operators. ObjectiveMS is the latency objective,
// and MaxGapMS the longest timely pause between two events of a stream.
type manifestRoute struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	PathPrefix  string `json:"path_prefix"`
	Kind        string `json:"kind"`
	TimeoutMS   int    `json:"timeout_ms"`
	ObjectiveMS int    `json:"target_latency_ms"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"max_attempts"`
	CanResume   bool   `json:"can_resume,omitempty"`
	MaxGapMS    int    `json:"gap_target_ms,omitempty"`
}

func (m Manifest) routes() []manifestRoute {
	return []manifestRoute{
		{Name: "chat", Host: Host, PathPrefix: ChatPath, Kind: "streaming", TimeoutMS: 60000, ObjectiveMS: 1000,
			Service: ModelService, MaxAttempts: 2, CanResume: true, MaxGapMS: 300},
		{Name: "pay", Host: Host, PathPrefix: PayPath, Kind: "non_idempotent", TimeoutMS: 2000, ObjectiveMS: 500,
			Service: PlainService, MaxAttempts: 2},
		{Name: "look", Host: Host, PathPrefix: LookPath, Kind: "idempotent", TimeoutMS: 2000, ObjectiveMS: 100,
			Service: PlainService, MaxAttempts: 2},
		{Name: "generation", Host: Host, PathPrefix: ManifestRoutePath(m.Version), Kind: "idempotent", TimeoutMS: 2000,
			ObjectiveMS: 100, Service: PlainService, MaxAttempts: 2},
	}
}

func (m Manifest) encode() (string, error) {
	text, err := json.Marshal(map[string]any{
		"version": m.Version,
		"routes":  m.routes(),
		"services": []map[string]any{
			{"name": ModelService, "max_conns": 100, "engine": map[string]any{"slots": 8, "step_ms": 2, "read_per_s": 31900, "stride": 4,
				"usual": map[string]any{"prompt": 100, "answer": 32}, "models": []map[string]any{{"name": Model}}, "layers": modelLayers, "chunks": m.Pieces}},
			{"name": PlainService, "max_conns": 100},
			{"name": "source", "origin": m.Origin, "zone": m.Zone},
		},
		"limits":  map[string]any{"max_body_bytes": 1000},
		"tenants": []map[string]any{{"name": "team-1", "api_keys": m.Keys}},
	})
	return string(text), err
}

// WriteManifest writes a manifest to the operators' topic.
func (s *Store) WriteManifest(m Manifest) error {
	text, err := m.encode()
	if err != nil {
		return err
	}
	s.Put(topicOperators, "config", text)
	return nil
}

// AnnounceVersion announces a version of the model as the one to be served.
func (s *Store) AnnounceVersion(version int64) {
	s.Put(topicOperators, "version/"+Model, fmt.Sprintf(`{"model":%q,"version":%d}`, Model, version))
}

// Evacuate begins the evacuation of a zone, or ends it.
func (s *Store) Evacuate(zone string, evacuated bool) {
	value := ""
	if evacuated {
		value = "{}"
	}
	s.Put(topicOperators, "evacuate/"+zone, value)
}

// DropHistory drops the history of the topics of operators and of targets. The newest
// record of each key stays.
func (s *Store) DropHistory() {
	s.Compact(topicOperators)
	s.Compact(TopicTargets)
}
