package main

import (
	"fmt"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/harness"
)

const (
	modelService contract.ServiceName = "drafting-models"
	plainService contract.ServiceName = "registry-gateway"
	// zoneOut is the zone that leaves and returns.
	zoneOut contract.ZoneName = "erongo-a"
)

var teams = []contract.TeamName{"church-trusts", "charities-coast", "volunteers"}

func spec() harness.Spec {
	return harness.Spec{
		Zones: []harness.Zone{
			{Name: "khomas-a", Region: "khomas"},
			{Name: "erongo-a", Region: "erongo"},
			{Name: "oshana-a", Region: "oshana"},
		},
		Services: []harness.Service{
			{Name: modelService, Model: true, PerZone: 2},
			{Name: plainService, PerZone: 1},
		},
		EntriesPerZone: 1,
		EngineOptions: map[string]string{
			"cold_start": "1500ms", "cold_limit": "2", "warm_limit": "12",
			"token_delay": "15ms", "prefill_delay": "30ms", "report_lag": "300ms", "fencing": "true",
		},
		OriginOptions: map[string]string{"rate": fmt.Sprint(originBytesPerSecond)},
	}
}

// originBytesPerSecond paces the origin's link.
const originBytesPerSecond = 32 << 20

// settingsFile is the tree that the demo starts with, and sizing fits it to the
// demo's fewer targets and shorter times.
const settingsFile = "examples/kalahari.ini"

func sizing(zones []harness.Zone) []string {
	args := []string{"set", "service " + string(modelService), "targets=6"}
	changes := []string{"max_running=12", "slow_start=2s", "min_ready=0.5"}
	for _, z := range zones {
		changes = append(changes, fmt.Sprintf("zone %s service %s: targets=2", z.Name, modelService))
	}
	for _, c := range changes {
		args = append(args, "--also", c)
	}
	return args
}
