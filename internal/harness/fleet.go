package harness

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/internal/relay"
	standins "mimosastand.example/mimosastand/standin/fleet"
)

const (
	// readyTimeout bounds the time until an entry is ready after the start of a fleet.
	readyTimeout = 20 * time.Second
	// FleetTeam is the only team, and FleetKey its API key.
	FleetTeam = "team-1"
	FleetKey  = "key-1"
	// engineSlots is how many requests the stand-in of an engine or service runs at once.
	engineSlots = 8
	// plainCallDuration is the duration of a call to a plain service.
	plainCallDuration = 5 * time.Millisecond
)

// FleetSpec describes a fleet to start.
type FleetSpec struct {
	Zones []Zone
	// Entries, Engines and Services are the numbers of each per zone.
	Entries, Engines, Services int
	// StreamEvents is the number of events of a stream, EventInterval the time between two
	// events.
	StreamEvents  int
	EventInterval time.Duration
	// Pieces is the number of pieces of a version of the weights.
	Pieces int
	// UseRelays puts relays in front of the store, the back ends and the links of the
	// processes.
	UseRelays bool
}

// Fleet is a system of entries and targets, each a separate process. They find everything
// else through a stand-in of the platform's store.
type Fleet struct {
	Dir     string
	Spec    FleetSpec
	Store   *standins.Store
	Origin  *standins.Origin
	Entries []*Machine
	Targets []*TargetHost
	// Services are the stand-ins of the plain service.
	Services []*standins.Engine

	program string
	network *Network
	spawner *spawner

	mu       sync.Mutex
	manifest standins.Manifest
	version  int64
	// crashCauses are the requests that crash back ends.
	crashCauses standins.CrashCauses
	// formerEngines are the engines of lost machines.
	formerEngines []*standins.Engine
}

// NewFleet starts the stand-ins and prepares the processes, which Start starts. Files and
// logs are written to dir; the program is in binDir.
func NewFleet(dir, binDir string, spec FleetSpec) (*Fleet, error) {
	network, err := NewNetwork()
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Dir:     dir,
		Spec:    spec,
		Store:   standins.NewStore(),
		Origin:  standins.NewOrigin(spec.Pieces),
		program: filepath.Join(binDir, "mimosastand"),
		network: network,
		spawner: newSpawner(),
		version: 1,
	}
	f.manifest = standins.Manifest{
		Keys: []string{FleetKey}, Origin: f.Origin.Address(), Zone: string(spec.Zones[0].Name), Pieces: spec.Pieces,
	}
	if _, err := f.PublishNextManifest(); err != nil {
		return nil, err
	}
	for at, zone := range spec.Zones {
		if err := f.addZone(at+1, zone); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// addZone starts the back ends of a zone and prepares its machines. Zones are numbered from
// 1.
func (f *Fleet) addZone(number int, zone Zone) error {
	for n := range f.Spec.Services {
		e := &standins.Engine{
			ID: fmt.Sprintf("%s-service-%d", zone.Name, n+1), Service: standins.PlainService, Zone: string(zone.Name),
			Slots: engineSlots, CallDuration: plainCallDuration, UseRelay: f.Spec.UseRelays,
		}
		if err := e.Start(f.Store, 0); err != nil {
			return err
		}
		f.Services = append(f.Services, e)
	}
	for n := range f.Spec.Engines {
		m, err := f.newMachine(number, zone, config.RoleTarget, n+1)
		if err != nil {
			return err
		}
		t := &TargetHost{Machine: m, id: m.Name + "-engine"}
		if err := t.startEngine(1); err != nil {
			return err
		}
		f.Targets = append(f.Targets, t)
	}
	for n := range f.Spec.Entries {
		m, err := f.newMachine(number, zone, config.RoleEntry, n+1)
		if err != nil {
			return err
		}
		f.Entries = append(f.Entries, m)
	}
	return nil
}

func (f *Fleet) newMachine(zoneNumber int, zone Zone, role string, n int) (*Machine, error) {
	m := &Machine{
		Name:        fmt.Sprintf("%s-%s-%d", role, zone.Name, n),
		Zone:        zone,
		Role:        role,
		StoreAccess: f.Store.NewAccessPoint(),
		fleet:       f,
	}
	for _, address := range []*string{&m.CallerAddress, &m.ReadyAddress, &m.linkAddress, &m.metricsAddress} {
		*address = f.network.NextAddress(zoneNumber)
	}
	if !f.Spec.UseRelays {
		return m, nil
	}
	return m, m.addRelays(f.network.NextAddress(zoneNumber))
}

// addRelays puts a relay between the process and the store, and one at advertised between
// other processes and the links of this process.
func (m *Machine) addRelays(advertised string) error {
	var err error
	if m.StorePath, err = relay.NewTCP("127.0.0.1:0", m.StoreAccess.Address()); err != nil {
		return err
	}
	if m.LinkPath, err = relay.NewUDP(advertised, m.linkAddress); err != nil {
		return err
	}
	return m.StoreAccess.ReplaceAddress(m.linkAddress, advertised)
}

// Machines returns all machines, entries first.
func (f *Fleet) Machines() []*Machine {
	list := append([]*Machine(nil), f.Entries...)
	for _, t := range f.Targets {
		list = append(list, t.Machine)
	}
	return list
}

// Start starts all processes and waits until every entry is ready.
func (f *Fleet) Start(ctx context.Context) error {
	for _, m := range f.Machines() {
		if err := m.Start(); err != nil {
			return err
		}
	}
	for _, m := range f.Entries {
		if err := m.AwaitReady(ctx, readyTimeout); err != nil {
			return err
		}
	}
	return nil
}

// PublishNextManifest writes the next version of the manifest, which has another generation
// route, and returns the version.
func (f *Fleet) PublishNextManifest() (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.manifest.Version++
	return f.manifest.Version, f.Store.WriteManifest(f.manifest)
}

// ManifestVersion returns the version of the newest manifest.
func (f *Fleet) ManifestVersion() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.manifest.Version
}

// AnnounceNextVersion announces the next version of the weights and returns it.
func (f *Fleet) AnnounceNextVersion() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.Store.AnnounceVersion(f.version)
	return f.version
}

// AnnouncedVersion returns the newest announced version of the weights.
func (f *Fleet) AnnouncedVersion() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// Engines returns the current stand-ins of the model engines.
func (f *Fleet) Engines() []*standins.Engine {
	var list []*standins.Engine
	for _, t := range f.Targets {
		list = append(list, t.Engine())
	}
	return list
}

// AllEngines returns the current and former stand-ins of model engines.
func (f *Fleet) AllEngines() []*standins.Engine {
	list := f.Engines()
	f.mu.Lock()
	defer f.mu.Unlock()
	return append(list, f.formerEngines...)
}

// BackEnds returns all current and former back ends.
func (f *Fleet) BackEnds() []*standins.Engine { return append(f.AllEngines(), f.Services...) }

// RunCount returns how often an attempt ran, summed over all back ends.
func (f *Fleet) RunCount(attempt string) int {
	n := 0
	for _, e := range f.BackEnds() {
		n += e.RunCount(attempt)
	}
	return n
}

// AwaitVersion waits until the engine of every target holds the version.
func (f *Fleet) AwaitVersion(ctx context.Context, version int64, timeout time.Duration) error {
	return WaitFor(ctx, timeout, func() error {
		for _, t := range f.Targets {
			if got := t.Engine().Version(); got != version {
				return errors.Newf("harness: engine of %s holds version %d, want %d", t.Name, got, version)
			}
		}
		return nil
	})
}

// StopAll runs a planned stop of all processes and returns the names of those that did not
// exit with status 0 in time.
func (f *Fleet) StopAll() []string {
	var mu sync.Mutex
	var failed []string
	var wg sync.WaitGroup
	for _, m := range f.Machines() {
		wg.Go(func() {
			if m.Running() && !m.Stop() {
				mu.Lock()
				defer mu.Unlock()
				failed = append(failed, m.Name)
			}
		})
	}
	wg.Wait()
	return failed
}

// Close kills all processes and closes the relays and stand-ins.
func (f *Fleet) Close() {
	for _, m := range f.Machines() {
		m.Kill()
		if m.StorePath != nil {
			m.StorePath.Close()
			m.LinkPath.Close()
		}
		m.StoreAccess.Close()
	}
	for _, e := range append(f.Engines(), f.Services...) {
		e.Stop()
	}
	f.Origin.Close()
	f.Store.Close()
	f.network.Release()
}

// zoneList returns the list of zones in the format of the settings files.
func (f *Fleet) zoneList() string {
	var list []string
	for _, z := range f.Spec.Zones {
		list = append(list, fmt.Sprintf("%s:%s", z.Name, z.Region))
	}
	return strings.Join(list, ",")
}
