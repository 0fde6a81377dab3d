package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/integrii/flaggy"

	"mimosastand.example/mimosastand/cli"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/placementreport"
	"mimosastand.example/mimosastand/machine/entry/problem"
)

// Guards against reports that do not say where a request would go and why, or whose exit code does not
// tell one end from another.
func TestExplainPlacement(t *testing.T) {
	first := int64(140)
	reports := map[string]placementreport.Report{
		"models": {Machine: "entry-1", Manifest: 7, Route: "chat", Service: "models", Team: "forms", LimitMS: 400, OldestVersion: 3, Target: "target-1", Targets: []placementreport.Target{
			{ID: "target-1", Zone: "a", Version: 3, Exclusion: "free", FirstMS: &first, Load: 4.5, Slots: 12, OwnInFlight: 1, Pace: 250},
			{ID: "target-2", Zone: "b", Version: 2, Exclusion: "other_version", Slots: 12},
		}},
		"full": {Machine: "entry-1", Manifest: 7, Route: "chat", Service: "full", LimitMS: 400, Reason: "target_full", MayWaitMS: 50, RetryAfterMS: 1250, Targets: []placementreport.Target{}},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q, err := placementreport.Parse(r.URL.Query())
		report, ok := reports[q.Service]
		switch {
		case err != nil || r.URL.Path != placementreport.Path:
			t.Errorf("request of %s: %v", r.URL, err)
		case r.Header.Get("Authorization") != "":
			t.Error("the request has credentials, want none")
		case q.Service == "starting":
			problem.New(http.StatusServiceUnavailable, contract.ReasonSettingsNotReady, contract.OutcomeNotRun, "").Write(w)
			return
		case !ok:
			p := problem.New(http.StatusNotFound, contract.ReasonUnknownService, contract.OutcomeNotRun, "")
			p.Detail = "no route leads to a service " + q.Service
			p.Write(w)
			return
		}
		_ = json.NewEncoder(w).Encode(report)
	}))
	defer server.Close()
	entry := strings.TrimPrefix(server.URL, "http://")
	for line, want := range map[string]struct {
		code  int
		texts []string
	}{
		"--entry ENTRY --service models --team forms --prompt 900.5 --answer 100 --weights 3": {cli.ExitOK, []string{"would go to target-1", "route chat, service models, team forms",
			"target-1  a     3        free           140       4.5   12     1    250", "target-2  b     2        other_version  -         0.0   12     0    -"}},
		"--entry ENTRY --service models -o json":            {cli.ExitOK, []string{`"target": "target-1"`, `"first_ms": 140`, `"pace": 250`}},
		"--entry ENTRY --service full":                      {cli.ExitWouldRefuse, []string{"would be refused: target_full, unless a target has room within 50 ms; Retry-After 1.25s"}},
		"--entry ENTRY --service full -o json":              {cli.ExitWouldRefuse, []string{`"reason": "target_full"`, `"retry_after_ms": 1250`}},
		"--entry ENTRY --host accounts.example --path /x/y": {cli.ExitRefused, []string{"unknown_service: no route"}},
		"--entry ENTRY --service starting":                  {cli.ExitUnavailable, []string{"settings_not_ready"}},
		"--entry 127.0.0.1:1 --service models":              {cli.ExitUnavailable, []string{"entry 127.0.0.1:1: no server answered"}},
		"--service models":                                  {cli.ExitUsage, []string{"--entry must be"}},
		"--entry ENTRY":                                     {cli.ExitUsage, []string{"a service, or a host and a path, must be given"}},
		"--entry ENTRY --host accounts.example":             {cli.ExitUsage, []string{"a path must be given"}},
		"--entry ENTRY --service models --prompt -1":        {cli.ExitUsage, []string{"sizes must be"}},
		"--entry ENTRY --service models -o yaml":            {cli.ExitUsage, []string{"--output must be"}},
	} {
		parser, explain := flaggy.NewParser("mimosastand"), flaggy.NewSubcommand("explain")
		set := cli.Register(parser)
		set.RegisterExplainPlacement(explain)
		parser.AttachSubcommand(explain, 1)
		if err := parser.ParseArgs(strings.Fields("explain placement " + strings.ReplaceAll(line, "ENTRY", entry))); err != nil || !set.Used() {
			t.Fatalf("%s: used %v, %v", line, set.Used(), err)
		}
		var out bytes.Buffer
		code := set.Run(context.Background(), &out, &out)
		missing := ""
		for _, text := range want.texts {
			if !strings.Contains(out.String(), text) {
				missing += fmt.Sprintf(" %q", text)
			}
		}
		if code != want.code || missing != "" {
			t.Errorf("%s: exit code %d, want %d; missing%s in\n%s", line, code, want.code, missing, out.String())
		}
	}
}
