package dispatch

import (
	"math/rand/v2"
	"sort"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/fairshare"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/zone/balancer"
	"mimosastand.example/mimosastand/zone/hostlist"
)

func (m *StateMachine) applySettings(view settings.View) {
	if m.view != nil && view.Offset() < m.view.Offset() {
		m.count(CountIgnored, contract.ReasonStaleSettings)
		return
	}
	m.view = view
	m.rebuild()
	m.scheduleAllQueues()
}

func (m *StateMachine) applyHosts(list hostlist.List) {
	if m.hasHosts && list.Version < m.hosts.Version {
		m.count(CountIgnored, contract.ReasonStaleSettings)
		return
	}
	m.hosts = list
	m.hasHosts = true
	m.rebuild()
	m.scheduleAllQueues()
}

// rebuild updates the services, pools and peers to the current settings and hosts.
func (m *StateMachine) rebuild() {
	if m.view == nil || !m.hasHosts {
		return
	}
	entries, targets := m.splitHosts()
	for _, name := range m.view.Services() {
		m.ensureService(name)
	}
	for name := range targets {
		m.ensureService(name)
	}
	m.serviceOf = map[contract.MachineID]*service{}
	m.addresses = map[contract.MachineID]string{}
	for _, s := range m.sortedServices {
		m.rebuildService(s, entries, targets[s.name])
	}
	m.emitPeers()
}

// splitHosts divides the host list into the entries and the targets of each service.
func (m *StateMachine) splitHosts() (entries []balancer.Entry, targets map[contract.ServiceName][]hostlist.Host) {
	targets = map[contract.ServiceName][]hostlist.Host{}
	for _, h := range m.hosts.Hosts {
		place := balancer.Place{Region: h.Region, Zone: h.Zone}
		switch h.Role {
		case hostlist.Entry:
			entries = append(entries, balancer.Entry{Machine: h.Machine, Place: place})
		case hostlist.Target:
			targets[h.Service] = append(targets[h.Service], h)
		}
	}
	return entries, targets
}

func (m *StateMachine) ensureService(name contract.ServiceName) *service {
	if s, ok := m.services[name]; ok {
		return s
	}
	rng := rand.New(rand.NewPCG(m.rng.Uint64(), m.rng.Uint64()))
	s := &service{
		name:  name,
		pool:  balancer.NewPool(m.cfg.Home, rng),
		queue: fairshare.NewQueue(defaultQueueLength),
		usage: fairshare.NewUsage(),
	}
	m.services[name] = s
	m.sortedServices = append(m.sortedServices, s)
	sort.Slice(m.sortedServices, func(i, j int) bool { return m.sortedServices[i].name < m.sortedServices[j].name })
	return s
}

func (m *StateMachine) rebuildService(s *service, entries []balancer.Entry, hosts []hostlist.Host) {
	home := m.cfg.Home
	s.settings, s.isConfigured = m.view.Service(home.Region, home.Zone, s.name)
	if s.settings.QueueLength > 0 {
		s.queue.SetLimit(s.settings.QueueLength)
	}
	members := m.poolMembers(hosts)
	self := balancer.Entry{Machine: m.cfg.Machine, Place: home}
	members = balancer.Subset(self, entries, members)
	s.pool.SetMembers(m.now, members)
	s.pool.SetEntryCount(countEntries(entries, home.Region))
	s.pool.SetRules(m.now, m.poolRules(s, members), s.settings.Spill)
	for _, member := range members {
		m.serviceOf[member.Machine] = s
		if m.linked[member.Machine] {
			s.pool.LinkUp(m.now, member.Machine, false)
		}
	}
	for _, h := range hosts {
		if m.serviceOf[h.Machine] == s {
			m.addresses[h.Machine] = h.Address
		}
	}
}

func countEntries(entries []balancer.Entry, region contract.RegionName) int {
	n := 0
	for _, e := range entries {
		if e.Place.Region == region {
			n++
		}
	}
	return n
}

func (m *StateMachine) poolMembers(hosts []hostlist.Host) []balancer.Member {
	list := make([]balancer.Member, 0, len(hosts))
	for _, h := range hosts {
		list = append(list, balancer.Member{
			Machine: h.Machine,
			Place:   balancer.Place{Region: h.Region, Zone: h.Zone},
			Leaving: h.State == hostlist.Leaving,
		})
	}
	return list
}

// poolRules returns the rules of a service in each place that has members.
func (m *StateMachine) poolRules(s *service, members []balancer.Member) map[balancer.Place]balancer.Rules {
	rules := map[balancer.Place]balancer.Rules{}
	for _, member := range members {
		place := member.Place
		if _, ok := rules[place]; ok {
			continue
		}
		local, _ := m.view.Service(place.Region, place.Zone, s.name)
		rules[place] = balancer.Rules{
			Evacuated: m.view.Zone(place.Region, place.Zone).Out,
			ColdLimit: local.ColdRunning,
			SlowStart: local.SlowStart,
			Weights:   local.Weights,
			Previous:  local.Former,
		}
	}
	return rules
}

// emitPeers requests links to all listed targets and to those with open attempts.
func (m *StateMachine) emitPeers() {
	all := map[contract.MachineID]string{}
	for id, address := range m.retainedAddresses {
		all[id] = address
	}
	for id, address := range m.addresses {
		all[id] = address
	}
	peers := make([]Peer, 0, len(all))
	for id, address := range all {
		peers = append(peers, Peer{Machine: id, Address: address})
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Machine < peers[j].Machine })
	m.emit(SetPeers{Peers: peers})
}

func (m *StateMachine) handleLinkUp(id contract.MachineID) {
	m.linked[id] = true
	returning := m.linkedBefore[id]
	m.linkedBefore[id] = true
	if s, ok := m.serviceOf[id]; ok {
		s.pool.LinkUp(m.now, id, returning)
		m.scheduleQueue(s)
	}
}

func (m *StateMachine) handleLinkDown(ev LinkDown) {
	delete(m.linked, ev.Machine)
	s, ok := m.serviceOf[ev.Machine]
	if !ok {
		return
	}
	s.pool.LinkDown(m.now, ev.Machine)
	m.scheduleQueue(s)
}

// handleHeartbeat records the load that a target reported.
func (m *StateMachine) handleHeartbeat(hb contract.Heartbeat) {
	s, ok := m.serviceOf[hb.Machine]
	if !ok {
		m.count(CountIgnored, contract.ReasonNoTarget)
		return
	}
	if hb.Load == nil {
		return
	}
	m.countDroppedReport(s.pool.Report(m.now, hb.Machine, hb.Incarnation, *hb.Load))
	m.scheduleQueue(s)
}
