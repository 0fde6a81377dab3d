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
	standin "mimosastand.example/mimosastand/standin/fleet"
)

const (
	// readyWait bounds the start of a fleet.
	readyWait = 20 * time.Second
	// FleetKey is the API key of the one team.
	FleetKey = "key-1"
	// engineSlots is how many requests a stand-in of an engine runs at once.
	engineSlots = 8
	// plainWork is the time of a plain call.
	plainWork = 5 * time.Millisecond
)

// FleetSpec tells how large a fleet is.
type FleetSpec struct {
	Zones []Zone
	// Entries, Engines and Services are the numbers in each zone.
	Entries, Engines, Services int
	// Events is the length of a stream, Gap the time between two events.
	StreamEvents  int
	EventInterval time.Duration
	// Pieces is the number of pieces of a version.
	Pieces int
	// Relayed has processes reach the store and the back ends through relays.
	Relayed bool
}

// Fleet is entries and targets as processes of their own, which find everything
// else through a stand-in of the platform's store.
type Fleet struct {
	Dir     string
	Spec    FleetSpec
	Store   *standin.Store
	Origin  *standin.Origin
	Entries []*Machine
	Targets []*TargetHost
	// Services are the stand-ins of the plain service.
	Services []*standin.Engine

	bin     string
	network *network
	spawner *spawner

	mu       sync.Mutex
	manifest standin.Manifest
	version  int64
	// former are the engines of machines that were lost.
	former []*standin.Engine
}

// NewFleet starts the stand-ins and prepares the processes; Start starts them.
// Files and logs go to dir, the program is in binDir.
func NewFleet(dir, binDir string, spec FleetSpec) (*Fleet, error) {
	network, err := newNetwork()
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Dir:     dir,
		Spec:    spec,
		Store:   standin.NewStore(),
		Origin:  standin.NewOrigin(spec.Pieces),
		bin:     filepath.Join(binDir, "mimosastand"),
		network: network,
		spawner: newSpawner(),
		version: 1,
	}
	f.manifest = standin.Manifest{
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

func (f *Fleet) addZone(at int, zone Zone) error {
	for n := range f.Spec.Services {
		e := &standin.Engine{
			ID: fmt.Sprintf("%s-service-%d", zone.Name, n+1), Service: standin.PlainService, Zone: string(zone.Name),
			Slots: engineSlots, CallDuration: plainWork, UseRelay: f.Spec.Relayed,
		}
		if err := e.Start(f.Store, 0); err != nil {
			return err
		}
		f.Services = append(f.Services, e)
	}
	for n := range f.Spec.Engines {
		m, err := f.newMachine(at, zone, config.RoleTarget, n+1)
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
		m, err := f.newMachine(at, zone, config.RoleEntry, n+1)
		if err != nil {
			return err
		}
		f.Entries = append(f.Entries, m)
	}
	return nil
}

func (f *Fleet) newMachine(at int, zone Zone, role string, n int) (*Machine, error) {
	m := &Machine{
		Name:        fmt.Sprintf("%s-%s-%d", role, zone.Name, n),
		Zone:        zone,
		Role:        role,
		StoreAccess: f.Store.NewAccessPoint(),
		fleet:       f,
	}
	for _, address := range []*string{&m.CallerAddress, &m.ReadyAddress, &m.link, &m.metrics} {
		*address = f.network.next(at)
	}
	if !f.Spec.Relayed {
		return m, nil
	}
	return m, m.relayPaths(f.network.next(at))
}

// relayPaths has the process reach the store through a relay, and others the process's
// links through one at the given address.
func (m *Machine) relayPaths(links string) error {
	var err error
	if m.StorePath, err = relay.NewTCP("127.0.0.1:0", m.StoreAccess.Address()); err != nil {
		return err
	}
	if m.LinkPath, err = relay.NewUDP(links, m.link); err != nil {
		return err
	}
	return m.StoreAccess.ReplaceAddress(m.link, links)
}

// Machines lists all machines that run a process of the system.
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
		if err := m.AwaitReady(ctx, readyWait); err != nil {
			return err
		}
	}
	return nil
}

// NextManifest writes a further manifest, with another generation route, and
// returns its version.
func (f *Fleet) PublishNextManifest() (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.manifest.Version++
	return f.manifest.Version, f.Store.WriteManifest(f.manifest)
}

// Manifest is the version of the newest manifest.
func (f *Fleet) ManifestVersion() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.manifest.Version
}

// NameNext names a further version of the weights and returns it.
func (f *Fleet) AnnounceNextVersion() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.Store.AnnounceVersion(f.version)
	return f.version
}

// Named is the newest version of the weights that was named.
func (f *Fleet) AnnouncedVersion() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// Engines lists the stand-ins of model engines that run.
func (f *Fleet) Engines() []*standin.Engine {
	var list []*standin.Engine
	for _, t := range f.Targets {
		list = append(list, t.Engine())
	}
	return list
}

// AllEngines lists the stand-ins of model engines that ever ran.
func (f *Fleet) AllEngines() []*standin.Engine {
	list := f.Engines()
	f.mu.Lock()
	defer f.mu.Unlock()
	return append(list, f.former...)
}

// BackEnds lists all back ends that ever ran.
func (f *Fleet) BackEnds() []*standin.Engine { return append(f.AllEngines(), f.Services...) }

// Runs is how often an attempt ran, at all back ends together.
func (f *Fleet) RunCount(attempt string) int {
	n := 0
	for _, e := range f.BackEnds() {
		n += e.RunCount(attempt)
	}
	return n
}

// AwaitVersion waits until every engine of a running target holds a version.
func (f *Fleet) AwaitVersion(ctx context.Context, version int64, wait time.Duration) error {
	return WaitFor(ctx, wait, func() error {
		for _, t := range f.Targets {
			if got := t.Engine().Version(); got != version {
				return errors.Newf("harness: the engine of %s holds version %d, want %d", t.Name, got, version)
			}
		}
		return nil
	})
}

// StopAll asks all processes to stop and returns those that did not end well.
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

// Close ends everything that still runs.
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
	f.network.release()
}

// zonesText is the list of zones as settings files have it.
func (f *Fleet) zonesText() string {
	var list []string
	for _, z := range f.Spec.Zones {
		list = append(list, fmt.Sprintf("%s:%s", z.Name, z.Region))
	}
	return strings.Join(list, ",")
}
