package follow_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/settings/follow"
	"mimosastand.example/mimosastand/settings/follow/spread"
	"mimosastand.example/mimosastand/settings/follow/spread/sim"
	"mimosastand.example/mimosastand/settings/record"
	"mimosastand.example/mimosastand/settings/schema"
	"mimosastand.example/mimosastand/zone/hostlist"
)

func run(t *testing.T, opts follow.Options) *follow.Follower {
	t.Helper()
	f := follow.New(opts)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f
}

// await waits until cond holds, checking at each change.
func await(t *testing.T, f *follow.Follower, cond func() bool) {
	t.Helper()
	for {
		changed := f.Changed()
		if cond() {
			return
		}
		<-changed
	}
}

func change(id string, base contract.Offset, value string) record.Change {
	scope := settings.Scope{Zone: "a"}
	return record.Change{ID: id, Author: "op", Base: base, Changes: []settings.Change{{Scope: scope, Key: schema.Out, Value: value}}}
}

func TestSubmitSpreadsAndSurvivesLostReplies(t *testing.T) {
	log := sim.NewLog(time.Now)
	first := run(t, follow.Options{Log: log, Machine: "one"})
	await(t, first, first.Ready)
	log.LoseReplies(2)
	result, err := first.Submit(context.Background(), change("c1", 0, "true"))
	if err != nil || !first.Current().Zone("r", "a").Out {
		t.Fatalf("result %+v, %v", result, err)
	}
	again, err := first.Submit(context.Background(), change("c1", 0, "true"))
	if err != nil || !again.Duplicate || again.Offset != result.Offset {
		t.Fatalf("resend: %+v, %v", again, err)
	}
	second := run(t, follow.Options{Log: log, Machine: "two"})
	await(t, second, func() bool { return second.Ready() && second.Current().Zone("r", "a").Out })
}

func TestSubmitConflictNamesTheOther(t *testing.T) {
	log := sim.NewLog(time.Now)
	f := run(t, follow.Options{Log: log})
	await(t, f, f.Ready)
	if _, err := f.Submit(context.Background(), change("c1", 0, "true")); err != nil {
		t.Fatal(err)
	}
	_, err := f.Submit(context.Background(), change("c2", 0, "false"))
	var conflict *follow.ConflictError
	if !errors.As(err, &conflict) || conflict.With != 1 || conflict.ID != "c1" || conflict.Key != schema.Out {
		t.Fatalf("error %v", err)
	}
}

func TestSubmitWhileLogIsDown(t *testing.T) {
	log := sim.NewLog(time.Now)
	f := run(t, follow.Options{Log: log})
	await(t, f, f.Ready)
	log.SetDown(true)
	if _, err := f.Submit(context.Background(), change("c1", 0, "true")); !errors.Is(err, follow.ErrNotAccepted) {
		t.Fatalf("error %v", err)
	}
	log.SetDown(false)
	if log.Newest() != 0 {
		t.Fatal("appended")
	}
}

// TestFreshProcessInOutage checks that a process that cannot read the log
// learns all it needs from its peers.
func TestFreshProcessInOutage(t *testing.T) {
	log := sim.NewLog(time.Now)
	old := run(t, follow.Options{Log: log})
	await(t, old, old.Ready)
	if _, err := old.Submit(context.Background(), change("c1", 0, "true")); err != nil {
		t.Fatal(err)
	}
	log.SetDown(true)
	fresh := run(t, follow.Options{Log: log, Pull: func(_ context.Context, after contract.Offset) (contract.SettingsRecords, error) {
		return old.Serve(contract.SettingsPull{After: after}), nil
	}})
	await(t, fresh, fresh.Ready)
	if !fresh.Current().Zone("r", "a").Out {
		t.Fatal("not learnt")
	}
}

// TestDuty checks that a few entry hosts of each zone tail the log, that the
// others audit it in turns, and that targets do neither.
func TestDuty(t *testing.T) {
	var hosts []hostlist.Host
	for i := range 40 {
		role, zone := hostlist.Entry, contract.ZoneName([]string{"a", "b"}[i%2])
		if i >= 20 {
			role = hostlist.Target
		}
		hosts = append(hosts, hostlist.Host{Machine: contract.MachineID(fmt.Sprint("m", i)), Role: role, Zone: zone, State: hostlist.Live})
	}
	tails, audits := map[contract.ZoneName]int{}, 0
	for _, h := range hosts {
		duty := follow.Duty(hosts, h.Machine, h.Zone, 3)
		if duty.On {
			tails[h.Zone]++
		}
		if duty.Audit == 5*time.Second {
			audits++
		}
	}
	if tails["a"] != 3 || tails["b"] != 3 || audits != 20 {
		t.Fatalf("tails %v, audits %d", tails, audits)
	}
	if !follow.Duty(hosts, "unlisted", "a", 3).On {
		t.Fatal("a machine that the list does not name must tail")
	}
}

// TestRacingOperators lets four entry hosts submit different values of one key
// at once, with lost replies: one wins, the others are told of it.
func TestRacingOperators(t *testing.T) {
	log := sim.NewLog(time.Now)
	var all []*follow.Follower
	for range 4 {
		f := run(t, follow.Options{Log: log})
		await(t, f, f.Ready)
		all = append(all, f)
	}
	log.LoseReplies(3)
	results := make([]error, len(all))
	var wg sync.WaitGroup
	for i, f := range all {
		wg.Go(func() {
			scope := settings.Scope{Zone: "a"}
			_, results[i] = f.Submit(context.Background(), record.Change{ID: fmt.Sprint("c", i), Author: "op",
				Changes: []settings.Change{{Scope: scope, Key: schema.Entries, Value: fmt.Sprint(i)}}})
		})
	}
	wg.Wait()
	winners := 0
	for i, err := range results {
		var conflict *follow.ConflictError
		switch {
		case err == nil:
			winners++
		case !errors.As(err, &conflict):
			t.Errorf("operator %d: %v", i, err)
		}
	}
	if winners != 1 {
		t.Fatalf("%d winners", winners)
	}
}

func TestSubmitBeforeReady(t *testing.T) {
	f := follow.New(follow.Options{Log: sim.NewLog(time.Now)})
	if _, err := f.Submit(context.Background(), change("c", 0, "true")); !errors.Is(err, follow.ErrNotReady) {
		t.Fatalf("error %v", err)
	}
}

// TestObserve checks that a process that does not tail the log pulls what a peer
// tells it of.
func TestObserve(t *testing.T) {
	log := sim.NewLog(time.Now)
	first := run(t, follow.Options{Log: log})
	await(t, first, first.Ready)
	hosts := []hostlist.Host{
		{Machine: "one", Role: hostlist.Entry, Zone: "a", State: hostlist.Live},
		{Machine: "two", Role: hostlist.Target, Zone: "a", State: hostlist.Live},
	}
	second := run(t, follow.Options{
		Log: log, Machine: "two", Zone: "a", Hosts: func() []hostlist.Host { return hosts },
		Timing: spread.Timing{QuietLimit: time.Hour},
		Pull: func(_ context.Context, after contract.Offset) (contract.SettingsRecords, error) {
			return first.Serve(contract.SettingsPull{After: after}), nil
		},
	})
	await(t, second, second.Ready)
	result, err := first.Submit(context.Background(), change("c", 0, "true"))
	if err != nil {
		t.Fatal(err)
	}
	second.Observe(result.Offset)
	await(t, second, func() bool { return second.Current().Zone("", "a").Out })
}
