package tree_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/settings/schema"
	"mimosastand.example/mimosastand/settings/tree"
)

// load builds a tree whose values have offset 1.
func load(t *testing.T, name string, text []byte) *tree.Tree {
	t.Helper()
	changes, err := tree.ParseINI(name, text)
	if err != nil {
		t.Fatal(err)
	}
	tr := tree.New()
	for _, c := range changes {
		tr.Set(c, 1)
	}
	return tr
}

// TestScenarios runs testdata/*.txt: load, check, explain, view and write.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		tr := tree.New()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "load":
				if _, err := tree.ParseINI("FILE", []byte(d.Input)); err != nil {
					return err.Error() + "\n"
				}
				tr = load(t, "FILE", []byte(d.Input))
				return "ok\n"
			case "explain":
				return explain(t, tr, d)
			case "view":
				return view(t, tr, d)
			case "write":
				return string(tree.WriteINI(tr))
			case "diff":
				wanted, err := tree.ParseINI("FILE", []byte(d.Input))
				if err != nil {
					return err.Error() + "\n"
				}
				var out strings.Builder
				for _, c := range tr.Diff(wanted) {
					fmt.Fprintln(&out, c)
				}
				return out.String()
			}
			return "unknown command"
		})
	})
}

func explain(t *testing.T, tr *tree.Tree, d *datadriven.TestData) string {
	var out strings.Builder
	for _, line := range strings.Split(d.Input, "\n") {
		scopeText, key, _ := strings.Cut(line, ": ")
		scope, err := settings.ParseScope(scopeText)
		if err != nil {
			t.Fatal(err)
		}
		e := tr.Effective(scope, settings.Key(key))
		origin := "[" + e.Origin.String() + "]"
		if e.BuiltIn {
			origin = "schema"
		}
		fmt.Fprintf(&out, "%s = %q from %s\n", key, e.Value, origin)
	}
	return out.String()
}

func view(t *testing.T, tr *tree.Tree, d *datadriven.TestData) string {
	var region, zone, service, team string
	d.ScanArgs(t, "region", &region)
	d.ScanArgs(t, "zone", &zone)
	d.ScanArgs(t, "service", &service)
	d.ScanArgs(t, "team", &team)
	v := tree.NewView(tr.Snapshot(), 1)
	r, z, s := contract.RegionName(region), contract.ZoneName(zone), contract.ServiceName(service)
	var out strings.Builder
	for range 2 { // the second round comes from what the view keeps
		out.Reset()
		ss, okS := v.Service(r, z, s)
		ts, okT := v.Team(r, z, s, contract.TeamName(team))
		fmt.Fprintf(&out, "%+v\n%+v %t\n%+v %t\n", v.Zone(r, z), ss, okS, ts, okT)
	}
	return out.String()
}

// TestExamples checks that the shipped trees load, come back the same from
// their INI form, and have the sizes of today.
func TestExamples(t *testing.T) {
	engines := map[string]int{"kalahari": 12, "lantern": 11}
	for name, want := range engines {
		text, err := os.ReadFile(filepath.Join("..", "..", "examples", name+".ini"))
		if err != nil {
			t.Fatal(err)
		}
		tr := load(t, name, text)
		if again := load(t, name, tree.WriteINI(tr)); len(again.Diff(tr.Changes())) > 0 {
			t.Errorf("%s: not the same after writing", name)
		}
		if len(tr.Zones()) != 3 || len(tr.Services()) != 3 || len(tr.Teams()) != 10 {
			t.Errorf("%s: %v %v %v", name, tr.Zones(), tr.Services(), tr.Teams())
		}
		sum := 0
		for _, zone := range tr.Zones() {
			for _, service := range tr.Services() {
				e, _ := tr.At(settings.Scope{Zone: zone, Service: service}, schema.Targets)
				n := 0
				_, _ = fmt.Sscan(e.Value, &n)
				if tr.Effective(settings.Scope{Service: service}, schema.ServiceKind).Value == "model" {
					sum += n
				}
			}
		}
		if sum != want {
			t.Errorf("%s: %d engines, want %d", name, sum, want)
		}
	}
}

func FuzzParseINI(f *testing.F) {
	f.Add([]byte("[zone a service b]\nmax_running = 3\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		changes, err := tree.ParseINI("FILE", text)
		if err != nil {
			return
		}
		if _, faults := schema.CheckAll(changes); len(faults) > 0 {
			t.Fatalf("%v", faults)
		}
	})
}
