package config

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
)

// Roles of a process.
const (
	RoleEntry  = "entry"
	RoleTarget = "target"
)

// Kinds of back ends.
const (
	BackendModel = "model"
	BackendPlain = "plain"
)

// Values of Target.Fencing: whether a back end refuses orders with an old fencing
// number.
const (
	FencingChecked   = "checked"
	FencingUnchecked = "unchecked"
	// FencingUnknown is treated as unchecked until the back end reports otherwise.
	FencingUnknown = "unknown"
)

// Process holds the validated settings of one process.
type Process struct {
	Role    string
	Machine contract.MachineID
	Zone    contract.ZoneName
	Region  contract.RegionName
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// ShutdownGrace is how long a planned stop waits for requests in flight.
	ShutdownGrace time.Duration

	// LinkAddress is the UDP address that other processes connect to; HTTPAddress is
	// the TCP address for callers (entry) or for health and metrics (target).
	LinkAddress, HTTPAddress string
	// AdminAddress is the TCP address of the administration API (entry only).
	AdminAddress string

	// LogURL, StoreURL, OriginURL and HostsURL are the base addresses of the platform's
	// services.
	LogURL, StoreURL, OriginURL, HostsURL string

	TLS  link.CredentialFiles
	Link link.Config

	Entry  Entry
	Target Target
	// Fleet is set for a process that finds its peers through the platform's store.
	// Of the other fields only Role, Machine, Zone, Region, LogLevel and ShutdownGrace
	// are then set.
	Fleet *Fleet
}

// Entry holds the settings that only an entry process has.
type Entry struct {
	// MaxBodyBytes is the size limit of a request's body.
	MaxBodyBytes int64
	// DefaultTimeout is the timeout of a request that specifies none.
	DefaultTimeout time.Duration
	// TokensFile is the file that holds the administration API's bearer tokens and
	// their scopes.
	TokensFile string
}

// Target holds the settings that only a target process has.
type Target struct {
	Service    contract.ServiceName
	Kind       string
	BackendURL string
	Fencing    string
	// MaxRunning limits the units of work that run at once in a warm back end.
	MaxRunning int
	// MachineLink and RegionLink are the capacities of the host's own network link and
	// of a link between regions, in bytes per second in each direction; 0 means unknown.
	MachineLink, RegionLink int
	// OriginRegion is the region of the origin; empty if unknown.
	OriginRegion contract.RegionName
}

// regionUnknown is the value of origin_region for an unknown region.
const regionUnknown = "unknown"

const (
	second      = int64(time.Second)
	millisecond = int64(time.Millisecond)
	// maxLinkBytes is the highest capacity that a link may be given, in bytes per second.
	maxLinkBytes = 1 << 36
)

// defaultShutdownGrace is the default of shutdown_grace outside a fleet.
const defaultShutdownGrace = "30s"

// processFields lists the fields of section [process]; shutdownGrace is the default of
// shutdown_grace.
func processFields(shutdownGrace string) []field {
	return []field{
		{section: "process", key: "role", kind: kindChoice, required: true, choices: []string{RoleEntry, RoleTarget},
			set: func(c *Process, v value) { c.Role = v.text }},
		{section: "process", key: "machine", kind: kindName, required: true,
			set: func(c *Process, v value) { c.Machine = contract.MachineID(v.text) }},
		{section: "process", key: "zone", kind: kindName, required: true,
			set: func(c *Process, v value) { c.Zone = contract.ZoneName(v.text) }},
		{section: "process", key: "region", kind: kindName, required: true,
			set: func(c *Process, v value) { c.Region = contract.RegionName(v.text) }},
		{section: "process", key: "log_level", kind: kindChoice, def: "info", choices: []string{"debug", "info", "warn", "error"},
			set: func(c *Process, v value) { c.LogLevel = v.text }},
		{section: "process", key: "shutdown_grace", kind: kindDuration, def: shutdownGrace, min: second, max: 3600 * second,
			set: func(c *Process, v value) { c.ShutdownGrace = v.duration }},
	}
}

// commonFields lists the fields that every process outside a fleet has in addition to
// processFields.
var commonFields = []field{
	{section: "listen", key: "link", kind: kindAddress, required: true,
		set: func(c *Process, v value) { c.LinkAddress = v.text }},
	{section: "listen", key: "http", kind: kindAddress, required: true,
		set: func(c *Process, v value) { c.HTTPAddress = v.text }},
	{section: "platform", key: "log", kind: kindURL, required: true,
		set: func(c *Process, v value) { c.LogURL = v.text }},
	{section: "platform", key: "store", kind: kindURL, required: true,
		set: func(c *Process, v value) { c.StoreURL = v.text }},
	{section: "platform", key: "origin", kind: kindURL, required: true,
		set: func(c *Process, v value) { c.OriginURL = v.text }},
	{section: "platform", key: "hosts", kind: kindURL, required: true,
		set: func(c *Process, v value) { c.HostsURL = v.text }},
	{section: "tls", key: "ca", kind: kindFile, required: true,
		set: func(c *Process, v value) { c.TLS.CA = v.text }},
	{section: "tls", key: "cert", kind: kindFile, required: true,
		set: func(c *Process, v value) { c.TLS.Cert = v.text }},
	{section: "tls", key: "key", kind: kindFile, required: true,
		set: func(c *Process, v value) { c.TLS.Key = v.text }},
	{section: "link", key: "heartbeat", kind: kindDuration, def: "1s", min: 50 * millisecond, max: 10 * second,
		set: func(c *Process, v value) { c.Link.HeartbeatInterval = v.duration }},
	{section: "link", key: "silent_after", kind: kindDuration, def: "3s", min: 200 * millisecond, max: 60 * second,
		set: func(c *Process, v value) { c.Link.SilentAfter = v.duration }},
}

// entryFields lists the additional fields of an entry process.
var entryFields = []field{
	{section: "listen", key: "admin", kind: kindAddress, required: true,
		set: func(c *Process, v value) { c.AdminAddress = v.text }},
	{section: "entry", key: "max_body_bytes", kind: kindInt, def: "1048576", min: 1024, max: 1 << 20,
		set: func(c *Process, v value) { c.Entry.MaxBodyBytes = v.number }},
	{section: "entry", key: "default_timeout", kind: kindDuration, def: "60s", min: 10 * millisecond, max: 3600 * second,
		set: func(c *Process, v value) { c.Entry.DefaultTimeout = v.duration }},
	{section: "entry", key: "tokens_file", kind: kindFile, required: true,
		set: func(c *Process, v value) { c.Entry.TokensFile = v.text }},
}

// targetFields lists the additional fields of a target process.
var targetFields = []field{
	{section: "target", key: "service", kind: kindName, required: true,
		set: func(c *Process, v value) { c.Target.Service = contract.ServiceName(v.text) }},
	{section: "target", key: "kind", kind: kindChoice, required: true, choices: []string{BackendModel, BackendPlain},
		set: func(c *Process, v value) { c.Target.Kind = v.text }},
	{section: "target", key: "backend", kind: kindURL, required: true,
		set: func(c *Process, v value) { c.Target.BackendURL = v.text }},
	{section: "target", key: "fencing", kind: kindChoice, def: FencingUnknown,
		choices: []string{FencingChecked, FencingUnchecked, FencingUnknown},
		set:     func(c *Process, v value) { c.Target.Fencing = v.text }},
	{section: "target", key: "max_running", kind: kindInt, def: "16", min: 1, max: 4096,
		set: func(c *Process, v value) { c.Target.MaxRunning = int(v.number) }},
	{section: "target", key: "machine_link", kind: kindInt, def: "0", min: 0, max: maxLinkBytes,
		set: func(c *Process, v value) { c.Target.MachineLink = int(v.number) }},
	{section: "target", key: "region_link", kind: kindInt, def: "0", min: 0, max: maxLinkBytes,
		set: func(c *Process, v value) { c.Target.RegionLink = int(v.number) }},
	{section: "target", key: "origin_region", kind: kindName, def: regionUnknown,
		set: func(c *Process, v value) {
			if v.text != regionUnknown {
				c.Target.OriginRegion = contract.RegionName(v.text)
			}
		}},
}
