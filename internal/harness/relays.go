package harness

import (
	"net"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/relay"
)

// relays holds the relays between the processes of a system.
type relays struct {
	links    []linkRelay
	platform []platformRelay
}

// linkRelay is the relay to the link of a host in a zone.
type linkRelay struct {
	zoneIP string
	relay  *relay.UDP
}

// platformRelay is the relay from a zone to one service of the platform.
type platformRelay struct {
	zoneIP string
	relay  *relay.TCP
}

func (r *relays) close() {
	for _, l := range r.links {
		l.relay.Close()
	}
	for _, s := range r.platform {
		s.relay.Close()
	}
}

// advertiseLink returns the address at which other processes reach the link of a host that
// listens at address. It starts a relay in front of it if the spec has relays.
func (c *Cluster) advertiseLink(zoneNumber int, address string) (string, error) {
	if !c.Spec.UseRelays {
		return address, nil
	}
	r, err := relay.NewUDP(c.network.NextAddress(zoneNumber), address)
	if err != nil {
		return "", err
	}
	c.relays.links = append(c.relays.links, linkRelay{zoneIP: ipOf(address), relay: r})
	return r.Address(), nil
}

// zonePlatformSection returns the section with the addresses at which the processes of a zone
// reach the platform. It starts the relays in front of the platform if the spec has relays.
func (c *Cluster) zonePlatformSection(zoneNumber int, zone Zone) (section, error) {
	addresses := map[string]string{
		"log": c.LogAddress, "store": c.StoreAddress, "origin": c.OriginAddress, "hosts": c.HostsAddress,
	}
	if !c.Spec.UseRelays {
		return platformSection(addresses), nil
	}
	for name, address := range addresses {
		r, err := relay.NewTCP(c.network.NextAddress(zoneNumber), address)
		if err != nil {
			return section{}, err
		}
		c.relays.platform = append(c.relays.platform, platformRelay{zoneIP: ipOf(r.Address()), relay: r})
		addresses[name] = r.Address()
	}
	return platformSection(addresses), nil
}

// SilenceLinks makes all open connections between hosts silent for good; new connections
// work. It returns how many connections have been made silent so far.
func (c *Cluster) SilenceLinks() int {
	silent := 0
	for _, l := range c.relays.links {
		l.relay.ForgetClients()
		silent += l.relay.ForgottenCount()
	}
	return silent
}

// CutZone cuts a zone off from the platform and from all other zones.
func (c *Cluster) CutZone(zone contract.ZoneName) {
	c.setZoneCut(zone, true)
}

// HealZone ends the cut of CutZone.
func (c *Cluster) HealZone(zone contract.ZoneName) {
	c.setZoneCut(zone, false)
}

func (c *Cluster) setZoneCut(zone contract.ZoneName, cut bool) {
	ip := c.zoneIP(zone)
	for _, s := range c.relays.platform {
		if s.zoneIP == ip {
			s.relay.SetCut(cut)
		}
	}
	for _, l := range c.relays.links {
		l.relay.SetDropFunc(func(client string) bool {
			return cut && (client == ip) != (l.zoneIP == ip)
		})
	}
}

// zoneIP returns the IP address of a zone that has an entry, and "" for any other.
func (c *Cluster) zoneIP(zone contract.ZoneName) string {
	for _, e := range c.Entries {
		if e.Zone.Name == zone {
			return ipOf(e.Link)
		}
	}
	return ""
}

func ipOf(address string) string {
	ip, _, _ := net.SplitHostPort(address)
	return ip
}
