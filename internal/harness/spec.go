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
	// EngineOptions are the keys of the section of each model engine in the stand-ins'
	// file, such as "cold_start" = "2s".
	EngineOptions map[string]string
	// Link holds the heartbeat times. The zero value selects short times, so that silent
	// links are detected soon.
	Link LinkTimes
	// LogOptions, StoreOptions and OriginOptions are keys of the sections of the platform's
	// services in the stand-ins' file.
	LogOptions, StoreOptions, OriginOptions map[string]string
	// UseRelays puts a relay in front of the link of each host and, for each zone, in front
	// of each service of the platform, so that these paths can be cut.
	UseRelays bool
}

// LinkTimes are the heartbeat times of links, in the format of an INI file.
type LinkTimes struct {
	HeartbeatInterval, SilentAfter string
}

// Zone is one availability zone.
type Zone struct {
	Name   contract.ZoneName
	Region contract.RegionName
}

// Service is one service and its targets.
type Service struct {
	Name contract.ServiceName
	// Model reports whether this is a model deployment rather than a plain service.
	Model bool
	// PerZone is how many targets each zone has.
	PerZone int
}

// Entry is one entry host of a started system.
type Entry struct {
	Machine contract.MachineID
	Zone    Zone
	// Link is the address on which the process listens for links, AdvertisedLink the
	// address at which other processes reach it.
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
	// Link is the address on which the process listens for links, AdvertisedLink the
	// address at which other processes reach it.
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
