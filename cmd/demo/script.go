package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/harness"
	"mimosastand.example/mimosastand/internal/load"
	"mimosastand.example/mimosastand/services"
	"mimosastand.example/mimosastand/standin/engine"
	"mimosastand.example/mimosastand/weights"
)

const (
	startWait   = 15 * time.Second
	deployWait  = 25 * time.Second
	callTimeout = 10 * time.Second
	// settleTime is how soon after a change no new work may reach a zone that is out.
	settleTime = 3 * time.Second
	// outTime is how long the zone stays out after settleTime.
	outTime    = 3 * time.Second
	returnTime = 4 * time.Second

	versionBytes = 4 << 20
	chunkBytes   = 256 << 10

	modelInterval = 40 * time.Millisecond
	plainInterval = 60 * time.Millisecond
	answerTokens  = 24
)

// demo is one run.
type demo struct {
	cluster *harness.Cluster
	started time.Time
	traffic *load.Traffic
	rows    []row
}

// phase is one step of the demo.
type phase struct {
	name string
	run  func(context.Context) error
}

func (d *demo) phases() []phase {
	return []phase{
		{"start the stand-ins and the processes", d.start},
		{"publish and deploy the first version", d.firstVersion},
		{"send calls, take a zone out and back", d.zoneOutAndBack},
		{"roll out a second version under load", d.secondVersion},
		{"stop a target and an entry under load", d.stopUnderLoad},
		{"stop everything", d.stopAll},
	}
}

// play runs all phases in order.
func (d *demo) play(ctx context.Context) error {
	return d.run(ctx, d.phases())
}

func (d *demo) run(ctx context.Context, phases []phase) error {
	for _, p := range phases {
		fmt.Printf("%5.1fs  %s\n", time.Since(d.started).Seconds(), p.name)
		if err := p.run(ctx); err != nil {
			return errors.Wrap(err, p.name)
		}
	}
	fmt.Printf("%5.1fs  done\n", time.Since(d.started).Seconds())
	return nil
}

// hold starts the system with its first version and keeps it until ctx ends.
func (d *demo) hold(ctx context.Context) int {
	const startPhases = 2
	if err := d.run(ctx, d.phases()[:startPhases]); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		return 1
	}
	for _, e := range d.cluster.Entries {
		fmt.Printf("%s: callers http://%s, operators http://%s\n", e.Machine, e.HTTP, e.Admin)
	}
	fmt.Println("operators' token:", filepath.Join(d.cluster.Dir, "admin.token"))
	<-ctx.Done()
	d.cluster.StopAll()
	return 0
}

func (d *demo) start(ctx context.Context) error {
	if err := d.cluster.StartStandIns(startWait); err != nil {
		return err
	}
	if err := d.cluster.StartAll(); err != nil {
		return err
	}
	for _, e := range d.cluster.Entries {
		if err := harness.WaitFor(ctx, startWait, func() error { return answers(e.HTTP) }); err != nil {
			return err
		}
	}
	if _, err := d.cluster.Operator(ctx, "set", "--file", settingsFile); err != nil {
		return err
	}
	if _, err := d.cluster.Operator(ctx, sizing(d.cluster.Spec.Zones)...); err != nil {
		return err
	}
	for _, e := range d.cluster.Entries {
		if err := harness.WaitReady(ctx, e.HTTP, startWait); err != nil {
			return err
		}
	}
	return nil
}

// publish stores a new version in the origin and returns its digest.
func (d *demo) publish(ctx context.Context, name string, seed uint64) (contract.Digest, error) {
	rnd := rand.New(rand.NewPCG(seed, 0))
	data := make([]byte, versionBytes)
	for i := range data {
		data[i] = byte(rnd.Uint32())
	}
	origin := services.NewClient("http://" + d.cluster.OriginAddress)
	return weights.Publish(ctx, origin, bytes.NewReader(data), name, chunkBytes)
}

// deploy makes digest the version of the model service and waits until every
// engine of a running target has it; it returns how long that took.
func (d *demo) deploy(ctx context.Context, digest contract.Digest) (time.Duration, error) {
	began := time.Now()
	if _, err := d.cluster.Operator(ctx, "deploy", string(modelService), "--weights", string(digest)); err != nil {
		return 0, err
	}
	err := harness.WaitFor(ctx, deployWait, func() error { return d.allServe(digest) })
	return time.Since(began), err
}

func (d *demo) allServe(digest contract.Digest) error {
	for _, t := range d.cluster.Targets {
		if !t.Service.Model || !t.Process.Running() {
			continue
		}
		active, err := activeDigest(t.Backend)
		if err != nil {
			return err
		}
		if active != digest {
			return errors.Newf("demo: %s has %q", t.Machine, active.Short())
		}
	}
	return nil
}

func (d *demo) firstVersion(ctx context.Context) error {
	digest, err := d.publish(ctx, "drafting-1", 1)
	if err != nil {
		return err
	}
	took, err := d.deploy(ctx, digest)
	if err != nil {
		return err
	}
	for _, t := range d.cluster.Targets {
		if err := harness.WaitReady(ctx, t.HTTP, startWait); err != nil {
			return err
		}
	}
	d.fact("time to 6 replicas, first version", "%.2f s", took.Seconds())
	for _, e := range d.cluster.Entries {
		if err := harness.WaitFor(ctx, startWait, func() error { return serves(ctx, e.HTTP) }); err != nil {
			return err
		}
	}
	return d.originRow("first version", 1)
}

// originRow reports the chunk bytes that the origin has sent, as copies of one version.
func (d *demo) originRow(what string, versions float64) error {
	const allowedCopies = 1.1
	stats, err := d.cluster.Stats(d.cluster.OriginAddress)
	if err != nil {
		return err
	}
	copies := stats["chunk_bytes"] / versionBytes
	d.promise(copies <= allowedCopies*versions, "origin copies in all, after the "+what, "%.2f (%.0f bytes)", copies, stats["chunk_bytes"])
	return nil
}

// startTraffic begins the calls that go on until stopAll.
func (d *demo) startTraffic(ctx context.Context) {
	var bases []string
	for _, e := range d.cluster.Entries {
		bases = append(bases, "http://"+e.HTTP)
	}
	d.traffic = &load.Traffic{
		Caller:        load.NewCaller(engine.Token, callTimeout),
		Rotation:      load.NewRotation(bases...),
		Model:         modelService,
		Plain:         plainService,
		Teams:         teams,
		MaxTokens:     answerTokens,
		ModelInterval: modelInterval,
		PlainInterval: plainInterval,
	}
	d.traffic.Start(ctx)
}
