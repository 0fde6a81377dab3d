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

// operators changes the settings of a fixture with a platform.
type operators struct {
	t        *testing.T
	follower *follow.Follower
	origin   *services.Client
	log      string
	seq      int
}

func startServer(t *testing.T, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.URL
}

// newOperators starts the platform and sets its addresses in cfg.
func newOperators(t *testing.T, cfg *config.Process) *operators {
	t.Helper()
	cfg.LogURL = startServer(t, logservice.New(logservice.Config{}))
	cfg.OriginURL = startServer(t, store.New(store.Config{}))
	cfg.StoreURL = startServer(t, store.New(store.Config{}))
	cfg.HostsURL = startServer(t, hostlist.New(hostlist.Config{}))
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

// submit submits changes and returns their offset once they are in the log. The follower
// rejects changes until it is ready; they are then submitted again.
func (o *operators) submit(changes ...settings.Change) contract.Offset {
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
		requireNoError(o.t, err)
		return result.Offset
	}
}

func (o *operators) deploy(version contract.Digest) contract.Offset {
	return o.submit(
		settings.Change{Scope: settings.Scope{Zone: "khomas-a"}, Key: schema.Region, Value: "khomas"},
		settings.Change{Scope: settings.Scope{Service: "s"}, Key: schema.ServiceKind, Value: "model"},
		settings.Change{Scope: settings.Scope{Service: "s"}, Key: schema.SlowStart, Value: "100ms"},
		settings.Change{Scope: settings.Scope{Service: "s"}, Key: schema.Weights, Value: string(version)},
	)
}

func (o *operators) publish(content string) contract.Digest {
	o.t.Helper()
	d, err := weights.Publish(context.Background(), o.origin, bytes.NewReader([]byte(content)), "v", weights.MinChunkBytes)
	requireNoError(o.t, err)
	return d
}

func evacuation(value string) settings.Change {
	return settings.Change{Scope: settings.Scope{Zone: "khomas-a"}, Key: schema.Out, Value: value}
}

// sendUntil sends attempts of a request one after the other until one is answered as wanted.
func (f *fixture) sendUntil(request string, version contract.Digest, offset contract.Offset, want func(*answer) bool) *answer {
	f.t.Helper()
	c := f.dial()
	for n := uint32(1); ; n++ {
		m := modelStart(request, n, 5)
		m.Start.Weights, m.Start.SettingsOffset = version, offset
		if a := f.receive(f.openStream(c, m), untilEnd); want(a) {
			return a
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func refusedFor(reason contract.Reason) func(*answer) bool {
	return func(a *answer) bool { return a.refusal != nil && a.refusal.Reason == reason }
}

func isDone(a *answer) bool { return a.end != nil && a.end.Outcome == contract.OutcomeDone }

// TestDeploymentsAndZoneEvacuation checks one target through a deployment, the evacuation
// and return of its zone, and the deployment of a second version.
func TestDeploymentsAndZoneEvacuation(t *testing.T) {
	var o *operators
	cold := engine.Config{WarmLimit: 8, ColdLimit: 2, TokenDelay: time.Millisecond, ColdStart: 10 * time.Millisecond}
	f := newFixture(t, config.BackendModel, engine.New(cold), func(cfg *config.Process) { o = newOperators(t, cfg) })
	first := o.publish("version one")
	deployed := o.deploy(first)
	if a := f.sendUntil("a", first, deployed, isDone); a.end.Weights != first {
		t.Fatalf("end = %+v, want the weights of the first version", a.end)
	}
	evacuated := o.submit(evacuation("true"))
	f.sendUntil("b", first, evacuated, refusedFor(contract.ReasonZoneOut))
	restored := o.submit(evacuation("false"))
	f.sendUntil("c", first, evacuated, refusedFor(contract.ReasonStaleSettings))
	f.sendUntil("d", first, restored, isDone)

	second := o.publish("version two")
	deployed = o.deploy(second)
	if a := f.sendUntil("e", second, deployed, isDone); a.end.Weights != second {
		t.Fatalf("end = %+v, want the weights of the second version", a.end)
	}
	f.sendUntil("f", first, deployed, refusedFor(contract.ReasonWeightsMismatch))
	var stats engine.Stats
	f.readStats(&stats)
	if stats.Mixed != 0 || stats.Overruns != 0 || stats.Doubled != 0 {
		t.Fatalf("stats = %+v, want no mixed versions, overruns or repeated attempts", stats)
	}
}

// TestPeerPullsSettings checks that a peer can pull settings records over a link.
func TestPeerPullsSettings(t *testing.T) {
	var o *operators
	f := newFixture(t, config.BackendModel, engine.New(fastEngine), func(cfg *config.Process) { o = newOperators(t, cfg) })
	at := o.submit(evacuation("false"))
	c := f.dial()
	for {
		s := f.openStream(c, contract.Message{Kind: contract.KindSettingsPull, SettingsPull: &contract.SettingsPull{}})
		m, err := s.Recv()
		requireNoError(t, err)
		s.Close()
		if m.SettingsRecords.Newest >= at && len(m.SettingsRecords.Records) > 0 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}
