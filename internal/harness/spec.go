package harness

import (
	"fmt"

	"mimosastand.example/mimosastand/contract"
)

// Spec describes a system to start.
type Spec struct {
	Zones    []Zone
	Services []Service
	// EntriesPerZone is how many entry hosts each zone has.
	EntriesPerZone int
	// EngineOptions are the keys of every model engine's section in the
	// stand-ins' file, such as "cold_start" = "2s".
	EngineOptions map[string]string
	// Link holds the heartbeat times; empty fields make silence show soon.
	Link LinkTimes
	// LogOptions, StoreOptions and OriginOptions are those of the platform's.
	LogOptions, StoreOptions, OriginOptions map[string]string
	// Relays puts a relay before each host's link and, for each zone, before each
	// service of the platform, so that they can be cut.
	Relays bool
}

// LinkTimes are durations in the form of an INI file.
type LinkTimes struct {
	Heartbeat, SilentAfter string
}

// Zone is one availability zone.
type Zone struct {
	Name   contract.ZoneName
	Region contract.RegionName
}

// Service is one service and its targets.
type Service struct {
	Name contract.ServiceName
	// Model is set for a model deployment, not for a plain service.
	Model bool
	// PerZone is how many targets each zone has.
	PerZone int
}

// Entry is one entry host of a started system.
type Entry struct {
	Machine contract.MachineID
	Zone    Zone
	// Link is where the process listens, Front where others reach it.
	Link           string
	AdvertisedLink string
	HTTP           string
	Admin          string
	Process        *Process
	iniFile        string
}

// Target is one target host of a started system.
type Target struct {
	Machine contract.MachineID
	Zone    Zone
	Service Service
	// Link is where the process listens, Front where others reach it.
	Link           string
	AdvertisedLink string
	HTTP           string
	Backend        string
	Process        *Process
	iniFile        string
}

// machineName returns names such as "khomas-a-entry-1".
func machineName(zone contract.ZoneName, what string, n int) contract.MachineID {
	return contract.MachineID(fmt.Sprintf("%s-%s-%d", zone, what, n))
}
