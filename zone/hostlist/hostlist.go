// Package hostlist defines the list of the hosts of a fleet and the changes from one
// version of the list to the next. It does no I/O.
package hostlist

import (
	"context"

	"mimosastand.example/mimosastand/contract"
)

// State is the state of a host in the host list.
type State string

// The states of a host. A host that is not listed no longer exists.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Role distinguishes entry hosts from target hosts.
type Role string

// The roles of hosts.
const (
	Entry  Role = "entry"
	Target Role = "target"
)

// Host is one host in the host list.
type Host struct {
	Machine contract.MachineID   `json:"machine"`
	Role    Role                 `json:"role"`
	Zone    contract.ZoneName    `json:"zone"`
	Region  contract.RegionName  `json:"region"`
	Service contract.ServiceName `json:"service,omitempty"`
	// Address is the UDP address of the process's link endpoint.
	Address string `json:"address"`
	State   State  `json:"state"`
}

// List is one version of the host list of the platform, which lags behind the actual
// state of the hosts.
type List struct {
	Version uint64 `json:"version"`
	Hosts   []Host `json:"hosts"`
}

// Reader reads the host list.
type Reader interface {
	// List returns the newest list. It fails with durable.ErrUnavailable or
	// durable.ErrProtocol.
	List(ctx context.Context) (List, error)
}
