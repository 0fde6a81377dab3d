package roster

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"mimosastand.example/mimosastand/contract"
)

// lapseLimit is how long after the store was away lapsed entries are retained at most in the scripts.
const lapseLimit = 2750 * time.Millisecond

// TestRosterScripts runs the scripts in testdata. Each input line is a command, such as
// a change of the target list or a report of a target process. The output shows the
// members after all commands of a block.
func TestRosterScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		r := New(time.Second)
		now := time.Unix(1000, 0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			for _, line := range strings.Split(d.Input, "\n") {
				runCommand(t, d, r, &now, strings.Fields(line))
			}
			return formatMembers(r, now)
		})
	})
}

func runCommand(t *testing.T, d *datadriven.TestData, r *Roster, now *time.Time, words []string) {
	if len(words) == 0 {
		return
	}
	args := map[string]int64{}
	for _, w := range words[1:] {
		var n int64
		if name, value, ok := strings.Cut(w, "="); ok {
			if _, err := fmt.Sscan(value, &n); err != nil {
				d.Fatalf(t, "argument %s: %v", w, err)
			}
			args[name] = n
		}
	}
	switch words[0] {
	case "list":
		r.Update(*now, Target{
			ID: TargetID(words[1]), Service: "s", Address: "addr-" + words[1], Born: args["born"], Seq: args["seq"],
			Leaving: args["leaving"] != 0, Model: &Model{Version: args["version"], Layers: int(args["layers"])},
		}, writtenAfter(*now, args))
	case "remove":
		var answers contract.StoreAnswers
		if last, ok := args["answered"]; ok {
			answers.Last = now.Add(-time.Duration(last) * time.Millisecond)
			answers.Since = answers.Last.Add(-time.Duration(args["for"]) * time.Millisecond)
		}
		r.Remove(*now, TargetID(words[1]), answers)
	case "report":
		r.Report(*now, "addr-"+words[1], args["born"], Status{
			Version: args["version"], Ready: args["version"] > 0 && args["down"] == 0, Changing: args["changing"] != 0})
	case "unwatched":
		r.ClearStatus("addr-" + words[1])
	case "store-lost":
		r.StoreLost()
	case "store-back":
		r.StoreRecovered(*now, now.Add(-time.Duration(args["away"])*time.Millisecond), lapseLimit)
	case "wait":
		*now = now.Add(time.Duration(args["ms"]) * time.Millisecond)
		r.Tick(*now, contract.StoreAnswers{})
	default:
		d.Fatalf(t, "unknown command %s", words[0])
	}
}

// writtenAfter returns the time after which the entry of a command was written, "written" milliseconds
// ago; zero if it is not said.
func writtenAfter(now time.Time, args map[string]int64) time.Time {
	age, ok := args["written"]
	if !ok {
		return time.Time{}
	}
	return now.Add(-time.Duration(age) * time.Millisecond)
}

func formatMembers(r *Roster, now time.Time) string {
	var lines []string
	for _, m := range r.Members("s") {
		line := fmt.Sprintf("%s born=%d version=%d", m.ID, m.Born, m.Version(now, 0))
		if m.Leaving {
			line += " leaving"
		}
		if s, ok := m.Status(now); ok && s.Changing {
			line += " changing"
		}
		if m.IsSilent(now) {
			line += " silent"
		}
		lines = append(lines, line)
	}
	sort.Strings(lines)
	if len(lines) == 0 {
		return "none\n"
	}
	return strings.Join(lines, "\n") + "\n"
}
