package main

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/harness"
	"mimosastand.example/mimosastand/internal/load"
	"mimosastand.example/mimosastand/standin/engine"
)

// answers checks that a process answers its health page.
func answers(address string) error {
	resp, err := http.Get("http://" + address + "/healthz")
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	return resp.Body.Close()
}

// serves checks that an entry host answers a model call, as the platform's
// balancer does before it sends callers there.
func serves(ctx context.Context, address string) error {
	probe := load.Model{Service: modelService, Team: teams[0], Prompt: "probe", MaxTokens: 1}
	r := load.NewCaller(engine.Token, callTimeout).Generate(ctx, "http://"+address, probe)
	if r.Class != load.Whole {
		return errors.Newf("demo: %s: %s", address, r.Detail)
	}
	return nil
}

// activeDigest asks an engine for its version.
func activeDigest(address string) (contract.Digest, error) {
	resp, err := http.Get("http://" + address + "/stats")
	if err != nil {
		return "", errors.Wrap(err, "demo")
	}
	defer func() { _ = resp.Body.Close() }()
	var stats struct {
		Digest contract.Digest `json:"digest"`
	}
	err = json.NewDecoder(resp.Body).Decode(&stats)
	return stats.Digest, errors.Wrap(err, "demo")
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func (d *demo) zoneOutAndBack(ctx context.Context) error {
	d.startTraffic(ctx)
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	if _, err := d.cluster.Operator(ctx, "zone", "out", string(zoneOut)); err != nil {
		return err
	}
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	before, err := d.workIn(zoneOut)
	if err != nil {
		return err
	}
	if err := pause(ctx, outTime); err != nil {
		return err
	}
	after, err := d.workIn(zoneOut)
	if err != nil {
		return err
	}
	d.promise(after == before, "new work in the zone that is out, after 3 s", "%.0f", after-before)
	if _, err := d.cluster.Operator(ctx, "zone", "in", string(zoneOut)); err != nil {
		return err
	}
	if err := pause(ctx, returnTime); err != nil {
		return err
	}
	back, err := d.workIn(zoneOut)
	if err != nil {
		return err
	}
	d.promise(back > after, "new work in the zone after its return", "%.0f", back-after)
	return nil
}

// workIn counts the work that the back ends of a zone have received.
func (d *demo) workIn(zone contract.ZoneName) (float64, error) {
	total := 0.0
	for _, t := range d.cluster.Targets {
		if t.Zone.Name != zone {
			continue
		}
		stats, err := d.cluster.Stats(t.Backend)
		if err != nil {
			return 0, err
		}
		total += stats["generated"] + stats["calls"]
	}
	return total, nil
}

func (d *demo) secondVersion(ctx context.Context) error {
	digest, err := d.publish(ctx, "drafting-2", 2)
	if err != nil {
		return err
	}
	took, err := d.deploy(ctx, digest)
	if err != nil {
		return err
	}
	d.fact("time to 6 replicas, second version, under load", "%.2f s", took.Seconds())
	return d.originRow("second version", 2)
}

// stopUnderLoad stops one target and one entry host as planned, with calls
// going on, and starts the target again.
func (d *demo) stopUnderLoad(ctx context.Context) error {
	target, entry := d.cluster.Targets[0], d.cluster.Entries[2]
	if !target.Process.Stop(startWait) {
		return errors.Newf("demo: %s did not stop well, see %s", target.Machine, target.Process.LogFile)
	}
	d.traffic.Rotation.Remove("http://" + entry.HTTP)
	if !entry.Process.Stop(startWait) {
		return errors.Newf("demo: %s did not stop well, see %s", entry.Machine, entry.Process.LogFile)
	}
	if err := d.cluster.StartTarget(target); err != nil {
		return err
	}
	return harness.WaitReady(ctx, target.HTTP, startWait)
}

func (d *demo) stopAll(ctx context.Context) error {
	d.traffic.Stop()
	d.traffic.Wait()
	if err := d.resultRows(); err != nil {
		return err
	}
	failed := d.cluster.StopAll()
	d.promise(len(failed) == 0, "processes that did not stop well", "%d %v", len(failed), failed)
	return ctx.Err()
}

func (d *demo) resultRows() error {
	models, effects := d.traffic.Models, d.traffic.Effects
	d.fact("model calls sent", "%d", models.Total())
	d.promise(models.Count(load.Whole) == models.Total(), "model answers whole", "%d", models.Count(load.Whole))
	d.fact("model calls not whole, by reason", "%s", reasonsText(models.Reasons()))
	d.promise(models.Count(load.Cut)+models.Count(load.Wrong) == 0, "answers cut or wrong", "%d, %d", models.Count(load.Cut), models.Count(load.Wrong))
	d.promise(models.Count(load.Unreachable)+effects.Count(load.Unreachable) == 0, "calls that no entry host took", "%d", models.Count(load.Unreachable)+effects.Count(load.Unreachable))
	d.fact("first token p50, p99", "%v, %v", models.FirstToken(50).Round(time.Millisecond), models.FirstToken(99).Round(time.Millisecond))
	d.fact("longest gap between tokens p50, p99", "%v, %v", models.Gap(50).Round(time.Millisecond), models.Gap(99).Round(time.Millisecond))
	d.fact("filings sent, sent again with the same key", "%d, %d", effects.Total(), d.traffic.Retried.Load())
	d.promise(effects.Count(load.Whole) == effects.Total(), "filings answered whole", "%d", effects.Count(load.Whole))
	d.fact("filings not whole, by reason", "%s", reasonsText(effects.Reasons()))
	return d.backEndRows()
}

// backEndRows reports what the back ends counted.
func (d *demo) backEndRows() error {
	var doubled, overruns, mixed, stagedBad float64
	for _, t := range d.cluster.Targets {
		stats, err := d.cluster.Stats(t.Backend)
		if err != nil {
			return err
		}
		doubled += stats["doubled_by_key"] + stats["doubled_by_request"]
		overruns += stats["overruns"]
		mixed += stats["mixed"]
		stagedBad += stats["chunks_refused"]
	}
	d.promise(doubled == 0, "effects that ran twice", "%.0f", doubled)
	d.promise(overruns == 0, "work given to cold engines above what they bear", "%.0f", overruns)
	d.promise(mixed == 0, "streams under which the version changed", "%.0f", mixed)
	d.promise(stagedBad == 0, "bad chunks that reached an engine", "%.0f", stagedBad)
	return nil
}
