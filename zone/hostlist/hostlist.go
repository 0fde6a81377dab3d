// Package hostlist holds the product's view of which hosts there are, and the
// changes from one list to the next. It has no I/O.
package hostlist

import (
	"context"

	"mimosastand.example/mimosastand/contract"
)

// State is what the host list says of a host.
type State string

// The states of a host. A host that the list does not name is gone.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Role tells entry hosts and target hosts apart.
type Role string

// The roles of hosts.
const (
	Entry  Role = "entry"
	Target Role = "target"
)

// Host is one line of the host list.
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

// List is the platform's lagging view of its hosts.
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
