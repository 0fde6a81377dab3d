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

// script plays lines "SECOND WRITER SEQ ITEM, ITEM" where an item is
// "claim KEY REQUEST", "takeover KEY REQUEST OF" or "outcome KEY REQUEST RESULT [BODY]".
type script struct {
	ledger *Ledger
	out    strings.Builder
}

func newScript(off mechanism) *script {
	l := New(Config{Window: time.Minute, MaxResultBytes: 8}, 0)
	l.off = off
	return &script{ledger: l}
}

func keyNamed(name string) Key { return KeyOf(contract.Claim{Key: name}) }

func (s *script) line(t *testing.T, line string) {
	var second int
	batch := &Batch{}
	head, items, _ := strings.Cut(line, ":")
	if _, err := fmt.Sscan(head, &second, &batch.Writer, &batch.Seq); err != nil {
		t.Fatalf("%s: %v", line, err)
	}
	for _, text := range strings.Split(items, ",") {
		batch.Items = append(batch.Items, item(strings.Fields(text)))
	}
	data, err := batch.Encode()
	if err != nil {
		t.Fatal(err)
	}
	at := time.Unix(int64(second), 0)
	changes, err := s.ledger.Apply(s.ledger.Applied()+1, at, data, at)
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

func item(f []string) Item {
	it := Item{Key: keyNamed(f[1]), Request: contract.RequestID(f[2])}
	switch f[0] {
	case "claim":
		it.Kind = KindClaim
	case "takeover":
		it.Kind = KindTakeover
		it.Supersedes = contract.RequestID(f[3])
	default:
		it.Kind = KindOutcome
		outcomes := map[string]contract.Outcome{"done": contract.OutcomeDone, "not-run": contract.OutcomeNotRun, "unknown": contract.OutcomeUnknown}
		it.Result = &Result{Outcome: outcomes[f[3]], Body: []byte(strings.Join(f[4:], " "))}
	}
	return it
}

func (s *script) holder(name string) string {
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

func TestLedger(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newScript(0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.out.Reset()
			for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
				s.line(t, line)
			}
			for _, arg := range d.CmdArgs {
				fmt.Fprintf(&s.out, "%s: %s\n", arg.Key, s.holder(arg.Key))
			}
			return s.out.String()
		})
	})
}

// TestMechanisms shows that each rule is needed: one session ends otherwise
// without it.
func TestMechanisms(t *testing.T) {
	cases := []struct {
		name  string
		off   mechanism
		lines string
		want  string
	}{
		{"firstWins", firstWins, "1 a 1: claim k r1\n2 b 1: claim k r2", "r1 open"},
		{"sequence", sequence, "1 a 1: claim k r1\n2 a 2: outcome k r1 not-run\n3 a 1: claim k r1", "free"},
		{"supersedesCheck", supersedesCheck, "1 a 1: claim k r1\n2 b 1: takeover k r2 r1\n3 c 1: takeover k r3 r1", "r2 open"},
		{"holderOnly", holderOnly, "1 a 1: claim k r1\n2 b 1: takeover k r2 r1\n3 a 2: outcome k r1 not-run", "r2 open"},
	}
	for _, c := range cases {
		for _, off := range []mechanism{0, c.off} {
			s := newScript(off)
			for _, line := range strings.Split(c.lines, "\n") {
				s.line(t, line)
			}
			if got := s.holder("k"); (got == c.want) != (off == 0) {
				t.Errorf("%s off=%v: %s, want %s", c.name, off != 0, got, c.want)
			}
		}
	}
}

func TestApplyRefuses(t *testing.T) {
	l := New(Config{Window: time.Minute}, 5)
	if _, err := l.Apply(7, time.Time{}, nil, time.Time{}); !errors.Is(err, ErrGap) {
		t.Fatalf("gap: %v", err)
	}
	if _, err := l.Apply(6, time.Time{}, []byte("garbage"), time.Time{}); !errors.Is(err, ErrMalformed) {
		t.Fatalf("garbage: %v", err)
	}
	if l.Applied() != 6 || l.Stats().Malformed != 1 {
		t.Fatalf("offset %d, %+v", l.Applied(), l.Stats())
	}
}

func FuzzDecode(f *testing.F) {
	b := &Batch{Writer: "w", Seq: 1, Items: []Item{item([]string{"claim", "k", "r"}), item([]string{"outcome", "k", "r", "done", "body"})}}
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
			if !c.Item.valid() {
				t.Fatalf("invalid item %+v", c.Item)
			}
		}
	})
}
