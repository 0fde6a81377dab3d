package wire

import (
	"mimosastand.example/mimosastand/contract"
)

// Status is what one entry host sees of the system.
type Status struct {
	Machine contract.MachineID `json:"machine"`
	// Ready tells whether this entry host serves by its settings.
	Ready    bool            `json:"ready"`
	Offset   contract.Offset `json:"offset"`
	Spread   Spread          `json:"spread"`
	Zones    []ZoneStatus    `json:"zones"`
	Services []ServiceStatus `json:"services"`
}

// Spread is how far the settings have come among the machines that this entry
// host has links to.
type Spread struct {
	// Machines counts those that said which offset they have.
	Machines int             `json:"machines"`
	Lowest   contract.Offset `json:"lowest"`
	Highest  contract.Offset `json:"highest"`
	// Behind counts those below this entry host's own offset.
	Behind int `json:"behind"`
}

// ZoneStatus counts the machines of one zone.
type ZoneStatus struct {
	Zone      contract.ZoneName   `json:"zone"`
	Region    contract.RegionName `json:"region"`
	Evacuated bool                `json:"out"`
	// Entries is the number that the settings expect.
	ExpectedEntries int `json:"entries_expected"`
	Live            int `json:"targets_live"`
	Leaving         int `json:"targets_leaving"`
	Silent          int `json:"targets_silent"`
	Warm            int `json:"targets_warm"`
	Running         int `json:"running"`
}

// ServiceStatus is how far the deployed version has come.
type ServiceStatus struct {
	Service contract.ServiceName `json:"service"`
	Kind    string               `json:"kind"`
	Weights contract.Digest      `json:"weights,omitempty"`
	Former  contract.Digest      `json:"former,omitempty"`
	// Expected is the number of targets that the settings name, Live those seen.
	Expected int `json:"targets_expected"`
	Live     int `json:"targets_live"`
	// Deployed counts the live targets whose engine confirmed the deployed version.
	Deployed int `json:"targets_deployed"`
	// Versions counts live targets by confirmed version.
	Versions map[contract.Digest]int `json:"versions,omitempty"`
}
