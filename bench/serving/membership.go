package serving

import (
	"fmt"
	"io"
	"text/tabwriter"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/balancer"
)

// membership shows how many links entries and targets keep as a service grows,
// up to the size of the plan: 1,500 entries and 10,000 targets in 8 zones.
func membership(out io.Writer) error {
	fmt.Fprintf(out, "\nlinks with one service over 8 zones in 4 regions\n")
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "entries\ttargets\tlinks per entry mean\tmax\tentries per target min\tof its zone min")
	for _, n := range [][2]int{{12, 16}, {48, 100}, {150, 1000}, {750, 5000}, {1500, 10000}} {
		entries, targets := fleet(n[0], n[1])
		m := countLinks(entries, targets)
		fmt.Fprintf(table, "%d\t%d\t%.1f\t%d\t%d\t%d\n", n[0], n[1], m.mean, m.most, m.least, m.leastInZone)
	}
	return table.Flush()
}

type linkCount struct {
	mean                     float64
	most, least, leastInZone int
}

func placeOf(i int) balancer.Place {
	const zones, perRegion = 8, 2
	zone := i % zones
	return balancer.Place{
		Region: contract.RegionName(fmt.Sprintf("region-%d", zone/perRegion)),
		Zone:   contract.ZoneName(fmt.Sprintf("zone-%d", zone)),
	}
}

func fleet(entries, targets int) ([]balancer.Entry, []balancer.Member) {
	es := make([]balancer.Entry, entries)
	for i := range es {
		es[i] = balancer.Entry{Machine: contract.MachineID(fmt.Sprintf("entry-%d", i)), Place: placeOf(i)}
	}
	ts := make([]balancer.Member, targets)
	for i := range ts {
		ts[i] = balancer.Member{Machine: contract.MachineID(fmt.Sprintf("target-%d", i)), Place: placeOf(i)}
	}
	return es, ts
}

func countLinks(entries []balancer.Entry, targets []balancer.Member) linkCount {
	at := map[contract.MachineID]int{}
	inZone := map[contract.MachineID]int{}
	var m linkCount
	for _, e := range entries {
		kept := balancer.Subset(e, entries, targets)
		m.mean += float64(len(kept)) / float64(len(entries))
		m.most = max(m.most, len(kept))
		for _, t := range kept {
			at[t.Machine]++
			if t.Place == e.Place {
				inZone[t.Machine]++
			}
		}
	}
	m.least, m.leastInZone = len(entries), len(entries)
	for _, t := range targets {
		m.least = min(m.least, at[t.Machine])
		m.leastInZone = min(m.leastInZone, inZone[t.Machine])
	}
	return m
}
