package config

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

// FileEnv is the environment variable that holds the path of a process's file; it
// applies if the command line names none.
const FileEnv = "MIMOSASTAND_NODE_FILE"

// fleetSection is the section that marks the file of a process that finds its peers
// through the platform's store.
const fleetSection = "fleet"

// Fleet holds the settings of a process that finds the rest of the system through the
// platform's store.
type Fleet struct {
	// Zones maps every zone to its region.
	Zones map[contract.ZoneName]contract.RegionName
	// Store is the "ip:port" of the platform's store.
	Store string
	// LinkAddress is the UDP address that the system's other processes connect to;
	// MetricsAddress is the TCP address of the metrics page.
	LinkAddress, MetricsAddress string
	// CallerAddress and ReadyAddress are the TCP addresses for callers and for
	// readiness probes (entry only).
	CallerAddress, ReadyAddress string
	// EngineAddress is the "ip:port" of the engine on the process's host (target only).
	EngineAddress string
	// EngineService is the service that this engine serves.
	EngineService contract.ServiceName
	// TargetReportInterval is the interval at which targets report to the store, where their entry
	// of the target list lapses without reports; 0 if it is not known (entry only).
	TargetReportInterval time.Duration
	Bounds               Bounds
	// SharesSlots has entries divide the slots of the targets of ranked services, and hold requests in
	// a queue by rank while they find no room (entry only).
	SharesSlots bool
	// Hedging limits second attempts at requests whose targets are slow (entry only).
	Hedging Hedging
}

// Hedging limits the second attempts that an entry sends beside those whose targets are slow.
type Hedging struct {
	// ExtraWork is the number of extra attempts as a share of the requests of a service; 0 means none.
	ExtraWork float64
}

// Bounds holds the limits that apply to the fleet as a whole.
type Bounds struct {
	// RetryRatio and RetryBurst limit the retries (attempts after the first of a
	// request) to one service within RetryWindow: at most the ratio times the
	// requests, plus the burst.
	RetryRatio  float64
	RetryBurst  float64
	RetryWindow time.Duration
	// ColdFactor and ColdSlack limit the requests that a cold target receives in a
	// second: the rate that it can sustain times the factor, plus the slack in requests.
	ColdFactor, ColdSlack float64
	// OldVersionGrace is how long after the announcement of a version requests may still
	// start on an older one.
	OldVersionGrace time.Duration
	// StableWindow is how long after the end of a disruption the other bounds hold again.
	StableWindow time.Duration
}

// fleetShutdownGrace is the default of shutdown_grace in a fleet. It equals the
// platform's own grace period for a planned stop.
const fleetShutdownGrace = "8s"

// fleetCommonFields lists the fields that every process of a fleet has in addition to
// processFields.
var fleetCommonFields = []field{
	{section: fleetSection, key: "zones", kind: kindZones, required: true,
		set: func(c *Process, v value) { c.Fleet.Zones = v.zones }},
	{section: fleetSection, key: "store", kind: kindAddress, required: true,
		set: func(c *Process, v value) { c.Fleet.Store = v.text }},
	{section: "listen", key: "link", kind: kindAddress, required: true,
		set: func(c *Process, v value) { c.Fleet.LinkAddress = v.text }},
	{section: "listen", key: "metrics", kind: kindAddress, required: true,
		set: func(c *Process, v value) { c.Fleet.MetricsAddress = v.text }},
	{section: "bounds", key: "retry_ratio", kind: kindFloat, def: "0.2", min: 0, max: 10,
		set: func(c *Process, v value) { c.Fleet.Bounds.RetryRatio = v.float }},
	{section: "bounds", key: "retry_burst", kind: kindFloat, def: "50", min: 0, max: 1 << 20,
		set: func(c *Process, v value) { c.Fleet.Bounds.RetryBurst = v.float }},
	{section: "bounds", key: "retry_window", kind: kindDuration, def: "10s", min: second, max: 3600 * second,
		set: func(c *Process, v value) { c.Fleet.Bounds.RetryWindow = v.duration }},
	{section: "bounds", key: "cold_factor", kind: kindFloat, def: "1", min: 0, max: 100,
		set: func(c *Process, v value) { c.Fleet.Bounds.ColdFactor = v.float }},
	{section: "bounds", key: "cold_slack", kind: kindFloat, def: "0", min: 0, max: 1 << 20,
		set: func(c *Process, v value) { c.Fleet.Bounds.ColdSlack = v.float }},
	{section: "bounds", key: "version", kind: kindDuration, def: "8s", min: second, max: 3600 * second,
		set: func(c *Process, v value) { c.Fleet.Bounds.OldVersionGrace = v.duration }},
	{section: "bounds", key: "stable_window", kind: kindDuration, def: "3s", min: 0, max: 3600 * second,
		set: func(c *Process, v value) { c.Fleet.Bounds.StableWindow = v.duration }},
}

// fleetEntryFields lists the additional fields of an entry of a fleet.
var fleetEntryFields = []field{
	{section: "listen", key: "callers", kind: kindAddress, required: true,
		set: func(c *Process, v value) { c.Fleet.CallerAddress = v.text }},
	{section: "listen", key: "ready", kind: kindAddress, required: true,
		set: func(c *Process, v value) { c.Fleet.ReadyAddress = v.text }},
	{section: fleetSection, key: "target_report_interval", kind: kindDuration, def: "0s", min: 0, max: 3600 * second,
		set: func(c *Process, v value) { c.Fleet.TargetReportInterval = v.duration }},
	{section: "contention", key: "slot_shares", kind: kindChoice, def: "off", choices: []string{"off", "on"},
		set: func(c *Process, v value) { c.Fleet.SharesSlots = v.text == "on" }},
	{section: "hedging", key: "extra_work", kind: kindFloat, def: "0", min: 0, max: 1,
		set: func(c *Process, v value) { c.Fleet.Hedging.ExtraWork = v.float }},
}

// fleetTargetFields lists the additional fields of a target of a fleet.
var fleetTargetFields = []field{
	{section: "engine", key: "address", kind: kindAddress, required: true,
		set: func(c *Process, v value) { c.Fleet.EngineAddress = v.text }},
	{section: "engine", key: "service", kind: kindName, required: true,
		set: func(c *Process, v value) { c.Fleet.EngineService = contract.ServiceName(v.text) }},
}

// fleetFieldsForRole returns the fields in the file of a fleet process with the role.
func fleetFieldsForRole(role string) []field {
	fields := append(processFields(fleetShutdownGrace), fleetCommonFields...)
	switch role {
	case RoleEntry:
		return append(fields, fleetEntryFields...)
	case RoleTarget:
		return append(fields, fleetTargetFields...)
	default:
		return fields
	}
}
