package direct

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/machine/peers"
	"mimosastand.example/mimosastand/platform"
)

const (
	// operatorReadersPerZone is how many entries of a zone wait at the store for
	// operators' records. The other entries of the zone receive the records from them.
	// One that has to ask the store itself asks for the end of the topic, and reads missing
	// records after about operatorsFollowerGracePeriod.
	operatorReadersPerZone       = 2
	operatorsFollowerGracePeriod = 600 * time.Millisecond
	// linkPeriod is the time after an entry has first read the members during which it has no
	// links yet to the entries that precede it: it counts all of them as running.
	linkPeriod = 1500 * time.Millisecond
	// maxUnrankedZone is the number of entries of a zone up to which all of them read a large
	// manifest at their start at the same time. In a larger zone those of the first turn do so,
	// and those of each later turn startTurnInterval after the turn before, unless a peer has
	// sent it. maxMembersWait is how long an entry waits for the members that show its turn: a
	// process that cannot read them cannot read the manifest either.
	maxUnrankedZone   = 4
	startTurnInterval = 400 * time.Millisecond
	maxMembersWait    = 1500 * time.Millisecond
	// maxTransfers is how many peers the entry sends operators' records to at a time.
	// Peers that have the records pass them on, so that not all copies go over this
	// entry's link.
	maxTransfers = 3
	// transferTimeout bounds the transfer to one peer, so that a peer that has fallen
	// silent does not occupy a slot.
	transferTimeout = 8 * time.Second
)

// operatorsRank returns the place of this entry among those of its zone that bring operators'
// records into it.
func (e *Entry) operatorsRank() int {
	rank := e.peers.RankInZone()
	if !e.isLinking() {
		return rank
	}
	place, _, _ := e.peers.PlaceInZone()
	return max(rank, place)
}

// isLinking reports whether this entry has just started in a zone of many entries, and is not yet
// linked to those that it will be linked to. With small manifests that makes no difference: copies
// of them may cross the links between regions.
func (e *Entry) isLinking() bool {
	if e.operatorsFeed.HasSynced() && e.operatorsFeed.HeldBytes() < peers.LargeTopicBytes {
		return false
	}
	_, size, ok := e.peers.PlaceInZone()
	return !ok || size > maxUnrankedZone && time.Since(e.peers.MembersFirstReadAt()) < linkPeriod
}

// operatorsStartDelay returns how long after its start this entry leaves a large manifest to
// peers.
func (e *Entry) operatorsStartDelay() time.Duration {
	place, size, ok := e.peers.PlaceInZone()
	switch {
	case !ok:
		return maxMembersWait
	case size <= maxUnrankedZone:
		return 0
	default:
		return time.Duration(startTurn(place)) * startTurnInterval
	}
}

// mayProbeOperators reports whether this entry may read the beginning of the operators' records before its
// turn at its start: only in a small zone. When 18 entries of two zones started at the same time, the
// unread rest of a manifest of 430 KB that the store had sent each of them filled the links between
// regions for two seconds.
func (e *Entry) mayProbeOperators() bool {
	_, size, ok := e.peers.PlaceInZone()
	return ok && size <= maxUnrankedZone
}

// startTurn returns the turn of the entry at a place in its zone to read a large manifest at its
// start. The first turn is that of the entries that wait at the store later.
func startTurn(place int) int {
	return max(peers.TransferTurn(place)-peers.TransferTurn(operatorReadersPerZone-1), 0)
}

// isOperatorsFollower reports whether this entry leaves reading the operators' records to
// other entries of its zone.
func (e *Entry) isOperatorsFollower() bool {
	return e.operatorsFeed.HasSynced() && e.operatorsRank() >= operatorReadersPerZone
}

// operatorsReadInterval returns the time until the operators' records are read again.
func (e *Entry) operatorsReadInterval() time.Duration {
	if e.isOperatorsFollower() {
		return followerInterval
	}
	return 0
}

// operatorsTakeoverAge returns how old the store's confirmation of the operators' records must
// be for this entry to ask the store; 0 for the entries that wait there. One that is not linked yet
// does not learn what others know, and asks the store where the records end.
func (e *Entry) operatorsTakeoverAge() time.Duration {
	rank := e.operatorsRank()
	switch {
	case rank < operatorReadersPerZone:
		return 0
	case e.isLinking():
		return operatorsPollTimeout
	}
	return e.takeoverAge(operatorsPollTimeout, rank)
}

// operatorsPeerGracePeriod returns how long peers are given to deliver the operators' records
// once this entry has learned from the store that some are missing.
func (e *Entry) operatorsPeerGracePeriod() time.Duration {
	if !e.isOperatorsFollower() {
		return 0
	}
	return followerGracePeriod(e.operatorsRank(), e.operatorsFeed.HeldBytes())
}

// followerGracePeriod returns how long an entry with a rank in its zone leaves operators' records
// to peers. Entries take turns to read large ones.
func followerGracePeriod(rank, heldBytes int) time.Duration {
	if heldBytes < peers.LargeTopicBytes {
		return operatorsFollowerGracePeriod
	}
	turns := peers.TransferTurn(rank) - peers.TransferTurn(operatorReadersPerZone)
	return operatorsFollowerGracePeriod + time.Duration(max(turns, 0))*peers.TurnInterval
}

// operatorsLocalDelay returns how long the store is given to deliver operators' records that a
// peer of this entry's zone holds. It delivers them only to entries that wait there.
func (e *Entry) operatorsLocalDelay() time.Duration {
	if !e.operatorsFeed.HasSynced() || e.isOperatorsFollower() {
		return 0
	}
	return operatorsCatchupDelay
}

// operatorsRemoteDelay returns how long the store and the peers of this entry's zone are given to
// deliver operators' records that a peer of another zone holds. Until this entry holds any, they
// count as large.
func (e *Entry) operatorsRemoteDelay() time.Duration {
	bytes := peers.LargeTopicBytes
	if e.operatorsFeed.HasSynced() {
		bytes = e.operatorsFeed.HeldBytes()
	}
	return peers.RemotePullDelay(e.operatorsRank(), bytes)
}

// reportRemotePull logs and counts a pull of operators' records from an entry of another zone.
func (e *Entry) reportRemotePull(p peers.RemotePull) {
	e.meters.countRemotePull(string(p.Result))
	e.log.WithField("topic", platform.TopicOperators).WithField("peer", string(p.Peer)).WithField("result", string(p.Result)).
		WithField("ms", p.Took.Milliseconds()).Info("records pulled from another zone")
}

// observeOperators records how far a peer knows the operators' records.
func (e *Entry) observeOperators(hb contract.Heartbeat) {
	if hb.Zone == e.process.Zone || e.peers.IsAloneInZone() && !e.isLinking() {
		e.operatorsCatchup.ObservePeer(hb.Machine, hb.Operators)
		return
	}
	e.operatorsCatchup.ObserveRemotePeer(hb.Machine, hb.Operators)
}

// serveRecords sends a peer the records of a topic that it requested.
func (e *Entry) serveRecords(pull contract.RecordsPull, s *link.Stream) {
	records, done, ok := e.recordsAfter(pull)
	defer done()
	if !ok {
		e.log.WithField("topic", pull.Topic).Warn("peer requested unknown topic")
		return
	}
	records.Records = e.packer.Pack(pull, records.Records)
	_ = s.SetWriteDeadline(time.Now().Add(transferTimeout))
	if err := s.Send(contract.Message{Kind: contract.KindRecords, Records: &records}); err != nil {
		e.log.WithError(err).WithField("topic", pull.Topic).Warn("sending records to peer failed")
	}
}

// recordsAfter returns the response to a peer's request. The caller calls done once the
// response has been sent; ok is false if the topic is unknown.
func (e *Entry) recordsAfter(pull contract.RecordsPull) (records contract.Records, done func(), ok bool) {
	done = func() {}
	switch pull.Topic {
	case platform.TopicTargets:
		return e.targetsFeed.RecordsAfter(pull.After), done, true
	case platform.TopicOperators:
	default:
		return contract.Records{}, done, false
	}
	select {
	case e.transferSlots <- struct{}{}:
		return e.operatorsFeed.RecordsAfter(pull.After), func() { <-e.transferSlots }, true
	default:
		return contract.Records{Topic: pull.Topic, Busy: true}, done, true
	}
}

// applyOperatorRecords applies new operators' records and reports them to the peers at
// once.
func (e *Entry) applyOperatorRecords(update feed.Update) {
	e.fleet.applyOperatorRecords(update)
	if m := e.fleet.currentManifest(); m != nil {
		e.weightCache.SetOrigin(m.Origin())
	}
	e.peers.SendHeartbeats()
}
