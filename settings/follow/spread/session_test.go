package spread_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/settings/checkpoint"
	"mimosastand.example/mimosastand/settings/follow/spread"
	"mimosastand.example/mimosastand/settings/follow/spread/sim"
	"mimosastand.example/mimosastand/settings/record"
	"mimosastand.example/mimosastand/settings/replay"
	"mimosastand.example/mimosastand/settings/schema"
	"mimosastand.example/mimosastand/settings/tree"
)

// session is a world that a scenario scripts.
type session struct {
	t     *testing.T
	world *sim.World
	trace strings.Builder
	off   spread.Mechanism
}

func newSession(t *testing.T, off spread.Mechanism, timing spread.Timing) *session {
	s := &session{t: t, world: sim.NewWorld(1, timing), off: off}
	s.world.Prepare = func(m *spread.Machine) { m.Disable(off) }
	s.world.Trace = s.note
	return s
}

// note keeps what an operator would want to see of a session.
func (s *session) note(n *sim.Node, e spread.Effect) {
	text := ""
	switch e := e.(type) {
	case spread.Readiness:
		text = fmt.Sprintf("ready=%t: %s", e.Ready, e.Why)
	case spread.Decided:
		text = fmt.Sprintf("%d %s", e.Decision.Offset, e.Decision.Outcome)
	case spread.Ignored:
		text = "ignored " + e.What
	case spread.AppendCheckpoint:
		text = "writes a checkpoint"
	default:
		return
	}
	fmt.Fprintf(&s.trace, "%7.3fs %s %s\n", s.world.Now().Seconds(), n.Name, text)
}

func (s *session) take() string {
	defer s.trace.Reset()
	return s.trace.String()
}

// start adds a node, linked with all others; nodes named with a final "*" tail.
func (s *session) start(names ...string) {
	for _, name := range names {
		bare, tails := strings.CutSuffix(name, "*")
		others := s.world.Nodes()
		n := s.world.Start(bare, contract.ZoneName(bare[:1]), tails)
		for _, other := range others {
			s.world.Link(n, other)
		}
	}
}

// change appends a change of zone a, and returns its offset.
func (s *session) change(id string, base contract.Offset, assignment string) contract.Offset {
	s.t.Helper()
	offset, err := s.world.Append(encodeChange(s.t, id, base, assignment))
	if err != nil {
		s.t.Fatal(err)
	}
	return offset
}

func encodeChange(t *testing.T, id string, base contract.Offset, assignment string) []byte {
	t.Helper()
	key, value, _ := strings.Cut(assignment, "=")
	c := &record.Change{ID: id, Author: "op", Base: base, Changes: []settings.Change{
		{Scope: settings.Scope{Zone: "a"}, Key: settings.Key(key), Value: value},
	}}
	data, err := record.Encode(record.Record{Change: c})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// forged is a checkpoint that takes zone a out, whatever the records say.
func forged(t *testing.T) []byte {
	t.Helper()
	tr := tree.New()
	tr.Set(settings.Change{Scope: settings.Scope{Zone: "a"}, Key: schema.Out, Value: "true"}, 1)
	data, _, err := checkpoint.Encode(checkpoint.Snapshot{Tree: tr})
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := record.Encode(record.Record{Checkpoint: data})
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

func genuine(t *testing.T, state *replay.State) []byte {
	t.Helper()
	data, _, err := checkpoint.Encode(state.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func out(n *sim.Node) bool {
	return n.Machine.State().View().Zone("", "a").Out
}

func (s *session) show() string {
	var b strings.Builder
	for _, n := range s.world.Nodes() {
		fmt.Fprintf(&b, "%s offset=%d ready=%t out=%t\n", n.Name, n.Machine.State().Offset(), n.Machine.Ready(), out(n))
	}
	return b.String()
}

// TestSessions runs testdata/*.txt. Nodes are named by zone and number; the zone
// is the first letter.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newSession(t, 0, spread.Timing{CheckpointEvery: 20 * time.Second})
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.command(d)
		})
	})
}

func (s *session) command(d *datadriven.TestData) string {
	names := make([]string, 0, len(d.CmdArgs))
	for _, arg := range d.CmdArgs {
		names = append(names, arg.Key)
	}
	switch d.Cmd {
	case "start":
		s.start(names...)
	case "kill":
		s.world.Node(names[0]).Kill()
	case "pause", "wake":
		s.world.Node(names[0]).Pause(d.Cmd == "pause")
	case "change":
		var base uint64
		var set string
		d.ScanArgs(s.t, "base", &base)
		d.ScanArgs(s.t, "set", &set)
		return fmt.Sprintf("offset %d\n", s.change(names[0], contract.Offset(base), strings.ReplaceAll(set, ":", "=")))
	case "forge":
		if _, err := s.world.Append(forged(s.t)); err != nil {
			return err.Error()
		}
	case "claim":
		var offset uint64
		d.ScanArgs(s.t, "offset", &offset)
		s.world.Node(names[0]).Deliver(spread.PeerOffset{Offset: contract.Offset(offset)})
	case "log":
		s.logCommand(d)
	case "cut", "heal":
		s.world.CutZone(contract.ZoneName(names[0]), d.Cmd == "cut")
		s.world.CutLog(contract.ZoneName(names[0]), d.Cmd == "cut")
	case "run":
		length, err := time.ParseDuration(names[0])
		if err != nil {
			return err.Error()
		}
		s.world.Run(length)
		return s.take() + s.show()
	default:
		return "unknown command"
	}
	return ""
}

func (s *session) logCommand(d *datadriven.TestData) {
	if d.HasArg("trim") {
		var oldest uint64
		d.ScanArgs(s.t, "trim", &oldest)
		s.world.Log.Trim(contract.Offset(oldest))
		return
	}
	if d.HasArg("delay") {
		var ms int
		d.ScanArgs(s.t, "delay", &ms)
		s.world.LogDelay = time.Duration(ms) * time.Millisecond
		return
	}
	s.world.Log.SetDown(d.HasArg("down"))
}
