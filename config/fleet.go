package config

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

// FileVariable is the environment variable that names a process's file where
// the command line does not.
const FileEnv = "MIMOSASTAND_NODE_FILE"

// fleetSection marks the file of a process that finds its peers through the
// platform's store.
const fleetSection = "fleet"

// Fleet holds the settings of a process that finds everything else through the
// platform's store.
type Fleet struct {
	// Zones maps every zone to its region.
	Zones map[contract.ZoneName]contract.RegionName
	// Store is the "ip:port" of the platform's store.
	Store string
	// LinkAddress is the UDP address for the system's other processes,
	// MetricsAddress the TCP address of the metrics page.
	LinkAddress, MetricsAddress string
	// CallerAddress and ReadyAddress are the TCP addresses for callers and for
	// readiness probes (entry).
	CallerAddress, ReadyAddress string
	// EngineAddress is the "ip:port" of the engine beside the process (target).
	EngineAddress string
	// EngineService is the service of that engine.
	EngineService contract.ServiceName
	Bounds        Bounds
}

// Bounds are the limits that the fleet as a whole keeps.
type Bounds struct {
	// RetryRatio and RetryBurst bound the attempts beyond the first of each request
	// to one service within RetryWindow: the ratio times the requests, plus the burst.
	RetryRatio  float64
	RetryBurst  float64
	RetryWindow time.Duration
	// ColdFactor and ColdSlack bound the requests that a cold target gets in a second:
	// the rate that it bears times the factor, plus the slack in requests.
	ColdFactor, ColdSlack float64
	// Version is how long after a version was named requests may begin on an
	// older one.
	OldVersionGrace time.Duration
}

// fleetGrace is the default grace of a planned stop, that of the platform.
const fleetGrace = "8s"

// fleetCommon lists what every process of a fleet has beside processFields.
var fleetCommon = []field{
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
}

// fleetEntryFields lists the further fields of an entry of a fleet.
var fleetEntryFields = []field{
	{section: "listen", key: "callers", kind: kindAddress, required: true,
		set: func(c *Process, v value) { c.Fleet.CallerAddress = v.text }},
	{section: "listen", key: "ready", kind: kindAddress, required: true,
		set: func(c *Process, v value) { c.Fleet.ReadyAddress = v.text }},
}

// fleetTargetFields lists the further fields of a target of a fleet.
var fleetTargetFields = []field{
	{section: "engine", key: "address", kind: kindAddress, required: true,
		set: func(c *Process, v value) { c.Fleet.EngineAddress = v.text }},
	{section: "engine", key: "service", kind: kindName, required: true,
		set: func(c *Process, v value) { c.Fleet.EngineService = contract.ServiceName(v.text) }},
}

func fleetFieldsFor(role string) []field {
	fields := append(processFields(fleetGrace), fleetCommon...)
	switch role {
	case RoleEntry:
		return append(fields, fleetEntryFields...)
	case RoleTarget:
		return append(fields, fleetTargetFields...)
	default:
		return fields
	}
}
