package direct

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/platform"
)

const (
	// operatorReaders is how many entries of a zone wait at the store for what operators
	// write. Their neighbours learn from them and ask only for the store's end,
	// followPause apart; what they lack they read by themselves after followHead or so.
	operatorReaders = 2
	followPause     = 1500 * time.Millisecond
	followHead      = 600 * time.Millisecond
	// maxPulls is how many peers the entry tells what operators write at a time: those
	// that have it tell the others, so that it does not all pass its own link.
	maxPulls = 3
	// serveTimeout bounds telling a peer: one that has fallen silent keeps no place.
	serveTimeout = 8 * time.Second
)

// follows reports whether this entry leaves reading what operators write to its
// neighbours.
func (e *Entry) follows() bool {
	return e.operators.HasSynced() && e.peers.RankInZone() >= operatorReaders
}

// operatorsPause is the time until what operators write is read again.
func (e *Entry) operatorsPause() time.Duration {
	if e.follows() {
		return followPause
	}
	return 0
}

// operatorsDefer is how long the neighbours are left to tell what operators write.
func (e *Entry) operatorsDefer() time.Duration {
	if e.follows() {
		return followHead
	}
	return 0
}

// operatorsTold takes in how much a peer knows of what operators write.
func (e *Entry) operatorsTold(hb contract.Heartbeat) {
	newest := int64(hb.Settings) - 1
	if hb.Zone == e.process.Zone || e.peers.IsAloneInZone() {
		e.catchup.ObservePeerOffset(hb.Machine, newest)
		return
	}
	e.catchup.ObserveRemotePeerOffset(hb.Machine, newest)
}

// serveRecords tells a peer what the entry knows of a topic.
func (e *Entry) serveRecords(pull contract.RecordsPull, s *link.Stream) {
	records, done, ok := e.recordsFor(pull)
	defer done()
	if !ok {
		e.log.WithField("topic", pull.Topic).Warn("peer asked for an unknown topic")
		return
	}
	_ = s.SetWriteDeadline(time.Now().Add(serveTimeout))
	if err := s.Send(contract.Message{Kind: contract.KindRecords, Records: &records}); err != nil {
		e.log.WithError(err).WithField("topic", pull.Topic).Warn("peer not told")
	}
}

// recordsFor is the answer to a peer, and done is to be called once it has been sent; ok
// is false if the topic is unknown.
func (e *Entry) recordsFor(pull contract.RecordsPull) (records contract.Records, done func(), ok bool) {
	done = func() {}
	switch pull.Topic {
	case platform.TopicTargets:
		return e.targets.RecordsAfter(pull.After), done, true
	case platform.TopicOperators:
	default:
		return contract.Records{}, done, false
	}
	select {
	case e.pulls <- struct{}{}:
		return e.operators.RecordsAfter(pull.After), func() { <-e.pulls }, true
	default:
		return contract.Records{Topic: pull.Topic, Busy: true}, done, true
	}
}

// operatorsChanged takes in what operators have written.
func (e *Entry) operatorsChanged(news feed.Update) {
	e.world.operatorsChanged(news)
	if m := e.world.current(); m != nil {
		e.depot.SetOrigin(m.Origin())
	}
	e.peers.SendHeartbeats()
}
