//go:build review

// Command frozenverify freezes a target process while it verifies the staged pieces of a version,
// and has pieces that it has verified already turn bad at the engine. The process wakes and
// orders the engine to load.
package main

import (
	"sync"
	"time"

	"mimosastand.example/mimosastand/review"
)

const (
	newVersion   = 2
	keepHistory  = 20 * time.Second
	sendInterval = 50 * time.Millisecond
	// freezeTime is for_s of node_freeze on side machines in the site file.
	freezeTime = 4 * time.Second
	// frozenAtPiece is the piece whose verification the freeze interrupts.
	frozenAtPiece = 40
	// rotDelay is the time from the beginning of the freeze until pieces turn bad.
	rotDelay = 300 * time.Millisecond
	// excusedTime is for how long WHOLE excuses a piece that has turned bad.
	excusedTime = 3 * time.Second
	// rolloutTimeout bounds the time until all engines hold the new version, and observedTime
	// is for how long they serve requests then.
	rolloutTimeout = 25 * time.Second
	observedTime   = 3 * time.Second
)

// rottenPieces are the staged pieces that turn bad: 2 of 48, of at most 6 in 100.
var rottenPieces = []int{3, 17}

func main() { review.Main(play) }

func play(c review.Case) (broken bool, err error) {
	fleet, err := review.NewFleet(review.Spec{
		Zones: []review.Zone{
			{Name: "khomas-a", Region: "khomas", Entries: 2, Engines: 2},
			{Name: "erongo-a", Region: "erongo", Entries: 2, Engines: 2},
		},
		Program: c.Program, Templates: c.Templates, KeepHistory: keepHistory,
	}, c.Record)
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	if c.Trouble {
		d := &disruption{record: c.Record, target: fleet.Targets[0], engine: fleet.Engines[0]}
		fleet.Engines[0].SetOnStageGet(d.onStageGet)
	}
	if err := fleet.StartAll(); err != nil {
		return false, err
	}
	clients := review.StartClients(c.Record, fleet.CallerAddresses(), sendInterval)
	defer clients.Stop()
	fleet.AnnounceVersion(newVersion)
	if err := review.WaitFor(rolloutTimeout, func() bool { return fleet.HoldVersion(newVersion) }); err != nil {
		return false, err
	}
	time.Sleep(observedTime)
	clients.Stop()
	return judge(c), nil
}

// disruption freezes a target process once, and has staged pieces of its engine turn bad.
type disruption struct {
	record *review.Record
	target *review.Process
	engine *review.Engine
	once   sync.Once
}

// onStageGet is called before the engine returns a staged piece to the target process.
func (d *disruption) onStageGet(index int) {
	if index == frozenAtPiece {
		d.once.Do(d.strike)
	}
}

func (d *disruption) strike() {
	if err := d.target.Freeze(); err != nil {
		d.record.Announce("freezing %s failed: %v", d.target.Name, err)
		return
	}
	d.record.Announce("%s freezes while it verifies the staged pieces", d.target.Name)
	time.AfterFunc(rotDelay, func() {
		for _, index := range rottenPieces {
			d.engine.SpoilStaged(index)
		}
		d.record.Announce("staged pieces %v turn bad at its engine", rottenPieces)
	})
	time.AfterFunc(freezeTime, func() {
		if err := d.target.Thaw(); err != nil {
			d.record.Announce("thawing %s failed: %v", d.target.Name, err)
		}
		d.record.Announce("%s wakes", d.target.Name)
	})
}

// judge applies WHOLE: no token is made with a layer that was taken while one of its pieces was
// missing, spoilt or of another version, unless it had turned bad there in the last 3 s.
func judge(c review.Case) (broken bool) {
	bad := 0
	for _, run := range c.Record.Runs() {
		for _, p := range run.Bad {
			if p.Reason == "spoilt" && p.BadFor <= excusedTime {
				continue
			}
			if bad == 0 {
				c.Record.Announce("%s ran at %s with piece %d: %s %.1f s before the order", run.Attempt, run.Engine, p.Index, p.Reason, p.BadFor.Seconds())
			}
			bad++
			break
		}
	}
	c.Record.Announce("requests that ran on weights with an unsound piece: %d of %d", bad, len(c.Record.Runs()))
	return bad > 0
}
