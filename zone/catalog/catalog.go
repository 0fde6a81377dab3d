// Package catalog holds the routes, services and teams that operators have configured.
// They form a Manifest, which is immutable and offers the lookups that are needed to
// serve a request.
//
// The package does no I/O and does not read the clock. A Manifest is safe for concurrent
// use.
package catalog

import (
	"slices"
	"sort"
	"strings"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Kind is the kind of a route. It determines whether its requests may be repeated.
type Kind uint8

// The kinds of routes.
const (
	// NonIdempotent requests must run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run several times.
	Idempotent
	// Streaming requests are answered by a stream of events.
	Streaming
)

// Share is the share of a route's requests that one service gets.
type Share struct {
	Service contract.ServiceName
	// Weight is the size of the share relative to the other shares of the route.
	Weight float64
}

// Route defines how the requests to one host and path prefix are served.
type Route struct {
	Name, Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// Objective is the latency objective: the time to the complete answer, or for a
	// stream the time to the first event.
	Objective time.Duration
	// MaxGap is the longest pause between two events of a stream that counts as timely.
	MaxGap time.Duration
	// Priority is the rank of the requests; 0 is the highest.
	Priority int
	// Shares is never empty.
	Shares []Share
	// MaxAttempts bounds the number of targets that one request is sent to.
	MaxAttempts int
	// Anonymous is set if requests need no key.
	Anonymous bool
	// Resumable is set if a stream may be continued by another target.
	Resumable bool
	// Regions lists the regions where requests may be served; empty means all.
	Regions []contract.RegionName
}

// IsRepeatable reports whether a request may be run again if it may have run before.
func (r *Route) IsRepeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// StepTime is the time of one token step. Each running request adds PerRequest to
	// it, and each 1,000 tokens of the request's context add PerContext.
	StepTime, PerRequest, PerContext time.Duration
	// PrefillRate is the number of prompt tokens read in a second.
	PrefillRate float64
	// PairTime is added to the time to read a prompt for each million pairs of a prompt token and
	// any earlier token; 0 if not declared.
	PairTime time.Duration
	// PrefillChunk is the largest number of prompt tokens that are read between two steps; 0 if
	// not declared.
	PrefillChunk float64
	// MemoryTokens is the number of prompt and answer tokens that the memory of an engine holds;
	// 0 if not declared.
	MemoryTokens float64
	// Stride is the number of steps in a pass, and also the number of tokens in an
	// event.
	Stride int
	// PromptTokens and AnswerTokens are the usual sizes of a prompt and an answer.
	PromptTokens, AnswerTokens float64
	// Layers and Chunks are the numbers of layers and of chunks of a model.
	Layers, Chunks int
	// Models lists the models that the engines serve.
	Models []string
}

// Origin is the server that weights are downloaded from.
type Origin struct {
	Address string
	Zone    contract.ZoneName
}

// Service describes the targets of a service.
type Service struct {
	Name contract.ServiceName
	// HealthPath is the path at which a target answers health probes.
	HealthPath string
	// MaxConns is how many connections one target accepts from all callers together.
	MaxConns int
	// ColdStart is how long a target is cold after its start. ColdRate is how many
	// requests per second it can serve during that time; 0 means no limit.
	ColdStart time.Duration
	ColdRate  float64
	// Engine is set if the targets are model engines, Origin if the service is an origin
	// of weights.
	Engine *Engine
	Origin *Origin
}

// Team is a group of callers of a customer, and its API keys.
type Team struct {
	Name contract.TeamName
	Keys []string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions lists the regions where the team's requests may be served; empty means
	// all.
	Regions []contract.RegionName
}

// Limits are the limits on the size of a caller's requests and the timeouts of its
// connections.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Manifest is one version of the configuration by operators. It is built with New.
type Manifest struct {
	Version  int64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits

	// byHost maps a host to its routes, the longest prefix first.
	byHost   map[string][]*Route
	byKey    map[string]*Team
	services map[contract.ServiceName]*Service
	// ranked holds the services whose requests have more than one rank.
	ranked map[contract.ServiceName]bool
}

// New returns a manifest with the given contents, indexed for lookups.
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
	m.ranked = m.findRanked()
	return &m
}

// findRanked returns the services whose requests may have different ranks, by the priorities of
// their routes and of the teams.
func (m *Manifest) findRanked() map[contract.ServiceName]bool {
	first, ranked := map[contract.ServiceName]int{}, map[contract.ServiceName]bool{}
	add := func(service contract.ServiceName, priority int) {
		if p, ok := first[service]; ok && p != priority {
			ranked[service] = true
		}
		first[service] = priority
	}
	for _, r := range m.Routes {
		for _, s := range r.Shares {
			add(s.Service, r.Priority)
			for _, t := range m.Teams {
				if t.HasPriority {
					add(s.Service, t.Priority)
				}
			}
		}
	}
	return ranked
}

// IsRanked reports whether the requests of a service may have different ranks.
func (m *Manifest) IsRanked(service contract.ServiceName) bool { return m.ranked[service] }

// Rank returns the rank of a team's requests to the route; 0 is the most urgent. team may be nil.
func (r *Route) Rank(team *Team) int {
	if team != nil && team.HasPriority {
		return team.Priority
	}
	return r.Priority
}

// Route returns the route of host whose prefix is the longest one of path, or nil if
// there is none.
func (m *Manifest) Route(host, path string) *Route {
	for _, r := range m.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Team returns the team that a key belongs to, or nil if the key is unknown.
func (m *Manifest) Team(key string) *Team {
	return m.byKey[key]
}

// Service returns the service with the given name, or nil if there is none.
func (m *Manifest) Service(name contract.ServiceName) *Service {
	return m.services[name]
}

// ModelLayers returns the number of layers of a service's model; 0 if it is not known.
func (m *Manifest) ModelLayers(name contract.ServiceName) int {
	s := m.Service(name)
	if s == nil || s.Engine == nil {
		return 0
	}
	return s.Engine.Layers
}

// HasTeams reports whether any team is configured, in which case requests need a key.
func (m *Manifest) HasTeams() bool { return len(m.Teams) > 0 }

// Pick returns the service whose share of the route's requests contains point, which is
// in [0, 1).
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

// RegionAllowed reports whether region is in both lists. An empty list stands for all
// regions.
func RegionAllowed(region contract.RegionName, route, team []contract.RegionName) bool {
	return allowsRegion(route, region) && allowsRegion(team, region)
}

func allowsRegion(list []contract.RegionName, region contract.RegionName) bool {
	return len(list) == 0 || slices.Contains(list, region)
}

// Origin returns the origin of weights, or the zero Origin if the manifest has none.
func (m *Manifest) Origin() Origin {
	for _, s := range m.Services {
		if s.Origin != nil {
			return *s.Origin
		}
	}
	return Origin{}
}
