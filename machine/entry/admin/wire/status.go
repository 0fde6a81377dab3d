package wire

import (
	"mimosastand.example/mimosastand/contract"
)

// Status describes the system as one entry host sees it.
type Status struct {
	Machine contract.MachineID `json:"machine"`
	// Ready reports whether this entry host may serve with the settings that it has.
	Ready bool `json:"ready"`
	// Offset is that of the settings which this entry host has applied.
	Offset   contract.Offset `json:"offset"`
	Spread   Spread          `json:"spread"`
	Zones    []ZoneStatus    `json:"zones"`
	Services []ServiceStatus `json:"services"`
}

// Spread describes which settings offsets are applied on the hosts that this entry host
// has links to.
type Spread struct {
	// Machines counts the hosts that reported their offset and are not silent.
	Machines int `json:"machines"`
	// Lowest and Highest include this entry host's own offset.
	Lowest  contract.Offset `json:"lowest"`
	Highest contract.Offset `json:"highest"`
	// Behind counts the hosts whose offset is lower than this entry host's.
	Behind int `json:"behind"`
}

// ZoneStatus counts the targets of one zone. A silent target is counted as silent only;
// Warm and Running include the leaving targets.
type ZoneStatus struct {
	Zone      contract.ZoneName   `json:"zone"`
	Region    contract.RegionName `json:"region"`
	Evacuated bool                `json:"out"`
	// ExpectedEntries is the number of entry hosts that the settings expect.
	ExpectedEntries int `json:"entries_expected"`
	Live            int `json:"targets_live"`
	Leaving         int `json:"targets_leaving"`
	Silent          int `json:"targets_silent"`
	Warm            int `json:"targets_warm"`
	Running         int `json:"running"`
}

// ServiceStatus describes the rollout of the deployed version of one service.
type ServiceStatus struct {
	Service contract.ServiceName `json:"service"`
	Kind    string               `json:"kind"`
	Weights contract.Digest      `json:"weights,omitempty"`
	Former  contract.Digest      `json:"former,omitempty"`
	// Expected is the number of targets that the settings expect.
	Expected int `json:"targets_expected"`
	// Live counts the targets that are neither silent nor leaving.
	Live int `json:"targets_live"`
	// Deployed counts the live targets whose engine confirmed the deployed version.
	Deployed int `json:"targets_deployed"`
	// Versions counts the live targets by confirmed version.
	Versions map[contract.Digest]int `json:"versions,omitempty"`
}
