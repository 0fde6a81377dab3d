// Package catalog holds what operators say of routes, services and teams: one
// Manifest, which is immutable, and the questions that a request asks of it.
//
// The package has no I/O and no clock. A Manifest is safe for concurrent use.
package catalog

import (
	"slices"
	"sort"
	"strings"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Kind tells what of a route's requests may be repeated.
type Kind uint8

// The kinds of route.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run several times.
	Idempotent
	// Streaming requests are answered by a series of events.
	Streaming
)

// Share is one service's part of a route's requests.
type Share struct {
	Service contract.ServiceName
	// Weight is the part relative to the other shares of the route.
	Weight float64
}

// Route tells how the requests of one host and path prefix are served.
type Route struct {
	Name, Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest that a request may be kept.
	Timeout time.Duration
	// Objective is the latency target: to the whole answer, of streams to the
	// first event.
	Objective time.Duration
	// MaxGap is the longest pause between two events of a timely stream.
	MaxGap time.Duration
	// Priority is the rank; 0 goes first.
	Priority int
	// Shares is never empty.
	Shares []Share
	// MaxAttempts bounds the targets that one request is sent to.
	MaxAttempts int
	// Anonymous requests need no key.
	Anonymous bool
	// Resumable streams may go on at another target.
	Resumable bool
	// Regions lists where requests may be served; empty means everywhere.
	Regions []contract.RegionName
}

// Repeatable reports whether a request may run again after it may have run.
func (r *Route) IsRepeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// Step is the time of one token step, PerRequest what each running request
	// and PerContext what each 1,000 tokens of its context add to it.
	StepTime, PerRequest, PerContext time.Duration
	// ReadRate is the number of prompt tokens read in a second.
	PrefillRate float64
	// Stride is the number of steps in a pass, which is also the number of tokens
	// in an event.
	Stride int
	// PromptTokens and AnswerTokens are the usual sizes of a request.
	PromptTokens, AnswerTokens float64
	// Layers and Chunks are the numbers of layers and of chunks of the model.
	Layers, Chunks int
	// Models names the models that the engines serve.
	Models []string
}

// Origin is where weights come from.
type Origin struct {
	Address string
	Zone    contract.ZoneName
}

// Service describes the targets of a service.
type Service struct {
	Name contract.ServiceName
	// HealthPath is where a target answers probes.
	HealthPath string
	// MaxConns is how many connections one target accepts from all callers.
	MaxConns int
	// ColdStart is how long a target is cold after its start; ColdRate is how many
	// requests a second it bears meanwhile, 0 if there is no bound.
	ColdStart time.Duration
	ColdRate  float64
	// Engine is set for model engines, Origin for a source of weights.
	Engine *Engine
	Origin *Origin
}

// Team is a customer and its keys.
type Team struct {
	Name contract.TeamName
	Keys []string
	// Priority takes precedence over the route's if HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions lists where the team's requests may be served; empty means everywhere.
	Regions []contract.RegionName
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Manifest is one version of what operators want. Build it with New.
type Manifest struct {
	Version  int64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits

	// byHost lists the routes of a host, the longest prefix first.
	byHost   map[string][]*Route
	byKey    map[string]*Team
	services map[contract.ServiceName]*Service
}

// New indexes a manifest.
func New(m Manifest) *Manifest {
	m.byHost = map[string][]*Route{}
	for i := range m.Routes {
		r := &m.Routes[i]
		m.byHost[r.Host] = append(m.byHost[r.Host], r)
	}
	for _, list := range m.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	m.byKey = map[string]*Team{}
	for i := range m.Teams {
		for _, key := range m.Teams[i].Keys {
			m.byKey[key] = &m.Teams[i]
		}
	}
	m.services = map[contract.ServiceName]*Service{}
	for i := range m.Services {
		m.services[m.Services[i].Name] = &m.Services[i]
	}
	return &m
}

// Route returns the route of a host with the longest prefix of path, or nil.
func (m *Manifest) Route(host, path string) *Route {
	for _, r := range m.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Team returns the team that holds a key, or nil.
func (m *Manifest) Team(key string) *Team {
	return m.byKey[key]
}

// Service returns the service of a name, or nil.
func (m *Manifest) Service(name contract.ServiceName) *Service {
	return m.services[name]
}

// HasTeams reports whether requests need a key.
func (m *Manifest) HasTeams() bool { return len(m.Teams) > 0 }

// Pick returns the service at a point of a route's shares; point is in [0, 1).
func (r *Route) Pick(point float64) contract.ServiceName {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := point * total
	for _, s := range r.Shares {
		at -= s.Weight
		if at < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Allowed reports whether a region is in both lists, where an empty list holds
// every region.
func RegionAllowed(region contract.RegionName, route, team []contract.RegionName) bool {
	return allows(route, region) && allows(team, region)
}

func allows(list []contract.RegionName, region contract.RegionName) bool {
	return len(list) == 0 || slices.Contains(list, region)
}

// Origin returns the origin of weights; zero if the manifest names none.
func (m *Manifest) Origin() Origin {
	for _, s := range m.Services {
		if s.Origin != nil {
			return *s.Origin
		}
	}
	return Origin{}
}
