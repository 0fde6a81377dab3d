package harness

import (
	"net"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/relay"
)

// paths holds the relays between the processes of a system.
type paths struct {
	links    []linkPath
	platform []platformPath
}

// linkPath leads to the link of a host in a zone.
type linkPath struct {
	zone  string
	relay *relay.UDP
}

// platformPath leads from a zone to one service of the platform.
type platformPath struct {
	zone  string
	relay *relay.TCP
}

func (p *paths) close() {
	for _, l := range p.links {
		l.relay.Close()
	}
	for _, s := range p.platform {
		s.relay.Close()
	}
}

// openLink returns where others reach a host of zone at that listens at address.
func (c *Cluster) openLink(at int, address string) (string, error) {
	if !c.Spec.Relays {
		return address, nil
	}
	r, err := relay.NewUDP(c.network.next(at), address)
	if err != nil {
		return "", err
	}
	c.paths.links = append(c.paths.links, linkPath{zone: host(address), relay: r})
	return r.Address(), nil
}

// openPlatform returns the section that tells the processes of zone at where
// the platform is.
func (c *Cluster) openPlatform(at int, zone Zone) (section, error) {
	addresses := map[string]string{
		"log": c.LogAddress, "store": c.StoreAddress, "origin": c.OriginAddress, "hosts": c.HostsAddress,
	}
	if !c.Spec.Relays {
		return platformSection(addresses), nil
	}
	for name, address := range addresses {
		r, err := relay.NewTCP(c.network.next(at), address)
		if err != nil {
			return section{}, err
		}
		c.paths.platform = append(c.paths.platform, platformPath{zone: host(r.Address()), relay: r})
		addresses[name] = r.Address()
	}
	return platformSection(addresses), nil
}

// Silence makes all open connections between hosts silent for good; new ones
// work. It returns how many it made silent.
func (c *Cluster) SilenceLinks() int {
	silent := 0
	for _, l := range c.paths.links {
		l.relay.ForgetClients()
		silent += l.relay.ForgottenCount()
	}
	return silent
}

// CutZone cuts a zone off from the platform and from all other zones.
func (c *Cluster) CutZone(zone contract.ZoneName) {
	c.setCut(zone, true)
}

// HealZone ends the cut of a zone.
func (c *Cluster) HealZone(zone contract.ZoneName) {
	c.setCut(zone, false)
}

func (c *Cluster) setCut(zone contract.ZoneName, cut bool) {
	inside := c.hostOf(zone)
	for _, s := range c.paths.platform {
		if s.zone == inside {
			s.relay.SetCut(cut)
		}
	}
	for _, l := range c.paths.links {
		l.relay.SetDropFunc(func(client string) bool {
			return cut && (client == inside) != (l.zone == inside)
		})
	}
}

// hostOf returns the IP address of a zone.
func (c *Cluster) hostOf(zone contract.ZoneName) string {
	for _, e := range c.Entries {
		if e.Zone.Name == zone {
			return host(e.Link)
		}
	}
	return ""
}

func host(address string) string {
	ip, _, _ := net.SplitHostPort(address)
	return ip
}
