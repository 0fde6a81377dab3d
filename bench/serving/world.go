package serving

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mimosastand.example/mimosastand/bench/serving/fake"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/simulation"
	"mimosastand.example/mimosastand/machine/entry/dispatch"
	"mimosastand.example/mimosastand/zone/balancer"
	"mimosastand.example/mimosastand/zone/hostlist"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Times of the links and of what spreads over them.
const (
	heartbeat   = time.Second
	silentAfter = 3 * time.Second
	redialTime  = 20 * time.Millisecond
	// settingsLag bounds how late a process learns of a change of settings.
	settingsLag = 2 * time.Second
)

// policy is what runs on an entry host.
type policy interface {
	Step(now time.Time, ev dispatch.Event, effects []dispatch.Effect) []dispatch.Effect
	Wake() (time.Time, bool)
}

// target is a fake target and where it runs.
type target struct {
	*fake.Target
	place   balancer.Place
	service contract.ServiceName
	wake    time.Time
	gone    bool
}

// host is an entry host.
type host struct {
	index  int
	place  balancer.Place
	policy policy
	wake   time.Time
	// silent holds the targets to which the connection carries nothing.
	silent map[contract.MachineID]bool
	// open holds the target of each exchange.
	open map[uint64]contract.MachineID
	// peers is the number of targets that the entry keeps links to.
	peers   int
	effects []dispatch.Effect
	busy    bool
	pending []dispatch.Event
}

type route struct {
	host     *host
	exchange uint64
}

// world is one run.
type world struct {
	size    size
	rng     *rand.Rand
	queue   simulation.Queue
	hosts   []*host
	targets map[contract.MachineID]*target
	order   []*target
	follows map[contract.AttemptID]route
	offset  contract.Offset
	version uint64
	out     map[contract.ZoneName]bool
	result  *result
	calls   map[contract.RequestID]*call
}

func newWorld(s size, seed uint64, gate bool, make func(dispatch.Config, *rand.Rand) policy) *world {
	w := &world{
		size: s, rng: rand.New(rand.NewPCG(seed, 11)),
		targets: map[contract.MachineID]*target{}, follows: map[contract.AttemptID]route{},
		out: map[contract.ZoneName]bool{}, result: newResult(), calls: map[contract.RequestID]*call{},
	}
	w.addTargets("engine", s.model, s.engines, gate)
	w.addTargets("plain", s.plain, s.plains, gate)
	w.addTargets("single", s.single, 1, gate)
	for i := range s.entries {
		place := s.zones[i%len(s.zones)]
		cfg := dispatch.Config{Machine: contract.MachineID(fmt.Sprintf("entry-%d", i)), Home: place}
		h := &host{index: i, place: place, silent: map[contract.MachineID]bool{}, open: map[uint64]contract.MachineID{}}
		h.policy = make(cfg, rand.New(rand.NewPCG(seed, uint64(i))))
		w.hosts = append(w.hosts, h)
	}
	w.begin()
	return w
}

func (w *world) addTargets(prefix string, service contract.ServiceName, n int, gate bool) {
	for i := range n {
		c := fake.Config{
			Machine: contract.MachineID(fmt.Sprintf("%s-%02d", prefix, i)), Warm: plainWarm, Cold: engineCold,
			ColdFor: coldFor, SlowStart: slowStart, First: plainTime, NoGate: !gate,
		}
		if service == w.size.model {
			c.Model, c.Digest, c.Warm, c.First, c.Gap = true, weights, engineWarm, firstToken, tokenGap
		}
		t := &target{Target: fake.New(w.now().Add(-time.Hour), c), place: w.size.zones[i%len(w.size.zones)], service: service}
		w.targets[c.Machine] = t
		w.order = append(w.order, t)
	}
}

// begin gives all entries settings, hosts and links, and starts heartbeats.
func (w *world) begin() {
	w.offset++
	w.publishHosts()
	for _, h := range w.hosts {
		w.step(h, dispatch.SettingsChanged{View: w.size.view(w.offset, w.out)})
		for _, t := range w.order {
			w.step(h, dispatch.LinkUp{Machine: t.Machine})
		}
	}
	for _, t := range w.order {
		w.beat(t)
	}
}

func (w *world) publishHosts() {
	w.version++
	list := hostlist.List{Version: w.version}
	for _, h := range w.hosts {
		list.Hosts = append(list.Hosts, hostlist.Host{
			Machine: contract.MachineID(fmt.Sprintf("entry-%d", h.index)), Role: hostlist.Entry,
			Zone: h.place.Zone, Region: h.place.Region, State: hostlist.Live,
		})
	}
	for _, t := range w.order {
		if !t.gone {
			list.Hosts = append(list.Hosts, hostlist.Host{
				Machine: t.Machine, Role: hostlist.Target, Zone: t.place.Zone, Region: t.place.Region,
				Service: t.service, Address: string(t.Machine), State: hostlist.Live,
			})
		}
	}
	for _, h := range w.hosts {
		w.step(h, dispatch.HostsChanged{List: list})
	}
}

func (w *world) now() time.Time { return epoch.Add(w.queue.Now()) }

// delay is the one-way time between an entry and a target.
func (w *world) delay(h *host, t *target) time.Duration {
	if h.place == t.place {
		return inZoneDelay
	}
	return w.size.betweenZones
}

// beat sends a target's heartbeat to all entries, and again after an interval.
func (w *world) beat(t *target) {
	for _, h := range w.hosts {
		if t.Down() || h.silent[t.Machine] {
			continue
		}
		load := t.Load(w.now(), machineOf(h))
		hb := contract.Heartbeat{Machine: t.Machine, Incarnation: t.Incarnation(), Load: &load}
		w.queue.After(w.delay(h, t), func() { w.step(h, dispatch.Heartbeat{Heartbeat: hb}) })
	}
	w.queue.After(heartbeat, func() { w.beat(t) })
}

func machineOf(h *host) contract.MachineID {
	return contract.MachineID(fmt.Sprintf("entry-%d", h.index))
}

// step passes an event to an entry; events that its own effects cause wait
// until the step is over.
func (w *world) step(h *host, ev dispatch.Event) {
	h.pending = append(h.pending, ev)
	if h.busy {
		return
	}
	h.busy = true
	for len(h.pending) > 0 {
		next := h.pending[0]
		h.pending = h.pending[1:]
		h.effects = h.policy.Step(w.now(), next, h.effects[:0])
		for _, e := range h.effects {
			w.apply(h, e)
		}
	}
	h.busy = false
	w.schedule(h)
}

func (w *world) schedule(h *host) {
	at, ok := h.policy.Wake()
	if !ok || !h.wake.IsZero() && !at.Before(h.wake) {
		return
	}
	h.wake = at
	w.queue.After(max(0, at.Sub(w.now())), func() {
		if !h.wake.Equal(at) {
			return
		}
		h.wake = time.Time{}
		w.step(h, dispatch.Tick{})
	})
}
