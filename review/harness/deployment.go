//go:build review

package harness

import (
	"os"
	"strconv"
	"strings"
	"sync"

	"mimosastand.example/mimosastand/standin/fleet"
)

// Deployment is a small system: processes on machines of their own, and the stand-ins beside them.
type Deployment struct {
	// Root is the root of the repository.
	Root   string
	Record *Record
	Store  *fleet.Store
	// StoreAddress is where the processes reach the store.
	StoreAddress string

	dir     string
	network *network
	starter *starter
	zones   []string

	mu       sync.Mutex
	machines []*Machine
}

// New prepares a deployment in some zones, each of which is a region of the same name with "r-" before it.
func New(record *Record, zones ...string) (*Deployment, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "mimosastand-review-")
	if err != nil {
		return nil, err
	}
	network, err := newNetwork()
	if err != nil {
		return nil, err
	}
	store := fleet.NewStore()
	// The pages in force name no era of the store.
	store.SetEraHidden(true)
	return &Deployment{
		Root: root, Record: record, Store: store, StoreAddress: store.Address(),
		dir: dir, network: network, starter: newStarter(), zones: zones,
	}, nil
}

// zoneList returns the zones and their regions as the template lists them.
func (d *Deployment) zoneList() string {
	var list []string
	for _, zone := range d.zones {
		list = append(list, zone+":"+regionOf(zone))
	}
	return strings.Join(list, ",")
}

func regionOf(zone string) string { return "r-" + zone }

// NewEntry prepares a machine with the role of an entry.
func (d *Deployment) NewEntry(name, zone string) *Machine {
	return d.newMachine("entry", name, zone, nil)
}

// NewTarget prepares a machine with the process beside a model engine of a service at an address.
func (d *Deployment) NewTarget(name, zone, engineAddress, service string) *Machine {
	return d.newMachine("target", name, zone, map[string]string{"app": engineAddress, "service": service})
}

func (d *Deployment) newMachine(role, name, zone string, fields map[string]string) *Machine {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := &Machine{Name: name, Zone: zone, IP: d.network.nextIP(), deployment: d, role: role}
	m.fields = map[string]string{
		"node": name, "zone": zone, "region": regionOf(zone), "ip": m.IP, "platform.address": d.StoreAddress,
		"listen.front": m.CallerAddress(), "listen.ready": m.readyAddress(), "internal_ports.0": strconv.Itoa(d.network.ports.link),
	}
	for key, value := range fields {
		m.fields[key] = value
	}
	d.machines = append(d.machines, m)
	return m
}

// NewProgram prepares a stand-in that runs as a process of its own. program is its path from the repository's root.
func (d *Deployment) NewProgram(name, program string, args ...string) *Machine {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := &Machine{Name: name, IP: "127.0.0.1", deployment: d, program: append([]string{program}, args...)}
	d.machines = append(d.machines, m)
	return m
}

// Close ends all processes that were started, by their ids, and removes the temporary folder. With KEEP set
// in the environment the folder stays, for its logs.
func (d *Deployment) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.machines {
		m.Kill()
	}
	d.Store.Close()
	d.network.release()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		d.Record.Printf("settings and logs: %s", d.dir)
	}
}

// RunningMachines lists the machines whose process runs.
func (d *Deployment) RunningMachines() []*Machine {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*Machine
	for _, m := range d.machines {
		if m.IsRunning() {
			list = append(list, m)
		}
	}
	return list
}

// RestartKilled starts the processes again that Kill has ended.
func (d *Deployment) RestartKilled() error {
	for _, m := range d.machines {
		if !m.wasKilled {
			continue
		}
		if err := m.Start(); err != nil {
			return err
		}
	}
	return nil
}
