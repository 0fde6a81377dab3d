package main

import (
	"fmt"
	"strings"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/harness"
)

const (
	modelService contract.ServiceName = "drafting-models"
	plainService contract.ServiceName = "registry-gateway"
	// zoneOut is the zone that leaves and returns.
	zoneOut contract.ZoneName = "erongo-a"
)

var teams = []contract.TeamName{"windhoek-trust", "coast-funds", "oshana-church"}

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

// settingsINI is the tree that the demo starts with.
func settingsINI(zones []harness.Zone) string {
	var b strings.Builder
	b.WriteString("[defaults]\nmax_running = 12\ncold_running = 2\nslow_start = 2s\nmin_ready = 0.5\n\n")
	for _, z := range zones {
		fmt.Fprintf(&b, "[zone %s]\nregion = %s\nentries = 1\n\n", z.Name, z.Region)
	}
	fmt.Fprintf(&b, "[service %s]\nkind = model\ntargets = 6\n\n", modelService)
	fmt.Fprintf(&b, "[service %s]\nkind = plain\ntargets = 3\n\n", plainService)
	for _, t := range teams {
		fmt.Fprintf(&b, "[team %s]\nshare = 1\n\n", t)
	}
	return b.String()
}
