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

// exitUnavailable is the exit code of an operators' command that was not accepted or whose
// result is unknown.
const exitUnavailable = 5

// TestAnswersCompleteOverSilentConnections checks that answers are completed over new
// connections when the connections between hosts repeatedly stay open but deliver nothing any
// more.
func TestAnswersCompleteOverSilentConnections(t *testing.T) {
	// warmUpCalls is the number of calls after which the targets have run long enough to state
	// that an attempt that they do not know has never run. Just after their start they cannot
	// tell.
	const warmUpCalls = 300
	t.Parallel()
	s := startWithRelays(t)
	traffic := s.startTraffic(30*time.Millisecond, 30*time.Millisecond)
	for round := range 3 {
		s.waitForCalls(traffic.ModelResults, warmUpCalls+60*round)
		if s.SilenceLinks() == 0 {
			t.Fatal("SilenceLinks() = 0, want at least one silenced connection")
		}
	}
	s.waitForCalls(traffic.ModelResults, warmUpCalls+240)
	stopAndWait(traffic)
	s.checkNoBadAnswers(traffic.ModelResults)
	s.checkNoBadAnswers(traffic.PlainResults)
	s.checkNoRepeatedEffects()
	s.checkAllComplete(traffic.ModelResults)
	s.checkAllComplete(traffic.PlainResults)
}

// TestPartitionedZoneServesItsCallers checks a zone that is cut off from the platform and from
// all other zones: its callers are served by its own targets, settings cannot be changed inside
// it, and changes that were made outside take effect there after the partition.
func TestPartitionedZoneServesItsCallers(t *testing.T) {
	t.Parallel()
	s := startWithRelays(t)
	inside, outside := s.Entries[1], s.Entries[0]
	zone := inside.Zone.Name
	traffic := s.startTraffic(30*time.Millisecond, 0)
	s.waitForCalls(traffic.ModelResults, 20)
	offsetBefore := s.settingsOffset(inside)
	s.CutZone(zone)
	s.waitForCalls(traffic.ModelResults, 100)
	s.checkKeyedCallRefused(inside)
	s.checkZoneChange(zone, inside, outside)
	s.waitForCalls(traffic.ModelResults, 160)
	if offset := s.settingsOffset(inside); offset != offsetBefore {
		t.Errorf("settings in the cut-off zone went from %q to %q, want no change", offsetBefore, offset)
	}
	s.HealZone(zone)
	s.must(harness.WaitFor(context.Background(), hangTimeout, func() error { return s.checkZoneOut(inside, zone) }))
	s.waitForCalls(traffic.ModelResults, 220)
	stopAndWait(traffic)
	s.checkNoBadAnswers(traffic.ModelResults)
	s.checkNoRepeatedEffects()
	s.checkAllComplete(traffic.ModelResults)
}

// checkKeyedCallRefused checks that a keyed call in a cut-off zone is refused as not run, with a
// time after which to retry.
func (s *system) checkKeyedCallRefused(inside *harness.Entry) {
	s.t.Helper()
	call := load.PlainCall{Service: plainService, Team: team, Key: "voucher-1", Body: `{"pay":1}`}
	refused := s.caller.CallPlain(context.Background(), "http://"+inside.HTTP, call)
	if refused.Class != load.Refused || refused.Outcome != contract.OutcomeNotRun.String() || refused.RetryAfter == 0 {
		s.t.Errorf("keyed call in a cut-off zone = %+v, want a refusal as not run with a retry-after time", refused)
	}
}

// checkZoneChange checks that a change of settings fails at an entry host inside the cut-off
// zone, and that an operator who can also reach one outside can take the zone out of service.
// Inside the zone, that change must not be known yet.
func (s *system) checkZoneChange(zone contract.ZoneName, inside, outside *harness.Entry) {
	s.t.Helper()
	ctx := context.Background()
	output, err := s.RunOperatorAt(ctx, []*harness.Entry{inside}, "set", "team "+string(team), "share=2")
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != exitUnavailable {
		s.t.Errorf("change of settings inside a cut-off zone: error %v, output %s, want exit code 5", err, output)
	}
	_, err = s.RunOperatorAt(ctx, []*harness.Entry{inside, outside}, "zone", "out", string(zone))
	s.must(err)
	s.must(s.checkZoneOut(outside, zone))
	if s.checkZoneOut(inside, zone) == nil {
		s.t.Error("cut-off zone knows the change that was made outside it, want it unknown until the partition ends")
	}
}

// checkZoneOut returns nil if the settings of an entry host say that a zone is out of service.
func (s *system) checkZoneOut(at *harness.Entry, zone contract.ZoneName) error {
	output, err := s.RunOperatorAt(context.Background(), []*harness.Entry{at}, "get", "zone "+string(zone), "--key", "out")
	if err != nil {
		return err
	}
	if !strings.Contains(output, "true") {
		return fmt.Errorf("%s: key out is %q, want true", at.Machine, output)
	}
	return nil
}

// settingsOffset returns the line of the settings of an entry host that has their offset.
func (s *system) settingsOffset(at *harness.Entry) string {
	s.t.Helper()
	output, err := s.RunOperatorAt(context.Background(), []*harness.Entry{at}, "get")
	s.must(err)
	line, _, _ := strings.Cut(output, "\n")
	return line
}
