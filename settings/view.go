package settings

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

// View is the tree of settings at one offset. It is immutable and safe for
// concurrent use. The daemons and the decision packages read settings only
// through it.
type View interface {
	// Offset is the highest settings record that the view includes.
	Offset() contract.Offset
	// Zone returns the settings of an availability zone.
	Zone(region contract.RegionName, zone contract.ZoneName) ZoneSettings
	// Service returns the settings of a service as they hold in a zone; ok is
	// false if no service of that name exists.
	Service(region contract.RegionName, zone contract.ZoneName, service contract.ServiceName) (s ServiceSettings, ok bool)
	// Team returns the settings of a team for a service in a zone; ok is false
	// if no team of that name exists.
	Team(region contract.RegionName, zone contract.ZoneName, service contract.ServiceName, team contract.TeamName) (t TeamSettings, ok bool)
	// Services lists the names of all services in lexical order.
	Services() []contract.ServiceName
}

// ZoneSettings are the effective settings of an availability zone.
type ZoneSettings struct {
	// Out is set while operators have taken the zone out: its targets accept no
	// new work.
	Out bool
}

// ServiceKind tells model deployments and plain services apart.
type ServiceKind string

// The kinds of service.
const (
	KindModel ServiceKind = "model"
	KindPlain ServiceKind = "plain"
)

// ServiceSettings are the effective settings of a service.
type ServiceSettings struct {
	Kind ServiceKind
	// Weights is the deployed version, Former the one before it, Adapters the
	// adapters to load with it; all empty for a plain service.
	Weights  contract.Digest
	Former   contract.Digest
	Adapters []string
	// ModelRole is the role that the engines take, such as "prefill" or "decode".
	ModelRole string
	// Priority orders several versions that are distributed at once.
	Priority int
	// MaxRunning is how many units of work one warm target bears.
	MaxRunning int
	// ColdRunning is how many units of work a target in cold start bears.
	ColdRunning int
	// SlowStart is the time over which the limit rises from cold to warm.
	SlowStart time.Duration
	// QueueLength bounds the requests that wait at one entry host.
	QueueLength int
	// RetryShare bounds retries as a share of first attempts, 0 to 1.
	RetryShare float64
	// MinReady is the share of a zone's targets that must serve during a
	// roll-out, 0 to 1.
	MinReady float64
	// MaxFailures is how many targets may fail a roll-out before it stops.
	MaxFailures int
	// Spill allows requests to go to other zones when their own has no room.
	Spill bool
}

// TeamSettings are the effective settings of a team.
type TeamSettings struct {
	// Share is the team's weight among the teams that compete, above 0.
	Share float64
	// RetryShare bounds the team's retries as a share of its first attempts.
	RetryShare float64
	// MaxPriority is the highest priority that its requests may ask for.
	MaxPriority int
}
