package e2e

import (
	"context"
	"fmt"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/harness"
	"mimosastand.example/mimosastand/internal/load"
)

// exitUnavailable is the exit code of an operator's command that was not
// accepted, or whose result is not known.
const exitUnavailable = 5

// TestConnectionsGoSilent checks that answers whose connections go silent for
// good, again and again, are finished over new ones.
func TestConnectionsGoSilent(t *testing.T) {
	// oldEnough is how many calls it takes until the targets vouch for what they
	// have not heard of, which they do not when they have just started.
	const oldEnough = 300
	t.Parallel()
	s := startWithRelays(t)
	traffic := s.traffic(30*time.Millisecond, 30*time.Millisecond)
	for round := range 3 {
		s.waitFor(traffic.ModelResults, oldEnough+60*round)
		if s.SilenceLinks() == 0 {
			t.Fatal("no connection was made silent")
		}
	}
	s.waitFor(traffic.ModelResults, oldEnough+240)
	settle(traffic)
	s.checkAnswers(traffic.ModelResults)
	s.checkAnswers(traffic.PlainResults)
	s.checkEffects()
	s.checkWhole(traffic.ModelResults)
	s.checkWhole(traffic.PlainResults)
}

// TestZoneCutOff checks a zone that loses the platform and all other zones: its
// callers are served by its own targets, nobody there can change settings, and
// what was changed meanwhile is in force there after the cut.
func TestZoneCutOff(t *testing.T) {
	t.Parallel()
	s := startWithRelays(t)
	inside, outside := s.Entries[1], s.Entries[0]
	zone := inside.Zone.Name
	traffic := s.traffic(30*time.Millisecond, 0)
	s.waitFor(traffic.ModelResults, 20)
	before := s.offset(inside)
	s.CutZone(zone)
	s.waitFor(traffic.ModelResults, 100)
	s.checkKeyedInside(inside)
	s.checkOperators(zone, inside, outside)
	s.waitFor(traffic.ModelResults, 160)
	if now := s.offset(inside); now != before {
		t.Errorf("the cut-off zone went from offset %s to %s", before, now)
	}
	s.HealZone(zone)
	s.must(harness.WaitFor(context.Background(), hangLimit, func() error { return s.isOut(inside, zone) }))
	s.waitFor(traffic.ModelResults, 220)
	settle(traffic)
	s.checkAnswers(traffic.ModelResults)
	s.checkEffects()
	s.checkWhole(traffic.ModelResults)
}

// checkKeyedInside checks that a keyed call in a cut-off zone is truly refused.
func (s *system) checkKeyedInside(inside *harness.Entry) {
	s.t.Helper()
	effect := load.PlainCall{Service: plainService, Team: team, Key: "voucher-1", Body: `{"pay":1}`}
	refused := s.caller.CallPlain(context.Background(), "http://"+inside.HTTP, effect)
	if refused.Class != load.Refused || refused.Outcome != contract.OutcomeNotRun.String() || refused.RetryAfter == 0 {
		s.t.Errorf("keyed call in a cut-off zone: %+v", refused)
	}
}

// checkOperators takes a zone out from inside the cut, where it must fail, and
// with a server outside of it, where it must work.
func (s *system) checkOperators(zone contract.ZoneName, inside, outside *harness.Entry) {
	s.t.Helper()
	ctx := context.Background()
	printed, err := s.RunOperatorAt(ctx, []*harness.Entry{inside}, "set", "team "+string(team), "share=2")
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != exitUnavailable {
		s.t.Errorf("a change inside a cut-off zone: %v: %s", err, printed)
	}
	_, err = s.RunOperatorAt(ctx, []*harness.Entry{inside, outside}, "zone", "out", string(zone))
	s.must(err)
	s.must(s.isOut(outside, zone))
	if s.isOut(inside, zone) == nil {
		s.t.Error("the cut-off zone already knows that it is out")
	}
}

// isOut returns nil if an entry host knows that a zone is out.
func (s *system) isOut(at *harness.Entry, zone contract.ZoneName) error {
	printed, err := s.RunOperatorAt(context.Background(), []*harness.Entry{at}, "get", "zone "+string(zone), "--key", "out")
	if err != nil {
		return err
	}
	if !strings.Contains(printed, "true") {
		return fmt.Errorf("%s: %s", at.Machine, printed)
	}
	return nil
}

// offset returns the line in which an entry host names its settings offset.
func (s *system) offset(at *harness.Entry) string {
	s.t.Helper()
	printed, err := s.RunOperatorAt(context.Background(), []*harness.Entry{at}, "get")
	s.must(err)
	line, _, _ := strings.Cut(printed, "\n")
	return line
}
