package replay

import (
	"fmt"
	"sort"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/settings/checkpoint"
	"mimosastand.example/mimosastand/settings/record"
	"mimosastand.example/mimosastand/settings/schema"
	"mimosastand.example/mimosastand/settings/tree"
)

// tester is what both testing.T and rapid.T offer.
type tester interface {
	Fatal(args ...any)
}

func encode(t tester, r record.Record) []byte {
	data, err := record.Encode(r)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// parse reads lines "scope: key=value"; "key=" removes a value.
func parse(t tester, input string) []settings.Change {
	var list []settings.Change
	for _, line := range strings.Split(strings.TrimSpace(input), "\n") {
		scopeText, rest, _ := strings.Cut(line, ": ")
		scope, err := settings.ParseScope(scopeText)
		if err != nil {
			t.Fatal(err)
		}
		key, value, _ := strings.Cut(rest, "=")
		list = append(list, settings.Change{Scope: scope, Key: settings.Key(key), Value: value, Unset: value == ""})
	}
	return list
}

func change(t tester, id string, base contract.Offset, input string) []byte {
	return encode(t, record.Record{Change: &record.Change{ID: id, Author: "op", Base: base, Changes: parse(t, input)}})
}

func next(t tester, s *State, data []byte) Decision {
	d, err := s.Apply(s.Offset()+1, data)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func describe(d Decision) string {
	text := fmt.Sprintf("%d: %s", d.Offset, d.Outcome)
	if d.With != 0 {
		text += fmt.Sprintf(" with %d", d.With)
	}
	if d.Key != "" {
		text += fmt.Sprintf(" at [%s] %s", d.Scope, d.Key)
	}
	for _, f := range d.Faults {
		text += "\n  " + f.Error()
	}
	return text + "\n"
}

func checkpointOf(t tester, s *State) []byte {
	data, _, err := checkpoint.Encode(s.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestSessions runs testdata/*.txt: records in the order of the log.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := New()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "change":
				var base uint64
				d.ScanArgs(t, "base", &base)
				return describe(next(t, s, change(t, d.CmdArgs[0].Key, contract.Offset(base), d.Input)))
			case "checkpoint":
				return describe(next(t, s, encode(t, record.Record{Checkpoint: checkpointOf(t, s)})))
			case "forge":
				snapshot := s.Snapshot()
				snapshot.Tree.Set(settings.Change{Scope: settings.Scope{Zone: "a"}, Key: schema.Out, Value: "true"}, 1)
				data, _, err := checkpoint.Encode(snapshot)
				if err != nil {
					t.Fatal(err)
				}
				return describe(next(t, s, encode(t, record.Record{Checkpoint: data})))
			case "garbage":
				return describe(next(t, s, []byte(d.Input)))
			case "restart":
				snapshot, err := checkpoint.Decode(checkpointOf(t, s))
				if err != nil {
					t.Fatal(err)
				}
				s = Restore(snapshot, s.Offset())
				return ""
			case "tree":
				return string(tree.WriteINI(s.View().Tree()))
			}
			return "unknown command"
		})
	})
}

// promises hold with a mechanism on and fail with it off.
var promises = []struct {
	name  string
	off   mechanism
	holds func(t *testing.T, s *State) error
}{
	{"a resend is told as such", duplicateCheck, resend},
	{"racing operators get one winner", conflictCheck, race},
	{"several keys change whole or not at all", wholeRecord, whole},
	{"a forged checkpoint is refused", checkpointCheck, forgery},
	{"a resend after the window reverts nothing", baseCheck, lateResend},
}

func TestMechanisms(t *testing.T) {
	for _, p := range promises {
		t.Run(p.name, func(t *testing.T) {
			if err := p.holds(t, New()); err != nil {
				t.Errorf("with the mechanism: %v", err)
			}
			s := New()
			s.off = p.off
			if err := p.holds(t, s); err == nil {
				t.Error("holds without the mechanism: the scenario proves nothing")
			}
		})
	}
}

func want(d Decision, o Outcome) error {
	if d.Outcome != o {
		return errors.Newf("%s, want %s", d.Outcome, o)
	}
	return nil
}

func resend(t *testing.T, s *State) error {
	data := change(t, "c", 0, "zone a: out=true")
	next(t, s, data)
	return want(next(t, s, data), Duplicate)
}

func race(t *testing.T, s *State) error {
	next(t, s, change(t, "c1", 0, "zone a: out=true"))
	return want(next(t, s, change(t, "c2", 0, "zone a: out=false")), Conflicting)
}

func whole(t *testing.T, s *State) error {
	next(t, s, change(t, "c1", 0, "zone a: out=true"))
	next(t, s, change(t, "c2", 0, "zone a: entries=3\nzone a: out=false"))
	if _, set := s.tree.At(settings.Scope{Zone: "a"}, schema.Entries); set {
		return errors.New("half a change")
	}
	return nil
}

func forgery(t *testing.T, s *State) error {
	other := New()
	next(t, other, change(t, "x", 0, "zone a: out=true"))
	next(t, s, change(t, "c", 0, "zone a: out=false"))
	return want(next(t, s, encode(t, record.Record{Checkpoint: checkpointOf(t, other)})), CheckpointRefused)
}

// lateResend sends a change again that nothing remembers any more.
func lateResend(t *testing.T, s *State) error {
	first := change(t, "c", 0, "zone a: out=true")
	next(t, s, first)
	next(t, s, change(t, "undo", 1, "zone a: out="))
	for i := range WindowRecords + 1 {
		next(t, s, change(t, fmt.Sprint("m", i), s.Offset(), "zone a: entries=3"))
	}
	next(t, s, first)
	if s.View().Zone("", "a").Out {
		return errors.New("the zone is out again")
	}
	return nil
}

// TestReplayAgrees checks for random records that a replay that goes over a
// checkpoint at any place decides every record alike, and that a value is always
// that of the last accepted change.
func TestReplayAgrees(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		one, two := New(), New()
		last := map[string]string{}
		for i := range rapid.IntRange(1, 60).Draw(rt, "records") {
			data, keys := randomRecord(rt, one, i)
			if rapid.IntRange(0, 9).Draw(rt, "restart") == 0 {
				snapshot, err := checkpoint.Decode(checkpointOf(rt, two))
				if err != nil {
					rt.Fatal(err)
				}
				two = Restore(snapshot, two.Offset())
			}
			a, b := next(rt, one, data), next(rt, two, data)
			if describe(a) != describe(b) || one.Digest() != two.Digest() {
				rt.Fatalf("decided %s and %s", describe(a), describe(b))
			}
			if a.Outcome == Accepted {
				for key, value := range keys {
					last[key] = value
				}
			}
			for key, value := range last {
				e, _ := one.tree.At(settings.Scope{Zone: "a"}, settings.Key(key))
				if e.Value != value {
					rt.Fatalf("%s is %q, want %q", key, e.Value, value)
				}
			}
		}
	})
}

func randomRecord(rt *rapid.T, s *State, i int) ([]byte, map[string]string) {
	if rapid.IntRange(0, 9).Draw(rt, "checkpoint") == 0 {
		return encode(rt, record.Record{Checkpoint: checkpointOf(rt, s)}), nil
	}
	keys := map[string]string{}
	for _, key := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"entries", "max_running", "queue_length"}), 1, 3, rapid.ID[string]).Draw(rt, "keys") {
		keys[key] = fmt.Sprint(rapid.IntRange(0, 9).Draw(rt, "value"))
	}
	var lines []string
	for key, value := range keys {
		lines = append(lines, "zone a: "+key+"="+value)
	}
	sort.Strings(lines)
	back := contract.Offset(rapid.IntRange(0, 3).Draw(rt, "back"))
	base := s.Offset() - min(back, s.Offset())
	id := fmt.Sprint("c", i-rapid.IntRange(0, 1).Draw(rt, "resend"))
	return change(rt, id, base, strings.Join(lines, "\n")), keys
}

// FuzzApply feeds bytes that anybody may have appended.
func FuzzApply(f *testing.F) {
	f.Add([]byte{0xa1, 0x01, 0xa0})
	f.Add(change(f, "c", 0, "zone a: out=true"))
	f.Add(encode(f, record.Record{Checkpoint: checkpointOf(f, New())}))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := New()
		if _, err := s.Apply(1, data); err != nil {
			t.Fatal(err)
		}
		if _, err := checkpoint.Decode(data); err == nil && len(data) == 0 {
			t.Fatal("empty checkpoint")
		}
	})
}
