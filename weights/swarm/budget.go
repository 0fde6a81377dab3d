package swarm

// Shares of a link's capacity that limit the traffic of weights next to live traffic.
const (
	// maxMachineShare is the share of a machine's own link that weights and live traffic
	// may use together.
	maxMachineShare = 0.9
	// maxRegionShare is the share of a link between regions that weights and live traffic
	// may use together.
	maxRegionShare = 0.6
	// minWeightsShare is the share that remains for weights even if live traffic fills a
	// link, so that a roll-out does not starve.
	minWeightsShare = 0.02
)

// Links holds the capacities of a machine's own link and of a link between
// regions, in bytes per second; 0 means not known.
type Links struct {
	Machine, Region int
}

// LiveTraffic is the rate of live traffic in bytes per second: Up and Down on the machine's
// own link, and Region on the busiest link to another region, summed over all machines of
// the own region.
type LiveTraffic struct {
	Up, Down, Region int
}

// SendersPerLink returns the number of machines of a region that send over one link to
// another region, given that the region order spreads the slots over the links.
func SendersPerLink(slots, targets, regions int) int {
	if regions < 2 {
		return 1
	}
	perLink := (slots + regions - 2) / (regions - 1)
	return max(min(perLink, targets), 1)
}

// BudgetFor returns the rates that live traffic leaves for weights. The rate of a link
// between regions is divided among its senders.
func BudgetFor(links Links, live LiveTraffic, senders int) Budget {
	return Budget{
		Upload:   remaining(links.Machine, live.Up, maxMachineShare),
		Download: remaining(links.Machine, live.Down, maxMachineShare),
		Region:   remaining(links.Region, live.Region, maxRegionShare) / max(senders, 1),
	}
}

// remaining returns the rate that weights may use on a link of the given capacity; 0 means
// no limit.
func remaining(capacity, live int, share float64) int {
	if capacity <= 0 {
		return 0
	}
	return max(int(share*float64(capacity))-live, int(minWeightsShare*float64(capacity)), 1)
}
