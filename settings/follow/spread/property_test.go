package spread_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/settings/follow/spread"
)

// TestSpreadUnderFaults runs random faults over six processes in two zones.
// Offsets never fall, and once all faults are over every process is ready and
// has the same state.
func TestSpreadUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSession(t, 0, spread.Timing{CheckpointEvery: 20 * time.Second})
		s.start("a1*", "a2", "a3", "b1*", "b2", "b3")
		highest := map[string]contract.Offset{}
		for i := range rapid.IntRange(5, 40).Draw(rt, "steps") {
			s.fault(rt, i)
			s.world.Run(time.Duration(rapid.IntRange(0, 8000).Draw(rt, "ms")) * time.Millisecond)
			for _, n := range s.world.Nodes() {
				offset := n.Machine.State().Offset()
				if offset < highest[n.Name] {
					rt.Fatalf("%s fell from %d to %d", n.Name, highest[n.Name], offset)
				}
				highest[n.Name] = offset
			}
		}
		s.heal()
		s.world.Run(time.Minute)
		s.agree(rt)
	})
}

func (s *session) fault(rt *rapid.T, i int) {
	zone := contract.ZoneName(rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "zone"))
	node := s.world.Node(string(zone) + rapid.SampledFrom([]string{"1", "2", "3"}).Draw(rt, "node"))
	flag := rapid.Bool().Draw(rt, "flag")
	switch rapid.SampledFrom([]string{"change", "change", "log", "zone", "zonelog", "pause", "trim", "claim", "forge"}).Draw(rt, "fault") {
	case "change":
		base := s.world.Log.Newest()
		if base > 0 && flag {
			base--
		}
		_, _ = s.world.Append(encodeChange(s.t, fmt.Sprint("c", i), base, fmt.Sprintf("out=%t", flag)))
	case "log":
		s.world.Log.SetDown(flag)
	case "zone":
		s.world.CutZone(zone, flag)
	case "zonelog":
		s.world.CutLog(zone, flag)
	case "pause":
		node.Pause(flag)
	case "trim":
		// Only what every process has may go: what nobody holds and no checkpoint
		// covers is lost to any system.
		s.world.Log.Trim(s.lowest() + 1)
	case "claim":
		node.Deliver(spread.PeerOffset{Offset: s.world.Log.Newest() + 5})
	case "forge":
		_, _ = s.world.Append(forged(s.t))
	}
}

func (s *session) lowest() contract.Offset {
	low := s.world.Log.Newest()
	for _, n := range s.world.Nodes() {
		low = min(low, n.Machine.State().Offset())
	}
	return low
}

func (s *session) heal() {
	s.world.Log.SetDown(false)
	for _, zone := range []contract.ZoneName{"a", "b"} {
		s.world.CutZone(zone, false)
		s.world.CutLog(zone, false)
	}
	for _, n := range s.world.Nodes() {
		n.Pause(false)
	}
}

func (s *session) agree(rt *rapid.T) {
	first := s.world.Nodes()[0].Machine.State()
	for _, n := range s.world.Nodes() {
		state := n.Machine.State()
		late := s.world.Log.Newest() - state.Offset()
		if !n.Machine.Ready() || late > 1 || state.Digest() != first.Digest() {
			rt.Fatalf("%s: ready %t, offset %d of %d, same tree %t\n%s", n.Name, n.Machine.Ready(),
				state.Offset(), s.world.Log.Newest(), state.Digest() == first.Digest(), s.trace.String())
		}
	}
}
