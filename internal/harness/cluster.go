package harness

import (
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/internal/devkeys"
	"mimosastand.example/mimosastand/link"
)

// Cluster is a started system: stand-ins, entry hosts and target hosts.
type Cluster struct {
	Dir        string
	BinDir     string
	Spec       Spec
	Entries    []*Entry
	Targets    []*Target
	StandIns   *Process
	TokensFile string
	// AdminToken is a bearer token with every right.
	AdminToken string

	LogAddress, StoreAddress, OriginAddress, HostsAddress string

	relays    relays
	spawner   *spawner
	network   *Network
	authority *devkeys.Authority
}

// New prepares a system whose files are in dir and whose programs are in binDir. It starts
// relays but no processes.
func New(dir, binDir string, spec Spec) (*Cluster, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, errors.Wrap(err, "harness")
	}
	network, err := NewNetwork()
	if err != nil {
		return nil, err
	}
	authority, err := devkeys.NewAuthority(dir)
	if err != nil {
		return nil, err
	}
	c := &Cluster{Dir: dir, BinDir: binDir, Spec: spec, spawner: newSpawner(), network: network, authority: authority}
	c.assignPlatformAddresses()
	if err := c.writeTokens(); err != nil {
		return nil, err
	}
	return c, c.addHosts()
}

func (c *Cluster) assignPlatformAddresses() {
	for _, address := range []*string{&c.LogAddress, &c.StoreAddress, &c.OriginAddress, &c.HostsAddress} {
		*address = c.network.NextAddress(0)
	}
}

func (c *Cluster) addHosts() error {
	for i, zone := range c.Spec.Zones {
		platform, err := c.zonePlatformSection(i+1, zone)
		if err != nil {
			return err
		}
		for n := range c.Spec.EntriesPerZone {
			if err := c.addEntry(i+1, n+1, platform); err != nil {
				return err
			}
		}
		for _, service := range c.Spec.Services {
			for n := range service.PerZone {
				if err := c.addTarget(i+1, service, n+1, platform); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// addEntry adds the nth entry host of a zone. Zones and hosts are numbered from 1.
func (c *Cluster) addEntry(zoneNumber, n int, platform section) error {
	zone := c.Spec.Zones[zoneNumber-1]
	e := &Entry{Machine: machineName(zone.Name, "entry", n), Zone: zone}
	for _, address := range []*string{&e.Link, &e.HTTP, &e.Admin} {
		*address = c.network.NextAddress(zoneNumber)
	}
	var err error
	if e.AdvertisedLink, err = c.advertiseLink(zoneNumber, e.Link); err != nil {
		return err
	}
	files, err := c.authority.Issue(string(e.Machine), link.RoleEntry, devkeys.DefaultValidity)
	if err != nil {
		return err
	}
	e.iniFile, err = writeINI(c.Dir, string(e.Machine)+".ini", c.entrySections(e, files, platform))
	c.Entries = append(c.Entries, e)
	return err
}

// addTarget adds the nth target host of a service in a zone. Zones and hosts are numbered
// from 1.
func (c *Cluster) addTarget(zoneNumber int, service Service, n int, platform section) error {
	zone := c.Spec.Zones[zoneNumber-1]
	t := &Target{Machine: machineName(zone.Name, string(service.Name), n), Zone: zone, Service: service}
	for _, address := range []*string{&t.Link, &t.HTTP, &t.Backend} {
		*address = c.network.NextAddress(zoneNumber)
	}
	var err error
	if t.AdvertisedLink, err = c.advertiseLink(zoneNumber, t.Link); err != nil {
		return err
	}
	files, err := c.authority.Issue(string(t.Machine), link.RoleTarget, devkeys.DefaultValidity)
	if err != nil {
		return err
	}
	t.iniFile, err = writeINI(c.Dir, string(t.Machine)+".ini", c.targetSections(t, files, platform))
	c.Targets = append(c.Targets, t)
	return err
}

// StartStandIns starts the stand-ins of the platform and of all back ends, waits until they
// listen and sends the list of hosts.
func (c *Cluster) StartStandIns(timeout time.Duration) error {
	file, err := writeINI(c.Dir, "standins.ini", c.standInSections())
	if err != nil {
		return err
	}
	c.StandIns, err = c.spawner.spawn(c.Dir, "standins", filepath.Join(c.BinDir, "standins"), "--config", file)
	if err != nil {
		return err
	}
	if err := waitForLine(c.StandIns, "ready", timeout); err != nil {
		return err
	}
	return c.PutHosts()
}

func (c *Cluster) standInSections() []section {
	sections := []section{
		{name: "log", keys: withKey(c.Spec.LogOptions, "listen", c.LogAddress)},
		{name: "store", keys: withKey(c.Spec.StoreOptions, "listen", c.StoreAddress)},
		{name: "origin", keys: withKey(c.Spec.OriginOptions, "listen", c.OriginAddress)},
		{name: "hosts", keys: map[string]string{"listen": c.HostsAddress}},
	}
	for _, t := range c.Targets {
		if t.Service.Model {
			sections = append(sections, section{name: "engine " + string(t.Machine), keys: withKey(c.Spec.EngineOptions, "listen", t.Backend)})
			continue
		}
		sections = append(sections, section{name: "service " + string(t.Machine), keys: map[string]string{
			"listen": t.Backend, "books": string(t.Service.Name),
		}})
	}
	return sections
}

// StartEntry starts the process of an entry host, or starts it again after a stop.
func (c *Cluster) StartEntry(e *Entry) error {
	p, err := c.spawner.spawn(c.Dir, string(e.Machine), filepath.Join(c.BinDir, "mimosastand"), "entry", "--config", e.iniFile)
	e.Process = p
	return err
}

// StartTarget starts the process of a target host, or starts it again after a stop.
func (c *Cluster) StartTarget(t *Target) error {
	p, err := c.spawner.spawn(c.Dir, string(t.Machine), filepath.Join(c.BinDir, "mimosastand"), "target", "--config", t.iniFile)
	t.Process = p
	return err
}

// StartAll starts every entry and target process.
func (c *Cluster) StartAll() error {
	for _, t := range c.Targets {
		if err := c.StartTarget(t); err != nil {
			return err
		}
	}
	for _, e := range c.Entries {
		if err := c.StartEntry(e); err != nil {
			return err
		}
	}
	return nil
}

// Processes returns the last started process of each host and the process of the stand-ins:
// entries first, then targets, then the stand-ins.
func (c *Cluster) Processes() []*Process {
	var all []*Process
	for _, e := range c.Entries {
		all = append(all, e.Process)
	}
	for _, t := range c.Targets {
		all = append(all, t.Process)
	}
	all = append(all, c.StandIns)
	var started []*Process
	for _, p := range all {
		if p != nil {
			started = append(started, p)
		}
	}
	return started
}

// Close kills every process, closes every relay and releases the network of the cluster.
func (c *Cluster) Close() {
	for _, p := range c.Processes() {
		if p.Running() {
			p.Kill()
		}
	}
	c.relays.close()
	c.network.Release()
}
