package agent

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/durable"
	"mimosastand.example/mimosastand/weights/activation"
	"mimosastand.example/mimosastand/weights/rollout"
	"mimosastand.example/mimosastand/weights/swarm"
)

const (
	manifestRetry    = 200 * time.Millisecond
	maxManifestRetry = 10 * time.Second
	manifestTimeout  = 10 * time.Second
	// peerTries is how often in a row peers are asked for a manifest before the
	// origin is, by a target that holds no slot.
	peerTries = 4
)

// SetDesiredVersions replaces the desired versions.
func (a *Agent) SetDesiredVersions(wanted []DesiredVersion) {
	wanted = slices.Clone(wanted)
	slices.SortStableFunc(wanted, func(x, y DesiredVersion) int { return cmp.Compare(y.Priority, x.Priority) })
	a.post(func() { a.setWanted(wanted) })
}

func (a *Agent) setWanted(wanted []DesiredVersion) {
	a.wanted, a.stopped = wanted, false
	keep := map[contract.Digest]bool{}
	for _, w := range wanted {
		keep[w.Weights], keep[w.Former] = true, true
	}
	for _, d := range a.sortedVersions() {
		if !keep[d] {
			a.forget(d)
		}
	}
	for _, w := range wanted {
		if w.Weights.Valid() {
			a.begin(w.Weights, w.Priority)
		}
	}
	a.plan()
}

func (a *Agent) sortedVersions() []contract.Digest {
	var out []contract.Digest
	for d := range a.versions {
		out = append(out, d)
	}
	slices.Sort(out)
	return out
}

// forget stops the work on a version that is not wanted any more.
func (a *Agent) forget(d contract.Digest) {
	a.versions[d].cancel()
	delete(a.versions, d)
	a.stepSwarm(swarm.Withdraw{Version: d})
	a.store.Drop(d)
}

// begin starts the work on a version, or changes its priority.
func (a *Agent) begin(d contract.Digest, priority int) {
	if a.versions[d] != nil {
		a.draw(d, priority)
		return
	}
	ctx, cancel := context.WithCancel(a.ctx)
	a.versions[d] = &versionTask{cancel: cancel}
	a.spawn(func() { a.fetchManifest(ctx, d, priority) })
}

// draw tells the swarm of a version whose manifest is here.
func (a *Agent) draw(d contract.Digest, priority int) {
	m, _ := a.store.Manifest(d)
	if m == nil || a.versions[d] == nil || !a.placed {
		return
	}
	a.stepSwarm(swarm.Want{Version: d, Chunks: m.Chunks(), ChunkBytes: int(m.ChunkBytes), Priority: priority})
}

// plan tells orders and roll-out what is to run, and among whom.
func (a *Agent) plan() {
	i := slices.IndexFunc(a.wanted, func(w DesiredVersion) bool { return !w.DownloadOnly && w.Weights.Valid() })
	if i < 0 {
		return
	}
	w := a.wanted[i]
	if a.useFormer(w) {
		w.Weights, w.Former = w.Former, ""
		a.begin(w.Weights, w.Priority)
	}
	members := []contract.MachineID{a.opts.Machine}
	for _, p := range a.peers {
		if p.Zone == a.opts.Zone {
			members = append(members, p.Machine)
		}
	}
	a.target.Store(&w.Weights)
	a.stepRollout(rollout.Plan{Version: w.Weights, MinReady: w.MinReady, MaxFailures: w.MaxFailures, Members: members})
	a.stepOrders(activation.DeploymentChanged{Deployment: activation.Deployment{
		Version: w.Weights, Former: w.Former, Adapters: w.Adapters, Role: w.Role,
	}})
}

// useFormer reports whether the former version is to run: the roll-out has
// stopped for failures and the engine has nothing to serve meanwhile.
func (a *Agent) useFormer(w DesiredVersion) bool {
	active := a.status.Load().Active
	return a.stopped && w.Former.Valid() && (active == "" || active == w.Former)
}

// refreshPeers takes the newest list of targets of the own service.
func (a *Agent) refreshPeers() {
	a.peersAt = a.now() + peersInterval
	if !a.placed {
		a.peersAt = a.now() + firstPeersInterval
	}
	if a.opts.Peers == nil {
		a.place()
		return
	}
	known := a.opts.Peers.Known() || a.now() > peersGrace
	defer func() {
		if known {
			a.place()
		}
	}()
	list := slices.DeleteFunc(a.opts.Peers.List(), func(p Peer) bool { return p.Service != a.opts.Service })
	slices.SortFunc(list, func(x, y Peer) int { return cmp.Compare(x.Machine, y.Machine) })
	if slices.Equal(list, a.peers) {
		return
	}
	a.peers = list
	var peers []swarm.Peer
	abroad := map[contract.MachineID]contract.RegionName{}
	for _, p := range list {
		if p.Region != a.opts.Region {
			abroad[p.Machine] = p.Region
		}
		peers = append(peers, swarm.Peer{Machine: p.Machine, Zone: p.Zone, Region: p.Region})
	}
	a.abroad.Store(&abroad)
	a.stepSwarm(swarm.PeersChanged{Peers: peers})
	a.plan()
}

// place lets the drawing begin, once the other targets are known: without them
// every target would take itself for the holder of every slot, and draw the
// whole version from the origin.
func (a *Agent) place() {
	if a.placed {
		return
	}
	a.placed = true
	for _, w := range a.wanted {
		a.draw(w.Weights, w.Priority)
	}
}

// fetchManifest gets a version's manifest from peers or the origin, however
// long that takes.
func (a *Agent) fetchManifest(ctx context.Context, d contract.Digest, priority int) {
	wait := manifestRetry
	for try := 0; ctx.Err() == nil; try++ {
		if a.tryManifest(ctx, d, try) {
			a.post(func() { a.draw(d, priority) })
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait + time.Duration(rand.Int64N(int64(wait)))):
		}
		wait = min(2*wait, maxManifestRetry)
	}
}

// tryManifest asks one source for a manifest and keeps it if it is the right one.
func (a *Agent) tryManifest(ctx context.Context, d contract.Digest, try int) bool {
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	encoded, err := a.getManifest(ctx, d, try)
	if err != nil || len(encoded) == 0 {
		a.count("manifest_unavailable")
		return false
	}
	if _, err := a.store.AddVersion(d, encoded); err != nil {
		a.count("manifest_refused")
		a.opts.Logger.WithError(err).Warn("manifest refused")
		return false
	}
	return true
}

// getManifest asks a peer or the origin: targets without a slot ask peers more
// often, so that the origin gives the manifest to few.
func (a *Agent) getManifest(ctx context.Context, d contract.Digest, try int) ([]byte, error) {
	holders := a.holders(d)
	fromPeer := try%(peerTries+1) != peerTries
	if slices.Contains(holders, a.opts.Machine) {
		fromPeer = try%2 == 1
	}
	others := slices.DeleteFunc(holders, func(m contract.MachineID) bool { return m == a.opts.Machine })
	if !fromPeer || len(others) == 0 {
		return a.get(ctx, durable.ManifestPrefix+string(d))
	}
	peer := others[rand.IntN(len(others))]
	reply, err := a.opts.Peers.RequestChunk(ctx, peer, contract.ChunkRequest{Weights: d, Index: ManifestIndex})
	return reply.Data, err
}

// holders names the targets of the own region that draw a version's slots.
func (a *Agent) holders(d contract.Digest) []contract.MachineID {
	targets := []contract.MachineID{a.opts.Machine}
	if a.opts.Peers != nil {
		for _, p := range a.opts.Peers.List() {
			if p.Region == a.opts.Region && p.Service == a.opts.Service {
				targets = append(targets, p.Machine)
			}
		}
	}
	slices.Sort(targets)
	return slices.Compact(slices.Sorted(slices.Values(swarm.SlotHolders(d, swarm.DefaultSlots, targets))))
}

// get reads an object from the origin, and from the store if the origin fails.
func (a *Agent) get(ctx context.Context, name string) ([]byte, error) {
	data, err := a.opts.Origin.Get(ctx, name)
	if err == nil || a.opts.Store == nil || ctx.Err() != nil {
		return data, err
	}
	return a.opts.Store.Get(ctx, name)
}
