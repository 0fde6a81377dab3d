package roster

import (
	"testing"
	"time"
)

// Guards against entries that write to all their peers with each report of any target that it still
// runs: only what decides which requests a target gets is news.
func TestOnlyChangesOfUseAreNews(t *testing.T) {
	now := time.Unix(1000, 0)
	listed := Target{ID: "x", Address: "x:1", Born: 1, Seq: 1, Model: &Model{Name: "m", Version: 1, Layers: 16}}
	for name, c := range map[string]struct {
		change func(*Target)
		want   bool
	}{
		"nothing":       {func(*Target) {}, false},
		"next report":   {func(t *Target) { t.Seq++ }, false},
		"leaves":        {func(t *Target) { t.Leaving = true }, true},
		"started again": {func(t *Target) { t.Born++ }, true},
		"other address": {func(t *Target) { t.Address = "y:1" }, true},
		"cold":          {func(t *Target) { t.ColdLeft = time.Second }, true},
		"other version": {func(t *Target) { t.Model = &Model{Name: "m", Version: 2, Layers: 16} }, true},
		"no layers":     {func(t *Target) { t.Model = nil }, true},
	} {
		r := New(0)
		r.Update(now, listed, time.Time{})
		changed := listed
		c.change(&changed)
		if got := r.Member("x").DiffersFrom(now, changed); got != c.want {
			t.Errorf("%s: DiffersFrom() = %v, want %v", name, got, c.want)
		}
	}
	cold := listed
	cold.ColdLeft = 2 * time.Second
	r := New(0)
	r.Update(now, cold, time.Time{})
	if r.Member("x").DiffersFrom(now.Add(time.Second), cold) {
		t.Error("a target that is known to be cold: DiffersFrom() = true, want false")
	}
}
