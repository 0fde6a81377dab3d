package catalog

import (
	"testing"

	"mimosastand.example/mimosastand/contract"
)

func testManifest() *Manifest {
	return New(Manifest{
		Routes: []Route{
			{Name: "all", Host: "a.example", Prefix: "/", Shares: []Share{{Service: "s", Weight: 1}}},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Shares: []Share{{Service: "s", Weight: 90}, {Service: "t", Weight: 10}}},
			{Name: "mid", Host: "a.example", Prefix: "/x/"},
		},
		Services: []Service{{Name: "s"}, {Name: "w", Origin: &Origin{Address: "10.0.0.1:1", Zone: "z"}}},
		Teams:    []Team{{Name: "team", Keys: []string{"k1", "k2"}}},
	})
}

func TestRoutePrefersLongestPrefix(t *testing.T) {
	m := testManifest()
	for path, want := range map[string]string{"/x/y/z": "deep", "/x/z": "mid", "/q": "all", "/x": "all"} {
		if r := m.Route("a.example", path); r == nil || r.Name != want {
			t.Errorf("Route(a.example, %s) = %v, want %s", path, r, want)
		}
	}
	if r := m.Route("b.example", "/x/"); r != nil {
		t.Errorf("Route(b.example, /x/) = %s, want none", r.Name)
	}
}

func TestRoutePickFollowsWeights(t *testing.T) {
	r := testManifest().Route("a.example", "/x/y/")
	for point, want := range map[float64]contract.ServiceName{0: "s", 0.89: "s", 0.91: "t", 0.999: "t"} {
		if got := r.Pick(point); got != want {
			t.Errorf("Pick(%v) = %s, want %s", point, got, want)
		}
	}
}

func TestTeamByKey(t *testing.T) {
	m := testManifest()
	if team := m.Team("k2"); team == nil || team.Name != "team" {
		t.Errorf("Team(k2) = %v, want team", team)
	}
	if m.Team("other") != nil || m.Team("") != nil {
		t.Error("Team() returned a team for an unknown key, want nil")
	}
}

func TestRegionAllowedChecksRouteAndTeam(t *testing.T) {
	a, b := []contract.RegionName{"a"}, []contract.RegionName{"a", "b"}
	for _, c := range []struct {
		region      contract.RegionName
		route, team []contract.RegionName
		want        bool
	}{
		{"a", nil, nil, true},
		{"a", a, b, true},
		{"b", a, b, false},
		{"b", nil, b, true},
		{"c", nil, b, false},
	} {
		if got := RegionAllowed(c.region, c.route, c.team); got != c.want {
			t.Errorf("RegionAllowed(%s, %v, %v) = %v, want the opposite", c.region, c.route, c.team, got)
		}
	}
}

func TestIsRepeatableByKind(t *testing.T) {
	for _, c := range []struct {
		route Route
		want  bool
	}{
		{Route{Kind: Idempotent}, true},
		{Route{Kind: NonIdempotent}, false},
		{Route{Kind: Streaming}, false},
		{Route{Kind: Streaming, Resumable: true}, true},
		{Route{Kind: NonIdempotent, Resumable: true}, false},
	} {
		if got := c.route.IsRepeatable(); got != c.want {
			t.Errorf("IsRepeatable() of %+v = %v, want the opposite", c.route, got)
		}
	}
}

func TestOrigin(t *testing.T) {
	if got := testManifest().Origin(); got.Address != "10.0.0.1:1" || got.Zone != "z" {
		t.Errorf("Origin() = %+v, want {10.0.0.1:1 z}", got)
	}
}

// Guards against services that queue requests although all of them are equally urgent, and against
// ranks that only teams make being missed.
func TestRankedServicesHaveSeveralPriorities(t *testing.T) {
	shares := func(s contract.ServiceName) []Share { return []Share{{Service: s, Weight: 1}} }
	routes := []Route{{Shares: shares("a")}, {Priority: 1, Shares: shares("a")}, {Priority: 1, Shares: shares("b")}, {Priority: 1, Shares: shares("b")}}
	m := New(Manifest{Routes: routes})
	if !m.IsRanked("a") || m.IsRanked("b") || m.IsRanked("c") {
		t.Errorf("IsRanked() = %v, %v, %v, want true only for a service with two priorities", m.IsRanked("a"), m.IsRanked("b"), m.IsRanked("c"))
	}
	team := Team{Name: "t", HasPriority: true}
	if m := New(Manifest{Routes: routes, Teams: []Team{team}}); !m.IsRanked("b") {
		t.Error("IsRanked() = false for a service with a team of another priority, want true")
	}
	if got := routes[1].Rank(&team); got != 0 || routes[1].Rank(nil) != 1 {
		t.Errorf("Rank() = %d with a team of priority 0, and %d without, want 0 and 1", got, routes[1].Rank(nil))
	}
}
