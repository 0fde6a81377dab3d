package serving

import (
	"fmt"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/settings/fixed"
	"mimosastand.example/mimosastand/zone/balancer"
)

// size describes a deployment.
type size struct {
	name   string
	zones  []balancer.Place
	model  contract.ServiceName
	plain  contract.ServiceName
	single contract.ServiceName
	// engines and plains are the targets of model and plain, entries the entry
	// hosts; all are spread over the zones in turn.
	engines, plains, entries int
	teams                    int
	// betweenZones and toCaller are one-way delays.
	betweenZones, toCaller time.Duration
}

// One engine's limits and times.
const (
	engineWarm  = 16
	engineCold  = 2
	coldFor     = 8 * time.Second
	slowStart   = 5 * time.Second
	firstToken  = 150 * time.Millisecond
	tokenGap    = 25 * time.Millisecond
	meanTokens  = 60
	plainTime   = 30 * time.Millisecond
	plainWarm   = 8
	inZoneDelay = 250 * time.Microsecond
)

func kalahari() size {
	return size{
		name:  "Kalahari",
		zones: []balancer.Place{{Region: "khomas", Zone: "khomas-a"}, {Region: "erongo", Zone: "erongo-a"}, {Region: "oshana", Zone: "oshana-a"}},
		model: "drafting-models", plain: "registry-gateway", single: "ledger-portal",
		engines: 12, plains: 3, entries: 9, teams: 10,
		betweenZones: time.Millisecond, toCaller: time.Millisecond,
	}
}

func lantern() size {
	return size{
		name:  "Lantern",
		zones: []balancer.Place{{Region: "tw-north", Zone: "taipei-a"}, {Region: "tw-central", Zone: "taichung-a"}, {Region: "tw-south", Zone: "kaohsiung-a"}},
		model: "mimosa-pool", plain: "wallet-core", single: "family-misc",
		engines: 11, plains: 3, entries: 6, teams: 10,
		betweenZones: 2 * time.Millisecond, toCaller: time.Millisecond,
	}
}

// capacity is how many model calls a second n warm engines finish.
func capacity(engines int) float64 {
	const loadedSlowdown = 1.5
	run := loadedSlowdown * (firstToken + meanTokens*tokenGap).Seconds()
	return float64(engines*engineWarm) / run
}

func team(i int) contract.TeamName {
	return contract.TeamName(fmt.Sprintf("team-%d", i))
}

var weights = contract.NewDigest([32]byte{7})

// view is the settings of the size at an offset, with zones out.
func (s size) view(offset contract.Offset, out map[contract.ZoneName]bool) *fixed.View {
	common := settings.ServiceSettings{
		Kind: settings.KindPlain, ColdRunning: engineCold, SlowStart: slowStart, QueueLength: 64, RetryShare: 0.1, Spill: true,
	}
	model := common
	model.Kind, model.Weights = settings.KindModel, weights
	v := &fixed.View{
		At: offset, Out: out, Teams: map[contract.TeamName]settings.TeamSettings{},
		Deployed: map[contract.ServiceName]settings.ServiceSettings{s.model: model, s.plain: common, s.single: common},
	}
	for i := range s.teams {
		v.Teams[team(i)] = settings.TeamSettings{Share: 1, RetryShare: 0.1, MaxPriority: 5}
	}
	return v
}
