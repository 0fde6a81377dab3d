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
	manifestRetryDelay    = 200 * time.Millisecond
	maxManifestRetryDelay = 10 * time.Second
	manifestTimeout       = 10 * time.Second
	// peerAttempts is how often in a row a target that holds no slot requests a manifest
	// from peers before it requests it from the origin.
	peerAttempts = 4
)

// SetDesiredVersions replaces the desired versions.
func (a *Agent) SetDesiredVersions(versions []DesiredVersion) {
	versions = slices.Clone(versions)
	slices.SortStableFunc(versions, func(x, y DesiredVersion) int { return cmp.Compare(y.Priority, x.Priority) })
	a.post(func() { a.applyDesiredVersions(versions) })
}

// applyDesiredVersions stops the work on versions that are no longer needed and starts
// the work on the new ones.
func (a *Agent) applyDesiredVersions(versions []DesiredVersion) {
	a.desired, a.stopped = versions, false
	retained := map[contract.Digest]bool{}
	for _, w := range versions {
		retained[w.Weights], retained[w.Former] = true, true
	}
	for _, d := range a.sortedVersions() {
		if !retained[d] {
			a.dropVersion(d)
		}
	}
	for _, w := range versions {
		if w.Weights.Valid() {
			a.startVersion(w.Weights, w.Priority)
		}
	}
	a.updatePlan()
}

func (a *Agent) sortedVersions() []contract.Digest {
	var out []contract.Digest
	for d := range a.versions {
		out = append(out, d)
	}
	slices.Sort(out)
	return out
}

// dropVersion stops the work on a version that is no longer needed and drops its chunks.
func (a *Agent) dropVersion(d contract.Digest) {
	a.versions[d].cancel()
	delete(a.versions, d)
	a.stepSwarm(swarm.Withdraw{Version: d})
	a.store.Drop(d)
}

// startVersion starts the work on a version, or changes its priority.
func (a *Agent) startVersion(d contract.Digest, priority int) {
	if a.versions[d] != nil {
		a.startDownload(d, priority)
		return
	}
	ctx, cancel := context.WithCancel(a.ctx)
	a.versions[d] = &versionTask{cancel: cancel}
	a.spawn(func() { a.fetchManifest(ctx, d, priority) })
}

// startDownload lets the swarm download a version, if its manifest is held and the peers
// are ready.
func (a *Agent) startDownload(d contract.Digest, priority int) {
	m, _ := a.store.Manifest(d)
	if m == nil || a.versions[d] == nil || !a.peersReady {
		return
	}
	a.stepSwarm(swarm.DesiredVersion{Version: d, Chunks: m.Chunks(), ChunkBytes: int(m.ChunkBytes), Priority: priority})
}

// updatePlan gives the activation and the roll-out the version to run and the members of
// the roll-out.
func (a *Agent) updatePlan() {
	i := slices.IndexFunc(a.desired, func(w DesiredVersion) bool { return !w.DownloadOnly && w.Weights.Valid() })
	if i < 0 {
		return
	}
	w := a.desired[i]
	if a.shouldUseFormer(w) {
		w.Weights, w.Former = w.Former, ""
		a.startVersion(w.Weights, w.Priority)
	}
	members := []contract.MachineID{a.opts.Machine}
	for _, p := range a.peers {
		if p.Zone == a.opts.Zone {
			members = append(members, p.Machine)
		}
	}
	a.desiredVersion.Store(&w.Weights)
	a.stepRollout(rollout.Plan{Version: w.Weights, MinReady: w.MinReady, MaxFailures: w.MaxFailures, Members: members})
	a.stepActivation(activation.DeploymentChanged{Deployment: activation.Deployment{
		Version: w.Weights, Former: w.Former, Adapters: w.Adapters, Role: w.Role,
	}})
}

// shouldUseFormer reports whether the former version is to run: the roll-out has stopped
// for failures, and the engine runs nothing or the former version already.
func (a *Agent) shouldUseFormer(w DesiredVersion) bool {
	active := a.status.Load().Active
	return a.stopped && w.Former.Valid() && (active == "" || active == w.Former)
}

// refreshPeers applies the newest list of the targets of the own service.
func (a *Agent) refreshPeers() {
	a.peersAt = a.now() + peersInterval
	if !a.peersReady {
		a.peersAt = a.now() + firstPeersInterval
	}
	if a.opts.Peers == nil {
		a.startDownloads()
		return
	}
	known := a.opts.Peers.Known() || a.now() > peersGrace
	defer func() {
		if known {
			a.startDownloads()
		}
	}()
	list := slices.DeleteFunc(a.opts.Peers.List(), func(p Peer) bool { return p.Service != a.opts.Service })
	slices.SortFunc(list, func(x, y Peer) int { return cmp.Compare(x.Machine, y.Machine) })
	if slices.Equal(list, a.peers) {
		return
	}
	a.peers = list
	var peers []swarm.Peer
	remoteRegions := map[contract.MachineID]contract.RegionName{}
	for _, p := range list {
		if p.Region != a.opts.Region {
			remoteRegions[p.Machine] = p.Region
		}
		peers = append(peers, swarm.Peer{Machine: p.Machine, Zone: p.Zone, Region: p.Region})
	}
	a.remoteRegions.Store(&remoteRegions)
	a.stepSwarm(swarm.PeersChanged{Peers: peers})
	a.updatePlan()
}

// startDownloads starts the downloads once the other targets are known. Without them
// every target would regard itself as the holder of every slot and download the complete
// version from the origin.
func (a *Agent) startDownloads() {
	if a.peersReady {
		return
	}
	a.peersReady = true
	for _, w := range a.desired {
		a.startDownload(w.Weights, w.Priority)
	}
}

// fetchManifest requests a version's manifest from peers and the origin until it succeeds
// or ctx ends.
func (a *Agent) fetchManifest(ctx context.Context, d contract.Digest, priority int) {
	delay := manifestRetryDelay
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if a.attemptManifest(ctx, d, attempt) {
			a.post(func() { a.startDownload(d, priority) })
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay + time.Duration(rand.Int64N(int64(delay)))):
		}
		delay = min(2*delay, maxManifestRetryDelay)
	}
}

// attemptManifest requests a manifest from one source and stores it if it is valid. It
// reports whether it was stored.
func (a *Agent) attemptManifest(ctx context.Context, d contract.Digest, attempt int) bool {
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	encoded, err := a.requestManifest(ctx, d, attempt)
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

// requestManifest requests a manifest from a peer or the origin. Targets without a slot
// request it from peers more often, so that the origin serves it to few.
func (a *Agent) requestManifest(ctx context.Context, d contract.Digest, attempt int) ([]byte, error) {
	holders := a.slotHolders(d)
	fromPeer := attempt%(peerAttempts+1) != peerAttempts
	if slices.Contains(holders, a.opts.Machine) {
		fromPeer = attempt%2 == 1
	}
	others := slices.DeleteFunc(holders, func(m contract.MachineID) bool { return m == a.opts.Machine })
	if !fromPeer || len(others) == 0 {
		return a.getObject(ctx, durable.ManifestPrefix+string(d))
	}
	peer := others[rand.IntN(len(others))]
	reply, err := a.opts.Peers.RequestChunk(ctx, peer, contract.ChunkRequest{Weights: d, Index: ManifestIndex})
	return reply.Data, err
}

// slotHolders returns the targets of the own region that hold a version's slots.
func (a *Agent) slotHolders(d contract.Digest) []contract.MachineID {
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

// getObject reads an object from the origin, or from the store if the origin fails.
func (a *Agent) getObject(ctx context.Context, name string) ([]byte, error) {
	data, err := a.opts.Origin.Get(ctx, name)
	if err == nil || a.opts.Store == nil || ctx.Err() != nil {
		return data, err
	}
	return a.opts.Store.Get(ctx, name)
}
