package link

import (
	"testing"
	"time"
)

// TestBeatIntervalBoundsTheBytes checks that the interval grows with the number
// of connections and never so far that a beating peer looks silent.
func TestBeatIntervalBoundsTheBytes(t *testing.T) {
	c := Config{}.withDefaults()
	for dialed, want := range map[int]time.Duration{
		0:                       c.Heartbeat,
		c.FullRateLinks:         c.Heartbeat,
		c.FullRateLinks * 3 / 2: c.Heartbeat * 3 / 2,
		c.FullRateLinks * 1000:  c.SilentAfter / 2,
	} {
		if got := c.beatInterval(RoleEntry, dialed); got != want {
			t.Errorf("%d links: %v, want %v", dialed, got, want)
		}
	}
	slow := Config{Heartbeat: 2 * time.Second, SilentAfter: 3 * time.Second}.withDefaults()
	if got := slow.beatInterval(RoleEntry, 1000); got != slow.Heartbeat {
		t.Errorf("the interval fell to %v", got)
	}
}

func TestTargetsHaveTheirOwnInterval(t *testing.T) {
	c := Config{Heartbeat: 200 * time.Millisecond, TargetHeartbeat: time.Second}.withDefaults()
	if got := c.beatInterval(RoleTarget, 1); got != time.Second {
		t.Errorf("towards a target: %v", got)
	}
	if got := c.beatInterval(RoleEntry, 1); got != 200*time.Millisecond {
		t.Errorf("towards an entry: %v", got)
	}
	if got := (Config{}.withDefaults()).beatInterval(RoleTarget, 1); got != defaultHeartbeat {
		t.Errorf("without a setting: %v", got)
	}
}
