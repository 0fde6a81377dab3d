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

// pollInterval is the interval at which awaitRollout reads the status.
const pollInterval = 500 * time.Millisecond

// rolloutFlags holds the arguments of commands that change the version of a model.
type rolloutFlags struct {
	changeFlags
	service string
	wait    bool
	live    bool
	timeout time.Duration
}

// register adds the arguments to a subcommand.
func (f *rolloutFlags) register(sub *flaggy.Subcommand) {
	const defaultTimeout = 30 * time.Minute
	f.timeout = defaultTimeout
	sub.AddPositionalValue(&f.service, "service", 1, true, "name of the model deployment")
	sub.Bool(&f.wait, "w", "wait", "wait until every target that the settings expect serves the version, and show the progress")
	sub.Bool(&f.live, "", "live", "with --wait: only the targets that are live")
	sub.Duration(&f.timeout, "", "timeout", "how long to wait")
	f.changeFlags.register(sub)
}

// checkService fails unless the service has a valid name.
func (f *rolloutFlags) checkService() error {
	if !settings.IsName(f.service) {
		return errors.Mark(errors.Newf("%q is not a valid service name", f.service), ErrUsage)
	}
	return nil
}

func (s *CommandSet) registerDeploy(p *flaggy.Parser) {
	var f rolloutFlags
	var weights, adapters string
	sub := s.newSubcommand("deploy", "deploy a version of a model", "mimosastand deploy drafting-models --weights blake3:6b1c... --wait")
	sub.String(&weights, "", "weights", "digest of the version, as weights publish prints it")
	sub.String(&adapters, "", "adapters", "adapters to load, separated by commas")
	f.register(sub)
	s.addCommand(sub, func(ctx context.Context, e *environment) error {
		if err := f.checkService(); err != nil {
			return err
		}
		if !contract.Digest(weights).Valid() {
			return errors.Mark(errors.New("--weights must be blake3: and 64 hexadecimal digits"), ErrUsage)
		}
		req := wire.DeployRequest{ActionRequest: f.newActionRequest(), Weights: contract.Digest(weights)}
		if adapters != "" {
			req.Adapters = schema.List(adapters)
		}
		return e.rollOut(ctx, &f, "deploy", req.ID, req)
	})
	p.AttachSubcommand(sub, 1)
	s.registerRollback(p)
}

func (s *CommandSet) registerRollback(p *flaggy.Parser) {
	var f rolloutFlags
	sub := s.newSubcommand("rollback", "go back to the former version in one change", "mimosastand rollback drafting-models --wait")
	f.register(sub)
	s.addCommand(sub, func(ctx context.Context, e *environment) error {
		if err := f.checkService(); err != nil {
			return err
		}
		req := f.newActionRequest()
		return e.rollOut(ctx, &f, "rollback", req.ID, req)
	})
	p.AttachSubcommand(sub, 1)
}

// rollOut sends the change and, with --wait, waits until the roll-out is complete.
func (e *environment) rollOut(ctx context.Context, f *rolloutFlags, action, id string, body any) error {
	if err := e.sendChange(ctx, wire.PathServices+"/"+f.service+"/"+action, id, body); err != nil {
		return err
	}
	if !f.wait {
		return nil
	}
	return e.awaitRollout(ctx, contract.ServiceName(f.service), f.live, f.timeout)
}

// awaitRollout polls the status until every expected target, or with live every live
// one, serves the deployed version. It reads the status at least once, however short the
// timeout is.
func (e *environment) awaitRollout(ctx context.Context, service contract.ServiceName, live bool, timeout time.Duration) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	lastLine := ""
	for {
		var st wire.Status
		err := e.client.get(ctx, wire.PathStatus, &st)
		if err == nil {
			done, line := rolloutProgress(st, service, live)
			if line != lastLine {
				_, _ = fmt.Fprintln(e.errOut, line)
				lastLine = line
			}
			if done {
				return nil
			}
		}
		select {
		case <-ticker.C:
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		return errors.Mark(errors.Newf("%s does not serve its version on all targets: %s", service, lastLine), ErrFailed)
	}
}

// rolloutProgress returns whether the roll-out of a service's version is complete, and a
// line that describes its progress.
func rolloutProgress(st wire.Status, service contract.ServiceName, live bool) (bool, string) {
	for _, s := range st.Services {
		if s.Service != service {
			continue
		}
		total := s.Live
		if !live {
			total = max(s.Live, s.Expected)
		}
		line := fmt.Sprintf("%s %s %s %d of %d targets", service, s.Weights.Short(), progressBar(s.Deployed, total), s.Deployed, total)
		return s.Live > 0 && s.Deployed >= total, line
	}
	return false, string(service) + " is not known yet"
}

// progressBar returns a bar of 20 characters that shows the share of done in total.
func progressBar(done, total int) string {
	const width = 20
	filled := 0
	if total > 0 {
		filled = min(width, done*width/total)
	}
	return "[" + strings.Repeat("#", filled) + strings.Repeat(".", width-filled) + "]"
}
