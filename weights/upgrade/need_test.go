package upgrade

import "testing"

// At the start of a fleet every target comes before its engine: none may fetch what
// the engine is about to show.
func TestNothingIsFetchedForAnEngineThatIsStillToStart(t *testing.T) {
	for name, c := range map[string]struct {
		need FetchState
		want bool
	}{
		"still to start":              {FetchState{Desired: FirstVersion}, false},
		"started with its weights":    {FetchState{Up: true, Loaded: 1, Desired: 1}, false},
		"added empty":                 {FetchState{Up: true, Desired: 1}, true},
		"gone, coming back empty":     {FetchState{HasBeenUp: true, Desired: 1}, true},
		"machine back after its loss": {FetchState{Returned: true, Desired: 1}, true},
		"still to start, later named": {FetchState{Desired: 2}, true},
		"a version behind":            {FetchState{Up: true, Loaded: 1, Desired: 2, HasBeenUp: true}, true},
		"ahead":                       {FetchState{Up: true, Loaded: 3, Desired: 2, HasBeenUp: true}, false},
	} {
		if got := c.need.ShouldFetch(); got != c.want {
			t.Errorf("%s: fetch %v", name, got)
		}
	}
}
