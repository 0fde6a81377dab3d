// Package schema lists every key of the tree of settings with its type, unit,
// range, default and the scopes that may hold it. It checks values and brings
// them into one canonical text form.
package schema

import (
	"fmt"

	"mimosastand.example/mimosastand/settings"
)

// Kind is the type of a key's value.
type Kind uint8

// The types of values.
const (
	Bool Kind = iota
	Int
	Float
	Duration
	Choice
	Name
	NameList
	Digest
)

// Place tells which scopes may hold a key.
type Place uint8

const (
	// AtZone allows exactly the scope of one zone.
	AtZone Place = iota
	// AtArea allows the scopes of one region or one zone.
	AtArea
	// AtService allows exactly the scope of one service.
	AtService
	// AboveTeam allows every scope that names no team.
	AboveTeam
	// Anywhere allows every scope.
	Anywhere
	// AtDeployment allows a service, alone or within a region or zone.
	AtDeployment
)

// Field describes one key.
type Field struct {
	Key  settings.Key
	Kind Kind
	// Unit is the unit of a number, for people.
	Unit string
	// Min and Max bound Int, Float and, in seconds, Duration.
	Min, Max float64
	// Default holds where no scope sets the key; empty means none.
	Default string
	Choices []string
	Place   Place
	// TeamOwned keys concern no other team, so that a team's own token may change
	// them.
	TeamOwned bool
	Doc       string
}

// The keys of the tree.
const (
	Region      settings.Key = "region"
	Entries     settings.Key = "entries"
	Out         settings.Key = "out"
	ServiceKind settings.Key = "kind"
	Targets     settings.Key = "targets"
	Weights     settings.Key = "weights"
	Former      settings.Key = "former"
	Adapters    settings.Key = "adapters"
	ModelRole   settings.Key = "model_role"
	Priority    settings.Key = "priority"
	MaxRunning  settings.Key = "max_running"
	ColdRunning settings.Key = "cold_running"
	SlowStart   settings.Key = "slow_start"
	QueueLength settings.Key = "queue_length"
	RetryShare  settings.Key = "retry_share"
	MinReady    settings.Key = "min_ready"
	MaxFailures settings.Key = "max_failures"
	Spill       settings.Key = "spill"
	Share       settings.Key = "share"
	TeamRetries settings.Key = "team_retry_share"
	MaxPriority settings.Key = "max_priority"
)

const (
	maxUnits    = 4096
	maxHosts    = 20000
	maxQueue    = 100000
	maxPriority = 127
	hour        = 3600
)

var fields = []Field{
	{Key: Region, Kind: Name, Place: AtZone, Doc: "region of the zone; a zone exists once it is set"},
	{Key: Entries, Kind: Int, Unit: "hosts", Max: maxHosts, Default: "0", Place: AtZone, Doc: "entry hosts that the zone should have"},
	{Key: Out, Kind: Bool, Default: "false", Place: AtArea, Doc: "taken out by operators: targets accept no new work"},
	{Key: ServiceKind, Kind: Choice, Choices: []string{"model", "plain"}, Place: AtService, Doc: "kind of service; a service exists once it is set"},
	{Key: Targets, Kind: Int, Unit: "hosts", Max: maxHosts, Default: "0", Place: AtDeployment, Doc: "targets that the service should have"},
	{Key: Weights, Kind: Digest, Place: AtDeployment, Doc: "deployed version"},
	{Key: Former, Kind: Digest, Place: AtDeployment, Doc: "version before the deployed one"},
	{Key: Adapters, Kind: NameList, Place: AtDeployment, Doc: "adapters to load with the version"},
	{Key: ModelRole, Kind: Name, Default: "full", Place: AtDeployment, Doc: "role that the engines take"},
	{Key: Priority, Kind: Int, Max: 100, Default: "50", Place: AtDeployment, Doc: "order of versions that are distributed at once; greater goes first"},
	{Key: MaxRunning, Kind: Int, Unit: "units of work", Min: 1, Max: maxUnits, Default: "16", Place: AboveTeam, Doc: "what one warm target bears"},
	{Key: ColdRunning, Kind: Int, Unit: "units of work", Min: 1, Max: maxUnits, Default: "2", Place: AboveTeam, Doc: "what one target in cold start bears"},
	{Key: SlowStart, Kind: Duration, Max: hour, Default: "20s", Place: AboveTeam, Doc: "time over which the limit rises from cold to warm"},
	{Key: QueueLength, Kind: Int, Unit: "requests", Max: maxQueue, Default: "256", Place: AboveTeam, Doc: "requests that wait at one entry host"},
	{Key: RetryShare, Kind: Float, Unit: "retries per first attempt", Max: 1, Default: "0.1", Place: AboveTeam, Doc: "bound on the retries of a service"},
	{Key: MinReady, Kind: Float, Unit: "share of targets", Max: 1, Default: "0.7", Place: AboveTeam, Doc: "share of a zone's targets that serve during a roll-out"},
	{Key: MaxFailures, Kind: Int, Unit: "targets", Max: maxHosts, Default: "2", Place: AboveTeam, Doc: "targets that may fail a roll-out before it stops"},
	{Key: Spill, Kind: Bool, Default: "true", Place: AboveTeam, Doc: "requests may go to other zones"},
	{Key: Share, Kind: Float, Unit: "weight", Min: 0.001, Max: 1000, Default: "1", Place: Anywhere, Doc: "weight of a team among those that compete"},
	{Key: TeamRetries, Kind: Float, Unit: "retries per first attempt", Max: 1, Default: "0.1", Place: Anywhere, TeamOwned: true, Doc: "bound on the retries of a team"},
	{Key: MaxPriority, Kind: Int, Max: maxPriority, Default: "10", Place: Anywhere, TeamOwned: true, Doc: "highest priority that a team's requests may ask for"},
}

var byKey = index()

func index() map[settings.Key]Field {
	m := make(map[settings.Key]Field, len(fields))
	for _, f := range fields {
		m[f.Key] = f
	}
	return m
}

// Fields lists all keys in the order of the tree.
func Fields() []Field {
	return append([]Field(nil), fields...)
}

// Lookup returns the field of a key.
func Lookup(key settings.Key) (Field, bool) {
	f, ok := byKey[key]
	return f, ok
}

// allows reports whether a scope may hold a key of this place.
func (p Place) allows(s settings.Scope) bool {
	zoneOnly := s == settings.Scope{Zone: s.Zone} && s.Zone != ""
	switch p {
	case AtZone:
		return zoneOnly
	case AtArea:
		return zoneOnly || s == settings.Scope{Region: s.Region} && s.Region != ""
	case AtService:
		return s == settings.Scope{Service: s.Service} && s.Service != ""
	case AboveTeam:
		return s.Team == ""
	case AtDeployment:
		return s.Team == "" && s.Service != ""
	default:
		return true
	}
}

// String tells in words where a key may stand.
func (p Place) String() string {
	return [...]string{
		"a [zone NAME]", "a [region NAME] or [zone NAME]", "a [service NAME]",
		"any section that names no team", "any section",
		"a [service NAME], alone or within a region or zone",
	}[p]
}

// Allowed describes the values that f takes.
func (f Field) Allowed() string {
	switch f.Kind {
	case Bool:
		return "true or false"
	case Int:
		return fmt.Sprintf("a whole number from %g to %g%s", f.Min, f.Max, f.unit())
	case Float:
		return fmt.Sprintf("a number from %g to %g%s", f.Min, f.Max, f.unit())
	case Duration:
		return fmt.Sprintf("a duration from %gs to %gs, such as 20s", f.Min, f.Max)
	case Choice:
		return fmt.Sprintf("one of %v", f.Choices)
	case Digest:
		return "blake3: and 64 hexadecimal digits"
	case NameList:
		return "names separated by commas"
	default:
		return "a name of letters, digits, '.', '_' and '-'"
	}
}

func (f Field) unit() string {
	if f.Unit == "" {
		return ""
	}
	return " (" + f.Unit + ")"
}
