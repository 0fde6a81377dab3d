package ledger

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
)

// script applies lines of the form "SECOND WRITER SEQ: ITEM, ITEM", where an item is
// "claim KEY REQUEST", "takeover KEY REQUEST SUPERSEDED" or "outcome KEY REQUEST OUTCOME
// [BODY]".
type script struct {
	ledger *Ledger
	out    strings.Builder
}

func newScript(disabled mechanism) *script {
	l := New(Config{Window: time.Minute, MaxResultBytes: 8}, 0)
	l.disabled = disabled
	return &script{ledger: l}
}

func keyNamed(name string) Key { return KeyOf(contract.Claim{Key: name}) }

func (s *script) applyLine(t *testing.T, line string) {
	var seconds int
	batch := &Batch{}
	head, items, _ := strings.Cut(line, ":")
	if _, err := fmt.Sscan(head, &seconds, &batch.Writer, &batch.Seq); err != nil {
		t.Fatalf("cannot parse line %q: %v", line, err)
	}
	for _, text := range strings.Split(items, ",") {
		batch.Items = append(batch.Items, parseItem(strings.Fields(text)))
	}
	data, err := batch.Encode()
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(int64(seconds), 0)
	changes, err := s.ledger.Apply(s.ledger.Applied()+1, now, data, now)
	if err != nil {
		t.Fatal(err)
	}
	if changes == nil {
		s.out.WriteString("repeated\n")
	}
	for _, c := range changes {
		fmt.Fprintf(&s.out, "%s applied=%v contradiction=%v\n", c.Item.Request, c.Applied, c.Contradiction)
	}
}

func parseItem(fields []string) Item {
	it := Item{Key: keyNamed(fields[1]), Request: contract.RequestID(fields[2])}
	switch fields[0] {
	case "claim":
		it.Kind = KindClaim
	case "takeover":
		it.Kind = KindTakeover
		it.Supersedes = contract.RequestID(fields[3])
	default:
		it.Kind = KindOutcome
		outcomes := map[string]contract.Outcome{"done": contract.OutcomeDone, "not-run": contract.OutcomeNotRun, "unknown": contract.OutcomeUnknown}
		it.Result = &Result{Outcome: outcomes[fields[3]], Body: []byte(strings.Join(fields[4:], " "))}
	}
	return it
}

func (s *script) describeHolder(name string) string {
	h, ok := s.ledger.Lookup(keyNamed(name))
	switch {
	case !ok && s.ledger.IsExpired(keyNamed(name)):
		return "expired"
	case !ok:
		return "free"
	case h.State == Done:
		return fmt.Sprintf("%s done %q omitted=%v", h.Request, h.Result.Body, h.Result.BodyOmitted)
	default:
		return fmt.Sprintf("%s %s", h.Request, []string{"open", "uncertain"}[h.State])
	}
}

func TestLedgerScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newScript(0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.out.Reset()
			for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
				s.applyLine(t, line)
			}
			for _, arg := range d.CmdArgs {
				fmt.Fprintf(&s.out, "%s: %s\n", arg.Key, s.describeHolder(arg.Key))
			}
			return s.out.String()
		})
	})
}

// TestEachRuleIsNeeded checks that a session ends with another holder if the rule that it
// covers is switched off.
func TestEachRuleIsNeeded(t *testing.T) {
	cases := []struct {
		name  string
		off   mechanism
		lines string
		want  string
	}{
		{"firstClaimWins", firstClaimWins, "1 a 1: claim k r1\n2 b 1: claim k r2", "r1 open"},
		{"sequenceCheck", sequenceCheck, "1 a 1: claim k r1\n2 a 2: outcome k r1 not-run\n3 a 1: claim k r1", "free"},
		{"supersedesCheck", supersedesCheck, "1 a 1: claim k r1\n2 b 1: takeover k r2 r1\n3 c 1: takeover k r3 r1", "r2 open"},
		{"holderOnly", holderOnly, "1 a 1: claim k r1\n2 b 1: takeover k r2 r1\n3 a 2: outcome k r1 not-run", "r2 open"},
	}
	for _, c := range cases {
		for _, off := range []mechanism{0, c.off} {
			s := newScript(off)
			for _, line := range strings.Split(c.lines, "\n") {
				s.applyLine(t, line)
			}
			if got := s.describeHolder("k"); (got == c.want) != (off == 0) {
				t.Errorf("%s, disabled=%v: holder is %q, want %q only while the rule is enabled", c.name, off != 0, got, c.want)
			}
		}
	}
}

// TestApplyRejectsInvalidRecords checks that Apply reports missing records and skips
// malformed ones.
func TestApplyRejectsInvalidRecords(t *testing.T) {
	l := New(Config{Window: time.Minute}, 5)
	if _, err := l.Apply(7, time.Time{}, nil, time.Time{}); !errors.Is(err, ErrGap) {
		t.Fatalf("Apply() of offset 7 after 5: error %v, want ErrGap", err)
	}
	if _, err := l.Apply(6, time.Time{}, []byte("garbage"), time.Time{}); !errors.Is(err, ErrMalformed) {
		t.Fatalf("Apply() of garbage: error %v, want ErrMalformed", err)
	}
	if l.Applied() != 6 || l.Stats().Malformed != 1 {
		t.Fatalf("Applied() = %d, Stats() = %+v, want offset 6 and one malformed record", l.Applied(), l.Stats())
	}
}

// FuzzDecode checks that Apply rejects invalid data with ErrMalformed and applies only
// valid items.
func FuzzDecode(f *testing.F) {
	b := &Batch{Writer: "w", Seq: 1, Items: []Item{parseItem([]string{"claim", "k", "r"}), parseItem([]string{"outcome", "k", "r", "done", "body"})}}
	data, err := b.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		l := New(Config{Window: time.Minute}, 0)
		changes, err := l.Apply(1, time.Unix(1, 0), data, time.Unix(1, 0))
		if err != nil && !errors.Is(err, ErrMalformed) {
			t.Fatal(err)
		}
		for _, c := range changes {
			if !c.Item.isValid() {
				t.Fatalf("Apply() accepted the invalid item %+v", c.Item)
			}
		}
	})
}
