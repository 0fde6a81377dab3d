package direct

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/placementreport"
	"mimosastand.example/mimosastand/machine/entry/problem"
	"mimosastand.example/mimosastand/machine/entry/retry"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/placement"
)

// placementHandler answers where a request would go now and why, without sending it.
type placementHandler struct{ entry *Entry }

// ServeHTTP implements http.Handler. Errors are problems in JSON: 400 for a query that is not valid, 401
// if the route needs a team, 404 for an unknown route, service or team, and 503 while the entry is not
// ready.
func (h placementHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		w.Header().Set("Allow", "GET, HEAD")
		writeReportProblem(w, http.StatusMethodNotAllowed, contract.ReasonBadRequest, "the report is read with GET")
		return
	}
	query, err := placementreport.Parse(r.URL.Query())
	if err != nil {
		writeReportProblem(w, http.StatusBadRequest, contract.ReasonBadRequest, err.Error())
		return
	}
	manifest := h.entry.fleet.currentManifest()
	if manifest == nil || !h.entry.fleet.ready() {
		writeReportProblem(w, http.StatusServiceUnavailable, contract.ReasonSettingsNotReady, "the entry has not read the manifest and the list of targets yet")
		return
	}
	c, status, detail := h.entry.plannedCall(manifest, query)
	if status != http.StatusOK {
		reason := contract.ReasonUnknownService
		if status == http.StatusUnauthorized {
			reason = contract.ReasonUnauthorized
		}
		writeReportProblem(w, status, reason, detail)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The reader has left if this fails.
	_ = json.NewEncoder(w).Encode(c.explainPlacement())
}

func writeReportProblem(w http.ResponseWriter, status int, reason contract.Reason, detail string) {
	p := problem.New(status, reason, contract.OutcomeNotRun, "")
	p.Detail = detail
	p.Write(w)
}

// plannedCall returns the request that a query describes, as it would be before its first attempt. If
// there is no such request, it returns the status of the answer and why.
func (e *Entry) plannedCall(m *catalog.Manifest, q placementreport.Query) (c *call, status int, detail string) {
	c = &call{
		entry: e, arrived: time.Now(), manifest: m.Version, service: contract.ServiceName(q.Service), pinnedVersion: q.Version,
		info: platform.Call{PromptTokens: q.PromptTokens, AnswerEstimate: q.AnswerTokens},
	}
	leadsTo := func(r *catalog.Route) bool {
		return slices.ContainsFunc(r.Shares, func(s catalog.Share) bool { return s.Service == c.service })
	}
	switch {
	case q.Host != "":
		c.route = m.Route(strings.ToLower(q.Host), q.Path)
		if c.route == nil {
			return nil, http.StatusNotFound, "no route serves host " + q.Host + " and path " + q.Path
		}
		if c.service == "" {
			c.service = c.route.Pick(rand.Float64())
		} else if !leadsTo(c.route) {
			return nil, http.StatusNotFound, "route " + c.route.Name + " does not lead to service " + q.Service
		}
	default:
		i := slices.IndexFunc(m.Routes, func(r catalog.Route) bool { return leadsTo(&r) })
		if i < 0 {
			return nil, http.StatusNotFound, "no route leads to a service " + q.Service
		}
		c.route = &m.Routes[i]
	}
	if i := slices.IndexFunc(m.Teams, func(t catalog.Team) bool { return string(t.Name) == q.Team }); i >= 0 {
		c.team = &m.Teams[i]
	}
	switch {
	case c.team == nil && q.Team != "":
		return nil, http.StatusNotFound, "there is no team " + q.Team
	case c.team == nil && m.HasTeams() && !c.route.Anonymous:
		return nil, http.StatusUnauthorized, "route " + c.route.Name + " serves only teams: give one"
	}
	c.setDeadline()
	return c, http.StatusOK, ""
}

// explainPlacement reports where the request would go now.
func (c *call) explainPlacement() placementreport.Report {
	limit := c.firstEventLimit()
	req := c.requirements(limit)
	explanation, retryAfter := c.entry.fleet.explainPlacement(c.service, req, limit)
	report := placementreport.Report{
		Machine: string(c.entry.fleet.process.Machine), Manifest: c.manifest, Route: c.route.Name, Service: string(c.service),
		LimitMS: limit.Milliseconds(), OldestVersion: req.MinVersion, Targets: []placementreport.Target{},
	}
	if c.team != nil {
		report.Team = string(c.team.Name)
	}
	if explanation.Refusal == placement.Placed {
		report.Target = string(explanation.Choice.ID)
	} else {
		report.Reason, report.RetryAfterMS = string(refusalReason(explanation.Refusal)), retryAfter.Milliseconds()
		if !isFinal(explanation.Refusal) {
			report.MayWaitMS = (c.route.Objective / arrivalWaitDivisor).Milliseconds()
		}
	}
	for _, t := range explanation.Targets {
		target := placementreport.Target{
			ID: string(t.ID), Address: t.Address, Zone: string(t.Zone), Version: t.Version, Exclusion: t.Exclusion.String(),
			Load: t.Load, Slots: t.Slots, OwnInFlight: t.OwnInFlight, Pace: t.Pace,
		}
		if t.Exclusion == placement.NotExcluded || t.Exclusion == placement.ExcludedFull {
			first := t.Delay.Milliseconds()
			target.FirstMS = &first
		}
		report.Targets = append(report.Targets, target)
	}
	return report
}

// explainPlacement tells where an attempt whose first event is due within limit would go, and after which
// time a refused caller would be told to retry. It changes no state.
func (fs *fleetState) explainPlacement(service contract.ServiceName, req placement.Requirements, limit time.Duration) (placement.Explanation, time.Duration) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	now := time.Now()
	explanation := fs.pool(service).Explain(now, req, limit)
	wait := explanation.Wait
	if !explanation.CanServe {
		wait = noTargetRetryAfter
	}
	var estimator retry.ReturnEstimator
	if known, ok := fs.returnEstimators[service]; ok {
		estimator = *known
	}
	return explanation, estimator.RetryAfter(now, wait, rand.Float64())
}
