package cli

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"mimosastand.example/mimosastand/machine/entry/placementreport"
)

// ErrWouldRefuse marks the report of a request that would be refused now.
var ErrWouldRefuse = errors.New("the request would be refused")

// RegisterExplainPlacement attaches the command "placement" to the command "explain".
func (s *CommandSet) RegisterExplainPlacement(explain *flaggy.Subcommand) {
	var address string
	var q placementreport.Query
	sub := s.newSubcommand("placement", "say where a request would go now and why, without sending it",
		"mimosastand explain placement --entry 10.0.0.1:9102 --host accounts.example --path /chat/x --team forms --prompt 900")
	sub.String(&address, "e", "entry", "metrics address of an entry, such as 10.0.0.1:9102")
	sub.String(&q.Service, "s", "service", "the request's service; the first route that leads there is taken unless host and path are given")
	sub.String(&q.Host, "", "host", "the host that the request names")
	sub.String(&q.Path, "p", "path", "the request's path")
	sub.String(&q.Team, "t", "team", "name of the caller's team")
	sub.Float64(&q.PromptTokens, "", "prompt", "tokens of the prompt")
	sub.Float64(&q.AnswerTokens, "", "answer", "the caller's estimate of the tokens of the answer")
	sub.Int64(&q.Version, "", "weights", "the only version of the weights that may answer, as for a stream that has begun")
	sub.String(&s.common.output, "o", "output", "text or json")
	s.commands = append(s.commands, &command{sub: sub, local: true, run: func(ctx context.Context, e *environment) error {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return errors.Mark(errors.New("--entry must be the metrics address of an entry, such as 10.0.0.1:9102"), ErrUsage)
		}
		if err := q.Check(); err != nil {
			return errors.Mark(err, ErrUsage)
		}
		return e.explainPlacement(ctx, address, q)
	}})
	explain.AttachSubcommand(sub, 1)
}

// explainPlacement prints the report of an entry.
func (e *environment) explainPlacement(ctx context.Context, address string, q placementreport.Query) error {
	var report placementreport.Report
	entry := newClient([]string{"http://" + address}, "")
	if err := entry.get(ctx, placementreport.Path+"?"+q.Values().Encode(), &report); err != nil {
		return errors.Wrapf(err, "entry %s", address)
	}
	print := e.printPlacement
	if e.output == outputJSON {
		print = func(r placementreport.Report) error { return e.printJSON(r) }
	}
	if err := print(report); err != nil {
		return err
	}
	if report.Target == "" {
		return errors.Mark(errors.Newf("the request would be refused: %s", report.Reason), ErrWouldRefuse)
	}
	return nil
}

// printPlacement prints a report as text.
func (e *environment) printPlacement(r placementreport.Report) error {
	_, _ = fmt.Fprintf(e.out, "%s, manifest %d: route %s, service %s", r.Machine, r.Manifest, r.Route, r.Service)
	if r.Team != "" {
		_, _ = fmt.Fprintf(e.out, ", team %s", r.Team)
	}
	_, _ = fmt.Fprintf(e.out, "; first event due within %d ms", r.LimitMS)
	if r.OldestVersion > 0 {
		_, _ = fmt.Fprintf(e.out, ", on version %d or newer", r.OldestVersion)
	}
	if r.Target != "" {
		_, _ = fmt.Fprintf(e.out, "\nwould go to %s\n", r.Target)
	} else {
		_, _ = fmt.Fprintf(e.out, "\nwould be refused: %s", r.Reason)
		if r.MayWaitMS > 0 {
			_, _ = fmt.Fprintf(e.out, ", unless a target has room within %d ms", r.MayWaitMS)
		}
		_, _ = fmt.Fprintf(e.out, "; Retry-After %v\n", time.Duration(r.RetryAfterMS)*time.Millisecond)
	}
	w := e.newTable()
	_, _ = fmt.Fprintln(w, "TARGET\tZONE\tVERSION\tSTATE\tFIRST MS\tLOAD\tSLOTS\tOWN\tPACE")
	for _, t := range r.Targets {
		first, pace := "-", "-"
		if t.FirstMS != nil {
			first = strconv.FormatInt(*t.FirstMS, 10)
		}
		if t.Pace > 0 {
			pace = strconv.Itoa(t.Pace)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%.1f\t%d\t%d\t%s\n", t.ID, t.Zone, t.Version, t.Exclusion, first, t.Load, t.Slots, t.OwnInFlight, pace)
	}
	return w.Flush()
}
