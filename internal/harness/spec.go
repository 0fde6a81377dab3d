package harness

import (
	"fmt"
	"net"
	"os"

	"github.com/cockroachdb/errors"

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
	// LogOptions, StoreOptions and OriginOptions are those of the platform's.
	LogOptions, StoreOptions, OriginOptions map[string]string
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
	Link    string
	HTTP    string
	Admin   string
	Process *Process
	iniFile string
}

// Target is one target host of a started system.
type Target struct {
	Machine contract.MachineID
	Zone    Zone
	Service Service
	Link    string
	HTTP    string
	Backend string
	Process *Process
	iniFile string
}

const (
	// firstPort to lastPort lie below the ports that the kernel gives to
	// outgoing connections, which would take a port before its process binds it.
	firstPort, lastPort = 20000, 32000
	// blockPorts is the distance of the ports at which two processes begin.
	blockPorts = 200
)

// ports hands out free loopback addresses.
type ports struct {
	last int
}

// newPorts begins at a block that other processes are unlikely to use.
func newPorts() ports {
	const blocks = (lastPort - firstPort) / blockPorts
	return ports{last: firstPort + os.Getpid()%blocks*blockPorts}
}

// next returns an address that is free for TCP and UDP.
func (p *ports) next() (string, error) {
	for range lastPort - firstPort {
		p.last++
		if p.last >= lastPort {
			p.last = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", p.last)
		if isFree(address) {
			return address, nil
		}
	}
	return "", errors.New("harness: no free port")
}

// isFree reports whether an address can be bound for TCP and UDP.
func isFree(address string) bool {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = lis.Close() }()
	udp, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return udp.Close() == nil
}

// machineName returns names such as "khomas-a-entry-1".
func machineName(zone contract.ZoneName, what string, n int) contract.MachineID {
	return contract.MachineID(fmt.Sprintf("%s-%s-%d", zone, what, n))
}
