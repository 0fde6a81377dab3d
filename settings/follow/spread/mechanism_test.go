package spread_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/settings/follow/spread"
)

// promise is a scenario that holds with a mechanism on and fails with it off.
type promise struct {
	name  string
	off   spread.Mechanism
	holds func(s *session) error
}

var promises = []promise{
	{"a process cut from the log learns from peers", spread.PullFromPeers | spread.LogFallback, cutFromLog},
	{"a process that hears no peer reads the log", spread.LogFallback, hearsNobody},
	{"a zone whose tailing processes lost the log learns", spread.AuditReads, tailersCut},
	{"an outage of the log is not met by reads of all", spread.OutageBackOff, outageReads},
	{"the offset never falls", spread.MonotonicOffset, olderCheckpoint},
	{"a fresh process does not serve before it has caught up", spread.ReadyGate, freshInOutage},
	{"a paused process does not serve what it knew before", spread.PauseGate, wakesLate},
	{"a process that cannot get a newer record stops serving", spread.BehindGate, behind},
	{"fresh processes do not confirm each other", spread.PeerConfirm, freshTogether},
	{"the log always holds a checkpoint", spread.CheckpointWrites, retentionPassed},
	{"a false offset does no lasting harm", spread.LogAuthority, falseOffset},
	{"a peer's memory makes up for the retention", spread.PeerCheckpoint, noCheckpointInLog},
	{"a forged checkpoint is outvoted", spread.MajorityCheckpoint, forgedFirst},
}

func TestMechanisms(t *testing.T) {
	for _, p := range promises {
		t.Run(p.name, func(t *testing.T) {
			timing := spread.Timing{CheckpointEvery: 20 * time.Second}
			if err := p.holds(newSession(t, 0, timing)); err != nil {
				t.Errorf("with the mechanism: %v", err)
			}
			if err := p.holds(newSession(t, p.off, timing)); err == nil {
				t.Error("holds without the mechanism: the scenario proves nothing")
			}
		})
	}
}

func (s *session) wantOut(name string) error {
	if n := s.world.Node(name); !out(n) || !n.Machine.Ready() {
		return errors.Newf("%s: out %t, ready %t", name, out(n), n.Machine.Ready())
	}
	return nil
}

func (s *session) wantNotReady(name string) error {
	if s.world.Node(name).Machine.Ready() {
		return errors.Newf("%s is ready", name)
	}
	return nil
}

func cutFromLog(s *session) error {
	s.start("a1*", "b1")
	s.world.Run(time.Second)
	s.world.CutLog("b", true)
	s.change("c", 0, "out=true")
	s.world.Run(5 * time.Second)
	return s.wantOut("b1")
}

func hearsNobody(s *session) error {
	s.start("a1*", "b1")
	s.world.Run(time.Second)
	s.world.CutZone("b", true)
	s.change("c", 0, "out=true")
	s.world.Run(10 * time.Second)
	return s.wantOut("b1")
}

func tailersCut(s *session) error {
	s.start("a1*", "a2*", "a3", "a4")
	s.world.Run(time.Second)
	for _, name := range []string{"a1", "a2"} {
		s.world.Node(name).CutLog(true)
	}
	for _, name := range []string{"a3", "a4"} {
		s.world.Node(name).Deliver(spread.Tailing{Audit: 4 * time.Second})
	}
	s.change("c", 0, "out=true")
	s.world.Run(8 * time.Second)
	return s.wantOut("a2")
}

// outageReads counts the reads that a log which is down gets from 22 processes.
func outageReads(s *session) error {
	s.start("a1*", "a2*")
	for i := range 20 {
		name := fmt.Sprint("a", i+3)
		s.start(name)
		s.world.Node(name).Deliver(spread.Tailing{Audit: 10 * time.Second})
	}
	s.world.Run(30 * time.Second)
	s.world.Log.SetDown(true)
	before, _ := s.world.Log.Served()
	s.world.Run(time.Minute)
	after, _ := s.world.Log.Served()
	const limit = 250
	if after-before > limit {
		return errors.Newf("%d reads in a minute", after-before)
	}
	return nil
}

func olderCheckpoint(s *session) error {
	s.start("a1*")
	s.world.Run(time.Second)
	old := genuine(s.t, s.world.Node("a1").Machine.State())
	s.change("c", 0, "out=true")
	s.world.Run(time.Second)
	s.world.Node("a1").Deliver(spread.PeerAnswer{Records: contract.SettingsRecords{Checkpoint: old, First: 1}})
	return s.wantOut("a1")
}

func freshInOutage(s *session) error {
	s.world.Log.SetDown(true)
	s.start("a1*")
	s.world.Run(10 * time.Second)
	return s.wantNotReady("a1")
}

func wakesLate(s *session) error {
	s.start("a1*", "a2")
	s.world.Run(time.Second)
	n := s.world.Node("a2")
	n.Pause(true)
	s.change("c", 0, "out=true")
	s.world.Run(3 * time.Minute)
	n.Pause(false)
	if n.Machine.Ready() && !out(n) {
		return errors.New("serves what it knew minutes ago")
	}
	return nil
}

// behind hears of an offset while neither the log nor a peer can be asked.
func behind(s *session) error {
	s.start("a1*", "b1")
	s.world.Run(time.Second)
	s.world.Log.SetDown(true)
	s.world.CutZone("b", true)
	s.world.CutLog("b", true)
	s.world.Node("b1").Deliver(spread.PeerOffset{Offset: 1})
	s.world.Run(10 * time.Second)
	return s.wantNotReady("b1")
}

func freshTogether(s *session) error {
	s.world.Log.SetDown(true)
	s.start("a1", "a2", "a3")
	s.world.Run(20 * time.Second)
	return s.wantNotReady("a1")
}

func retentionPassed(s *session) error {
	s.start("a1*")
	offset := s.change("c", 0, "out=true")
	s.world.Run(time.Minute)
	s.world.Node("a1").Kill()
	s.world.Log.Trim(offset + 1)
	s.start("b1*")
	s.world.Run(20 * time.Second)
	return s.wantOut("b1")
}

func falseOffset(s *session) error {
	s.start("a1*", "b1*")
	s.change("c", 0, "out=true")
	s.world.Run(time.Second)
	s.world.Node("a1").Deliver(spread.PeerOffset{Offset: 1 << 40})
	s.world.Run(20 * time.Second)
	return s.wantOut("a1")
}

// noCheckpointInLog passes the retention and the records that peers keep.
func noCheckpointInLog(s *session) error {
	s.start("a1*")
	s.change("c", 0, "out=true")
	for i := range 2500 {
		s.change(fmt.Sprint("more-", i), contract.Offset(i+1), "entries=3")
	}
	s.world.Run(time.Second)
	s.world.Log.Trim(s.world.Log.Newest() + 1)
	s.start("b1")
	s.world.Run(2 * time.Second)
	return s.wantOut("b1")
}

// forgedFirst leaves a forged checkpoint as the oldest record of the log.
func forgedFirst(s *session) error {
	s.start("a1*")
	s.change("c", 0, "out=false")
	if _, err := s.world.Append(forged(s.t)); err != nil {
		return err
	}
	s.world.Run(2 * time.Minute)
	s.world.Node("a1").Kill()
	s.world.Log.Trim(2)
	s.start("b1*")
	s.world.Run(10 * time.Second)
	if n := s.world.Node("b1"); out(n) || !n.Machine.Ready() {
		return errors.Newf("out %t, ready %t", out(n), n.Machine.Ready())
	}
	return nil
}
