package upkeep

import "testing"

// At the start of a fleet every target comes before its engine: none may fetch what
// the engine is about to show.
func TestNothingIsFetchedForAnEngineThatIsStillToStart(t *testing.T) {
	for name, c := range map[string]struct {
		need Need
		want bool
	}{
		"still to start":              {Need{Wanted: FirstVersion}, false},
		"started with its weights":    {Need{Up: true, Loaded: 1, Wanted: 1}, false},
		"added empty":                 {Need{Up: true, Wanted: 1}, true},
		"gone, coming back empty":     {Need{SeenUp: true, Wanted: 1}, true},
		"machine back after its loss": {Need{Returned: true, Wanted: 1}, true},
		"still to start, later named": {Need{Wanted: 2}, true},
		"a version behind":            {Need{Up: true, Loaded: 1, Wanted: 2, SeenUp: true}, true},
		"ahead":                       {Need{Up: true, Loaded: 3, Wanted: 2, SeenUp: true}, false},
	} {
		if got := c.need.Fetch(); got != c.want {
			t.Errorf("%s: fetch %v", name, got)
		}
	}
}
