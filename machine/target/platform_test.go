package target_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/services"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/settings/follow"
	"mimosastand.example/mimosastand/settings/record"
	"mimosastand.example/mimosastand/settings/schema"
	"mimosastand.example/mimosastand/standin/engine"
	"mimosastand.example/mimosastand/standin/hostlist"
	"mimosastand.example/mimosastand/standin/logservice"
	"mimosastand.example/mimosastand/standin/store"
	"mimosastand.example/mimosastand/weights"
)

// operators change the settings of a rig that has a platform.
type operators struct {
	t        *testing.T
	follower *follow.Follower
	origin   *services.Client
	log      string
	seq      int
}

func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.URL
}

// newOperators starts the platform and points cfg at it.
func newOperators(t *testing.T, cfg *config.Process) *operators {
	t.Helper()
	cfg.LogURL = serve(t, logservice.New(logservice.Config{}))
	cfg.OriginURL = serve(t, store.New(store.Config{}))
	cfg.StoreURL = serve(t, store.New(store.Config{}))
	cfg.HostsURL = serve(t, hostlist.New(hostlist.Config{}))
	o := &operators{t: t, origin: services.NewClient(cfg.OriginURL), log: cfg.LogURL}
	o.follower = follow.New(follow.Options{Log: services.NewClient(cfg.LogURL)})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = o.follower.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return o
}

// set changes keys and returns once the change is in the log. While the follower has
// not caught up nothing changes, and the change is submitted again.
func (o *operators) set(changes ...settings.Change) contract.Offset {
	o.t.Helper()
	o.seq++
	for {
		result, err := o.follower.Submit(context.Background(), record.Change{
			ID: string(rune('a' + o.seq)), Author: "op", Base: o.follower.Offset(), Changes: changes,
		})
		if errors.Is(err, follow.ErrNotReady) {
			time.Sleep(time.Millisecond)
			continue
		}
		fatal(o.t, err)
		return result.Offset
	}
}

func (o *operators) deploy(version contract.Digest) contract.Offset {
	return o.set(
		settings.Change{Scope: settings.Scope{Zone: "khomas-a"}, Key: schema.Region, Value: "khomas"},
		settings.Change{Scope: settings.Scope{Service: "s"}, Key: schema.ServiceKind, Value: "model"},
		settings.Change{Scope: settings.Scope{Service: "s"}, Key: schema.SlowStart, Value: "100ms"},
		settings.Change{Scope: settings.Scope{Service: "s"}, Key: schema.Weights, Value: string(version)},
	)
}

func (o *operators) publish(content string) contract.Digest {
	o.t.Helper()
	d, err := weights.Publish(context.Background(), o.origin, bytes.NewReader([]byte(content)), "v", weights.MinChunkBytes)
	fatal(o.t, err)
	return d
}

func zoneOut(value string) settings.Change {
	return settings.Change{Scope: settings.Scope{Zone: "khomas-a"}, Key: schema.Out, Value: value}
}

// ask sends one attempt after the other until one is answered as wanted.
func (r *rig) ask(request string, version contract.Digest, offset contract.Offset, want func(*answer) bool) *answer {
	r.t.Helper()
	c := r.dial()
	for n := uint32(1); ; n++ {
		m := modelStart(request, n, 5)
		m.Start.Weights, m.Start.SettingsOffset = version, offset
		if a := r.read(r.open(c, m), never); want(a) {
			return a
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func refusedFor(reason contract.Reason) func(*answer) bool {
	return func(a *answer) bool { return a.refusal != nil && a.refusal.Reason == reason }
}

func isDone(a *answer) bool { return a.end != nil && a.end.Outcome == contract.OutcomeDone }

// TestDeploymentZoneOutAndBack follows one target through a deployment, its
// zone's leaving and return, and a second version.
func TestDeploymentZoneOutAndBack(t *testing.T) {
	var o *operators
	cold := engine.Config{WarmLimit: 8, ColdLimit: 2, TokenDelay: time.Millisecond, ColdStart: 10 * time.Millisecond}
	r := newRig(t, config.BackendModel, engine.New(cold), func(cfg *config.Process) { o = newOperators(t, cfg) })
	first := o.publish("version one")
	at := o.deploy(first)
	if a := r.ask("a", first, at, isDone); a.end.Weights != first {
		t.Fatalf("end %+v", a.end)
	}
	out := o.set(zoneOut("true"))
	r.ask("b", first, out, refusedFor(contract.ReasonZoneOut))
	back := o.set(zoneOut("false"))
	r.ask("c", first, out, refusedFor(contract.ReasonStaleSettings))
	r.ask("d", first, back, isDone)

	second := o.publish("version two")
	at = o.deploy(second)
	if a := r.ask("e", second, at, isDone); a.end.Weights != second {
		t.Fatalf("end %+v", a.end)
	}
	r.ask("f", first, at, refusedFor(contract.ReasonWeightsMismatch))
	var stats engine.Stats
	r.stats(&stats)
	if stats.Mixed != 0 || stats.Overruns != 0 || stats.Doubled != 0 {
		t.Fatalf("%+v", stats)
	}
}

// TestPeerPullsSettings checks that a process gets records over a link.
func TestPeerPullsSettings(t *testing.T) {
	var o *operators
	r := newRig(t, config.BackendModel, engine.New(fastEngine), func(cfg *config.Process) { o = newOperators(t, cfg) })
	at := o.set(zoneOut("false"))
	c := r.dial()
	for {
		s := r.open(c, contract.Message{Kind: contract.KindSettingsPull, SettingsPull: &contract.SettingsPull{}})
		m, err := s.Recv()
		fatal(t, err)
		s.Close()
		if m.SettingsRecords.Newest >= at && len(m.SettingsRecords.Records) > 0 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}
