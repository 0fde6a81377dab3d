package placement

import (
	"fmt"
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/roster"
)

func coldEntries(n int) []contract.MachineID {
	list := make([]contract.MachineID, n)
	for i := range list {
		list[i] = contract.MachineID(fmt.Sprintf("entry-%d", i))
	}
	return list
}

func coldShares(self contract.MachineID, entries []contract.MachineID, bound int) ColdShares {
	return ColdShares{TotalLimit: bound, Self: self, Entries: entries, ShareCount: len(entries) + 1, StartedAt: start.Add(-time.Hour)}
}

// Guards against FAILBACK with many entries and a small bound: one request of each
// exceeded it. An entry that has just joined, and that the others do not know yet,
// must fit in as well.
func TestColdSharesOfAllEntriesHoldTheBound(t *testing.T) {
	for _, n := range []int{1, 2, 3, 9, 38} {
		for _, bound := range []int{2, 3, 11, 12, 37, 38, 39, 40, 62, 200} {
			known := coldEntries(n)
			joined := coldEntries(n + 1)
			for i := range 50 {
				target := roster.TargetID(fmt.Sprintf("target-%d", i))
				sum := 0
				for _, self := range known {
					sum += coldShares(self, known, bound).ColdLimit(start, target)
				}
				if sum < 1 {
					t.Errorf("%d entries, bound %d: nobody may send to %s", n, bound, target)
				}
				sum += coldShares(joined[n], joined, bound).ColdLimit(start, target)
				if sum > bound {
					t.Errorf("%d entries and a new one, bound %d: %d requests to %s", n, bound, sum, target)
				}
			}
		}
	}
}

// Guards against FAILBACK with a bound of one request, which leaves no spare place.
func TestOneEntrySendsToATargetThatBearsOne(t *testing.T) {
	known := coldEntries(38)
	for i := range 50 {
		target := roster.TargetID(fmt.Sprintf("target-%d", i))
		sum := 0
		for _, self := range known {
			sum += coldShares(self, known, 1).ColdLimit(start, target)
		}
		if sum != 1 {
			t.Errorf("%d entries send to %s, want one", sum, target)
		}
	}
}

// Guards against FAILBACK when an entry starts again within the second, or does not know
// yet with how many others it shares.
func TestAYoungProcessSendsNothingToAColdTarget(t *testing.T) {
	s := coldShares("entry-0", coldEntries(3), 40)
	s.StartedAt = start
	if got := s.ColdLimit(start.Add(time.Second), "x"); got != 0 {
		t.Errorf("%d requests within the first second", got)
	}
	if got := s.ColdLimit(start.Add(time.Second+time.Millisecond), "x"); got != 10 {
		t.Errorf("%d requests after the first second, want 10", got)
	}
	s.Entries, s.ShareCount = nil, 17
	if got := s.ColdLimit(start.Add(time.Minute), "x"); got != 0 {
		t.Errorf("%d requests while no entry is known", got)
	}
}

// Guards against entries that are shut out: a warm target serves all of them.
func TestEveryEntrySendsToAWarmTarget(t *testing.T) {
	for _, self := range coldEntries(38) {
		if got := coldShares(self, coldEntries(38), 12).WarmLimit(); got != 1 {
			t.Errorf("%s may send %d requests", self, got)
		}
	}
}

// Guards against FAILBACK by all entries together in any span of a second, with entries
// that are killed and start again all the while.
func TestNoSecondBringsAColdTargetMoreThanItsBound(t *testing.T) {
	const n, bound, step = 38, 12, 20 * time.Millisecond
	cold := engine("x", "a")
	cold.ColdUntil = start.Add(time.Hour)
	entries := coldEntries(n)
	pools := make([]*Pool, n)
	begin := func(i int, now time.Time) {
		pools[i] = newPool(cold)
		shares := coldShares(entries[i], entries, bound)
		shares.StartedAt = now
		pools[i].SetColdShares(shares)
	}
	for i := range n {
		begin(i, start.Add(-time.Hour))
	}
	var sends []time.Time
	for round := range 400 {
		now := start.Add(time.Duration(round) * step)
		for i, p := range pools {
			if (round+7*i)%130 == 129 {
				begin(i, now)
				continue
			}
			if _, refusal := p.Pick(now, Requirements{}, time.Hour); refusal != Placed {
				continue
			}
			p.Sent(now, "x")
			p.Ended("x")
			sends = append(sends, now)
		}
	}
	for i := bound; i < len(sends); i++ {
		if span := sends[i].Sub(sends[i-bound]); span <= coldWindow {
			t.Fatalf("%d requests within %v, the bound is %d", bound+1, span, bound)
		}
	}
	if len(sends) < 3*bound {
		t.Errorf("only %d requests in %v", len(sends), 400*step)
	}
}
