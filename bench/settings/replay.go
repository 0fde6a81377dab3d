package settings

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/durable"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/settings/checkpoint"
	"mimosastand.example/mimosastand/settings/follow/spread"
	"mimosastand.example/mimosastand/settings/record"
	"mimosastand.example/mimosastand/settings/replay"
	"mimosastand.example/mimosastand/settings/schema"
	"mimosastand.example/mimosastand/settings/tree"
)

// The tree at the size of the plan.
const (
	planZones        = 8
	planServices     = 60
	planTeams        = 400
	servicesPerTeam  = 10
	changesPerRecord = 500
)

// planTree lists the values of a tree at the size of the plan.
func planTree() []settings.Change {
	var all []settings.Change
	add := func(s settings.Scope, key settings.Key, value string) {
		all = append(all, settings.Change{Scope: s, Key: key, Value: value})
	}
	digest := func(i int) string { return string(contract.NewDigest([32]byte{byte(i), byte(i >> 8)})) }
	for z := range planZones {
		scope := settings.Scope{Zone: zoneName(z)}
		add(scope, schema.Region, fmt.Sprint("region-", z/2))
		add(scope, schema.Entries, "188")
		add(scope, schema.Out, "false")
	}
	for i := range planServices {
		name := contract.ServiceName(fmt.Sprint("deployment-", i))
		scope := settings.Scope{Service: name}
		add(scope, schema.ServiceKind, "model")
		add(scope, schema.Weights, digest(i))
		add(scope, schema.Former, digest(i+1000))
		add(scope, schema.Targets, "167")
		for z := range planZones {
			add(settings.Scope{Zone: zoneName(z), Service: name}, schema.Targets, "21")
		}
	}
	for i := range planTeams {
		name := contract.TeamName(fmt.Sprint("team-", i))
		add(settings.Scope{Team: name}, schema.Share, "2")
		add(settings.Scope{Team: name}, schema.MaxPriority, "20")
		for j := range servicesPerTeam {
			service := contract.ServiceName(fmt.Sprint("deployment-", (i+j)%planServices))
			add(settings.Scope{Service: service, Team: name}, schema.Share, "3")
		}
	}
	return all
}

// planRecords encodes the tree and then a day's changes, one value each.
func planRecords(seed uint64) ([][]byte, error) {
	values := planTree()
	rng := rand.New(rand.NewPCG(seed, seed))
	var records [][]byte
	put := func(id string, list []settings.Change) error {
		data, err := record.Encode(record.Record{Change: &record.Change{
			ID: id, Author: "operator", Base: contract.Offset(len(records)), Changes: list, UnixMilli: 1,
		}})
		records = append(records, data)
		return err
	}
	for from := 0; from < len(values); from += changesPerRecord {
		if err := put(fmt.Sprint("load-", from), values[from:min(from+changesPerRecord, len(values))]); err != nil {
			return nil, err
		}
	}
	for i := range changesPerDay {
		c := values[rng.IntN(len(values))]
		if c.Key == schema.Share {
			c.Value = fmt.Sprint(1 + rng.IntN(9))
		}
		if err := put(fmt.Sprint("cli-", i, "-0123456789abcdef"), []settings.Change{c}); err != nil {
			return nil, err
		}
	}
	return records, nil
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func runReplay(w io.Writer, seed uint64) error {
	records, err := planRecords(seed)
	if err != nil {
		return err
	}
	size := 0
	for _, r := range records {
		size += len(r)
	}
	before := heap()
	began := time.Now()
	state := replay.New()
	for i, data := range records {
		if d, err := state.Apply(contract.Offset(i+1), data); err != nil || d.Outcome != replay.Accepted {
			return fmt.Errorf("record %d: %s, %w", i+1, d.Outcome, err)
		}
	}
	took := time.Since(began)
	used := heap() - before
	runtime.KeepAlive(records)
	_, _ = fmt.Fprintf(w, "replay of %d records (%d changes of the day, %d bytes): %.0f ms, %.1f us a record\n",
		len(records), changesPerDay, size, took.Seconds()*1000, took.Seconds()*1e6/float64(len(records)))
	_, _ = fmt.Fprintf(w, "memory of the replayed state (%d values, window of %d): %.2f MB\n", len(planTree()), replay.WindowRecords, float64(used)/1e6)
	if err := runCheckpoint(w, state); err != nil {
		return err
	}
	runViews(w, state)
	return runFollower(w, records)
}

// runFollower measures all that one process keeps: state, view and the records
// for peers.
func runFollower(w io.Writer, records [][]byte) error {
	const batchRecords = 512
	before := heap()
	began := time.Now()
	now := time.Unix(0, 0)
	m := spread.New(spread.Timing{}, rand.New(rand.NewPCG(1, 1)), now)
	for from := 0; from < len(records); from += batchRecords {
		batch := durable.Batch{Oldest: 1, Newest: contract.Offset(len(records))}
		for i := from; i < min(from+batchRecords, len(records)); i++ {
			// A copy, as a read of the log gives one.
			data := append([]byte(nil), records[i]...)
			batch.Records = append(batch.Records, durable.Record{Offset: contract.Offset(i + 1), Data: data})
		}
		m.Step(now, spread.LogRead{After: contract.Offset(from), Batch: batch})
	}
	view := m.State().View()
	took := time.Since(began)
	used := heap() - before
	runtime.KeepAlive(records)
	_, err := fmt.Fprintf(w, "a fresh process that reads the whole day: %.0f ms, offset %d, %.2f MB kept\n", ms(took), view.Offset(), float64(used)/1e6)
	runtime.KeepAlive(m)
	return err
}

func runCheckpoint(w io.Writer, state *replay.State) error {
	began := time.Now()
	data, _, err := checkpoint.Encode(state.Snapshot())
	if err != nil {
		return err
	}
	encoded := time.Since(began)
	began = time.Now()
	snapshot, err := checkpoint.Decode(data)
	if err != nil {
		return err
	}
	restored := replay.Restore(snapshot, state.Offset())
	decoded := time.Since(began)
	began = time.Now()
	same := restored.Digest() == state.Digest()
	verified := time.Since(began)
	_, _ = fmt.Fprintf(w, "checkpoint: %d bytes of at most %d, written in %.1f ms, restored in %.1f ms, verified in %.1f ms, same digest %t\n",
		len(data), record.MaxBytes, ms(encoded), ms(decoded), ms(verified), same)
	return nil
}

func ms(d time.Duration) float64 {
	return d.Seconds() * 1000
}

// runViews measures a change of the view and reads from it.
func runViews(w io.Writer, state *replay.State) {
	const rounds = 200
	began := time.Now()
	var view *tree.View
	for range rounds {
		view = state.View()
	}
	publish := time.Since(began) / rounds
	const reads = 1 << 18
	view.Team("region-0", "zone-0", "deployment-0", "team-0")
	began = time.Now()
	for range reads {
		view.Team("region-0", "zone-0", "deployment-0", "team-0")
	}
	read := time.Since(began) / reads
	_, _ = fmt.Fprintf(w, "view: published in %.0f us, a team's settings read in %d ns\n", publish.Seconds()*1e6, read.Nanoseconds())
}
