package swarm

// Shares of a link that weights may use beside live traffic.
const (
	// machineShare is the part of a machine's link that may be used in all.
	machineShare = 0.9
	// regionShare is the part of a link between regions that may be used in all.
	regionShare = 0.6
	// floorShare is what weights keep even if live traffic fills a link, so that
	// a roll-out does not starve.
	floorShare = 0.02
)

// Links holds the capacities of a machine's own link and of a link between
// regions, in bytes a second; 0 means not known.
type Links struct {
	Machine, Region int
}

// Live is what live traffic uses, in bytes a second: of the machine's own link
// by direction, and of the busiest link to another region by all machines of the
// own region.
type LiveTraffic struct {
	Up, Down, Region int
}

// Senders is how many machines of a region send over one link to another
// region: the region order spreads the slots over the links.
func SendersPerLink(slots, targets, regions int) int {
	if regions < 2 {
		return 1
	}
	perLink := (slots + regions - 2) / (regions - 1)
	return max(min(perLink, targets), 1)
}

// BudgetFor returns what live traffic leaves to weights. A link between regions
// is divided among its senders.
func BudgetFor(links Links, live LiveTraffic, senders int) Budget {
	return Budget{
		Upload:   leftOver(links.Machine, live.Up, machineShare),
		Download: leftOver(links.Machine, live.Down, machineShare),
		Region:   leftOver(links.Region, live.Region, regionShare) / max(senders, 1),
	}
}

func leftOver(capacity, live int, share float64) int {
	if capacity <= 0 {
		return 0
	}
	return max(int(share*float64(capacity))-live, int(floorShare*float64(capacity)), 1)
}
