package upgrade

import "testing"

// When a fleet starts, every target starts before its engine. No target may fetch weights
// that its engine is about to report as loaded.
func TestNoFetchBeforeFirstEngineStart(t *testing.T) {
	for name, c := range map[string]struct {
		state FetchState
		want  bool
	}{
		"not started yet":            {FetchState{Desired: FirstVersion}, false},
		"started with its weights":   {FetchState{Up: true, Loaded: 1, Desired: 1}, false},
		"added empty":                {FetchState{Up: true, Desired: 1}, true},
		"down, will restart empty":   {FetchState{HasBeenUp: true, Desired: 1}, true},
		"machine back after failure": {FetchState{Returned: true, Desired: 1}, true},
		"not started, later version": {FetchState{Desired: 2}, true},
		"one version behind":         {FetchState{Up: true, Loaded: 1, Desired: 2, HasBeenUp: true}, true},
		"loaded, not proved":         {FetchState{Up: true, Loaded: 2, Desired: 2, Unproved: true}, true},
		"older, not proved":          {FetchState{Up: true, Loaded: 3, Desired: 2, Unproved: true}, false},
		"ahead":                      {FetchState{Up: true, Loaded: 3, Desired: 2, HasBeenUp: true}, false},
	} {
		if got := c.state.ShouldFetch(); got != c.want {
			t.Errorf("%s: ShouldFetch() = %v, want the opposite", name, got)
		}
	}
}
