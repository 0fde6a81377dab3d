//go:build review

// Command 10 has the store do one write late, across two restarts of the process that sent it.
package main

import (
	"errors"
	"sync"
	"time"

	"mimosastand.example/mimosastand/review/harness"
	"mimosastand.example/mimosastand/standin/fleet"
)

const (
	key = "key-1"
	// beforeKill is for how long requests are counted before the processes are killed, restartDelay how long
	// these are away.
	beforeKill   = 5 * time.Second
	restartDelay = time.Second
	// untilFault is the time from the write whose answer is lost until the final fault, down for how long all
	// machines have no power then.
	untilFault   = 2500 * time.Millisecond
	down         = 700 * time.Millisecond
	writeTimeout = 5 * time.Second
	pollInterval = 10 * time.Millisecond
	sendInterval = 200 * time.Millisecond
)

var zones = []string{"khomas-a", "erongo-a", "oshana-a"}

func main() { harness.Main(play) }

// scenario is one run of the case.
type scenario struct {
	*harness.Deployment
	store   *harness.LateWrites
	host    *harness.ModelHost
	entries []*harness.Machine
	times   harness.Recovery
}

func play(record *harness.Record, isTroubled bool) ([]string, error) {
	d, err := harness.New(record, zones...)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	s := &scenario{Deployment: d, store: d.NewLateWrites()}
	defer s.store.Close()
	origin := harness.NewOrigin()
	defer origin.Close()
	if err := d.Store.WriteManifest(fleet.Manifest{Version: 1, Keys: []string{key}, Origin: origin.Address(), Zone: zones[0], Pieces: harness.Pieces}); err != nil {
		return nil, err
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	defer func() { s.host.Engine.Stop() }()
	time.Sleep(harness.StableWindow)
	return s.disturb(isTroubled)
}

// start starts an entry in each zone, and one machine with a model engine.
func (s *scenario) start() (err error) {
	if s.host, err = s.NewModelHost(zones[0]); err != nil {
		return err
	}
	if err := s.host.Target.Start(); err != nil {
		return err
	}
	for _, zone := range zones {
		m := s.NewEntry("edge-"+zone+"-1", zone)
		s.entries = append(s.entries, m)
		if err := m.Start(); err != nil {
			return err
		}
	}
	for _, m := range s.entries {
		if err := m.AwaitReady(harness.StartTimeout); err != nil {
			return err
		}
	}
	return nil
}

// disturb kills all processes, and has all machines lose power soon after they are back, while clients send
// requests. With the disruption the store loses one answer in between.
func (s *scenario) disturb(isTroubled bool) ([]string, error) {
	traffic := harness.StartTraffic(s.entries, sendInterval, func(entry *harness.Machine) harness.Request { return harness.ChatRequest(entry, key) })
	s.times.CountedFrom = time.Now()
	time.Sleep(beforeKill)
	s.times.FaultAt = time.Now()
	s.Record.Printf("all processes are killed")
	s.killAll()
	if isTroubled {
		s.store.LoseNext(s.host.Target.Name)
	}
	time.Sleep(restartDelay)
	if err := s.RestartKilled(); err != nil {
		return nil, err
	}
	if err := s.awaitLoss(isTroubled); err != nil {
		return nil, err
	}
	time.Sleep(untilFault)
	s.Record.Printf("the store has got %d writes since the processes were killed", s.store.Writes())
	if err := s.losePower(); err != nil {
		return nil, err
	}
	s.times.Await()
	if isTroubled && !s.store.IsLateWriteDone() {
		return nil, errors.New("the late write was not done in time")
	}
	return s.times.Judge(s.Record, traffic.Stop()), nil
}

func (s *scenario) killAll() {
	var wg sync.WaitGroup
	for _, m := range s.RunningMachines() {
		wg.Go(m.Kill)
	}
	wg.Wait()
}

// awaitLoss waits until the answer has been lost.
func (s *scenario) awaitLoss(isTroubled bool) error {
	for until := time.Now().Add(writeTimeout); isTroubled && s.store.LateSentAt().IsZero(); time.Sleep(pollInterval) {
		if time.Now().After(until) {
			return errors.New("the process beside the engine has not written its member record")
		}
	}
	return nil
}

// losePower is the final fault: all processes end, and the engine loses what it held.
func (s *scenario) losePower() error {
	s.Record.Printf("final fault: all machines lose power")
	s.killAll()
	s.host.Engine.Stop()
	time.Sleep(down)
	if err := s.host.PowerUp(s.Deployment); err != nil {
		return err
	}
	if err := s.RestartKilled(); err != nil {
		return err
	}
	s.times.BackAt = time.Now()
	s.Record.Printf("all machines are back")
	return nil
}
