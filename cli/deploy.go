package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/admin/wire"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/settings/schema"
)

const pollInterval = 500 * time.Millisecond

// rollout holds the flags of commands that change a version.
type rollout struct {
	mutation
	service string
	wait    bool
	live    bool
	timeout time.Duration
}

func (r *rollout) flags(sub *flaggy.Subcommand) {
	const defaultTimeout = 30 * time.Minute
	r.timeout = defaultTimeout
	sub.AddPositionalValue(&r.service, "service", 1, true, "name of the model deployment")
	sub.Bool(&r.wait, "w", "wait", "wait until every target that the settings expect serves the version, and show the progress")
	sub.Bool(&r.live, "", "live", "with --wait: only the targets that are live")
	sub.Duration(&r.timeout, "", "timeout", "how long to wait")
	r.mutation.flags(sub)
}

func (r *rollout) check() error {
	if !settings.IsName(r.service) {
		return errors.Mark(errors.Newf("%q is no name of a service", r.service), ErrUsage)
	}
	return nil
}

func (s *CommandSet) registerDeploy(p *flaggy.Parser) {
	var r rollout
	var weights, adapters string
	sub := s.newCommand("deploy", "deploy a version of a model", "mimosastand deploy drafting-models --weights blake3:6b1c... --wait")
	sub.String(&weights, "", "weights", "digest of the version, as weights publish prints it")
	sub.String(&adapters, "", "adapters", "adapters to load, separated by commas")
	r.flags(sub)
	s.add(sub, func(ctx context.Context, e *environment) error {
		if err := r.check(); err != nil {
			return err
		}
		if !contract.Digest(weights).Valid() {
			return errors.Mark(errors.New("--weights must be blake3: and 64 hexadecimal digits"), ErrUsage)
		}
		req := wire.DeployRequest{ActionRequest: r.action(), Weights: contract.Digest(weights)}
		if adapters != "" {
			req.Adapters = schema.List(adapters)
		}
		return e.rollOut(ctx, &r, "deploy", req.ID, req)
	})
	p.AttachSubcommand(sub, 1)
	s.registerRollback(p)
}

func (s *CommandSet) registerRollback(p *flaggy.Parser) {
	var r rollout
	sub := s.newCommand("rollback", "go back to the former version in one change", "mimosastand rollback drafting-models --wait")
	r.flags(sub)
	s.add(sub, func(ctx context.Context, e *environment) error {
		if err := r.check(); err != nil {
			return err
		}
		req := r.action()
		return e.rollOut(ctx, &r, "rollback", req.ID, req)
	})
	p.AttachSubcommand(sub, 1)
}

// rollOut sends the change and, if asked to, waits until it is done.
func (e *environment) rollOut(ctx context.Context, r *rollout, action, id string, body any) error {
	if err := e.send(ctx, wire.PathServices+"/"+r.service+"/"+action, id, body); err != nil {
		return err
	}
	if !r.wait {
		return nil
	}
	return e.watch(ctx, contract.ServiceName(r.service), r.live, r.timeout)
}

// watch polls the status until every target, or every live one, serves the
// deployed version. It looks at least once, however short the limit is.
func (e *environment) watch(ctx context.Context, service contract.ServiceName, live bool, limit time.Duration) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	end := time.NewTimer(limit)
	defer end.Stop()
	last := ""
	for {
		var st wire.Status
		err := e.client.get(ctx, wire.PathStatus, &st)
		if err == nil {
			done, line := progress(st, service, live)
			if line != last {
				_, _ = fmt.Fprintln(e.err, line)
				last = line
			}
			if done {
				return nil
			}
		}
		select {
		case <-ticker.C:
			continue
		case <-end.C:
		case <-ctx.Done():
		}
		return errors.Mark(errors.Newf("%s is not on its version on all targets: %s", service, last), ErrFailed)
	}
}

// progress describes how far a service's version has come.
func progress(st wire.Status, service contract.ServiceName, live bool) (bool, string) {
	for _, s := range st.Services {
		if s.Service != service {
			continue
		}
		total := s.Live
		if !live {
			total = max(s.Live, s.Expected)
		}
		line := fmt.Sprintf("%s %s %s %d of %d targets", service, s.Weights.Short(), bar(s.Deployed, total), s.Deployed, total)
		return s.Live > 0 && s.Deployed >= total, line
	}
	return false, string(service) + " is not known yet"
}

func bar(done, total int) string {
	const width = 20
	filled := 0
	if total > 0 {
		filled = min(width, done*width/total)
	}
	return "[" + strings.Repeat("#", filled) + strings.Repeat(".", width-filled) + "]"
}
