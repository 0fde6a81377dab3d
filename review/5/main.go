//go:build review

// Command leftduringcut has engines leave while the only entry of a zone is cut off from the
// store. They never say that they drain: their entries are removed, and they go on serving for a
// while.
package main

import (
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"mimosastand.example/mimosastand/review"
)

const (
	keepHistory = 20 * time.Second
	// rounds is how often the entry is cut off, and cutTime for how long: for_s of core_cut.
	rounds  = 6
	cutTime = 5500 * time.Millisecond
	// leaveDelay is the time from the beginning of a cut until an engine leaves.
	leaveDelay = time.Second
	// drainTime is drain_ms, and touchTime stable_window_ms: that long after the end of a cut
	// the entry is in touch again.
	drainTime = 2 * time.Second
	touchTime = 3 * time.Second
	// restTime is the time from then on until the next cut.
	restTime     = 4 * time.Second
	startTime    = 4 * time.Second
	sendInterval = 10 * time.Millisecond
	timeLimit    = 600 * time.Millisecond
	// cutZone is the zone of the entry that is cut off, homeZone that of the engines.
	cutZone, homeZone = "erongo-a", "khomas-a"
)

func main() { review.Main(play) }

func play(c review.Case) (broken bool, err error) {
	fleet, err := review.NewFleet(review.Spec{
		Zones: []review.Zone{
			{Name: homeZone, Region: "khomas", Entries: 2},
			{Name: cutZone, Region: "erongo", Entries: 1, HasStorePath: true},
		},
		Program: c.Program, Templates: c.Templates, KeepHistory: keepHistory,
	}, c.Record)
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	s := &scene{c: c, fleet: fleet}
	defer s.killAll()
	if err := s.addEngine("i-registry-0"); err != nil {
		return false, err
	}
	if err := fleet.StartAll(); err != nil {
		return false, err
	}
	entry := fleet.Entries[len(fleet.Entries)-1].CallerAddress
	done := make(chan struct{})
	var sending sync.WaitGroup
	sending.Go(func() { s.sendUntil(entry, done) })
	for n := range rounds {
		if err := s.playRound(n + 1); err != nil {
			return false, err
		}
	}
	close(done)
	sending.Wait()
	return s.judge(), nil
}

// scene is the deployment of a case and what happened in it.
type scene struct {
	c       review.Case
	fleet   *review.Fleet
	engines []*review.Service
	// departures lists the engines that left.
	departures []departure

	mu   sync.Mutex
	sent map[string]time.Time
}

// departure is an engine that left at a time. From inTouchAt until inTouchUntil the entry was in
// touch and more than drain_ms had passed.
type departure struct {
	engine                          *review.Service
	leftAt, inTouchAt, inTouchUntil time.Time
}

func (s *scene) addEngine(id string) error {
	program := filepath.Join(filepath.Dir(s.c.Program), "review", "plainservice")
	e, err := s.fleet.NewService(program, id, homeZone)
	if err == nil {
		s.engines = append(s.engines, e)
	}
	return err
}

func (s *scene) killAll() {
	for _, e := range s.engines {
		e.Kill()
	}
}

// playRound adds an engine, and has it leave while the entry is cut off from the store.
func (s *scene) playRound(n int) error {
	if err := s.addEngine(fmt.Sprintf("i-registry-%d", n)); err != nil {
		return err
	}
	time.Sleep(startTime)
	path := s.fleet.StorePaths[cutZone]
	if s.c.Trouble {
		path.SetCut(true)
	}
	time.Sleep(leaveDelay)
	leaver := s.engines[len(s.engines)-1]
	leaver.Leave()
	leftAt := time.Now()
	time.Sleep(cutTime - leaveDelay)
	path.SetCut(false)
	inTouchAt := time.Now().Add(touchTime)
	s.c.Record.Announce("round %d: %s has left, the cut of the entry has ended", n, leaver.ID)
	time.Sleep(touchTime + restTime)
	s.departures = append(s.departures, departure{engine: leaver, leftAt: leftAt, inTouchAt: inTouchAt, inTouchUntil: time.Now()})
	leaver.Kill()
	return nil
}

// sendUntil sends requests to the entry until done is closed.
func (s *scene) sendUntil(entry string, done chan struct{}) {
	s.sent = map[string]time.Time{}
	client := &http.Client{Timeout: timeLimit}
	var open sync.WaitGroup
	defer open.Wait()
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		open.Go(func() { s.send(client, entry, fmt.Sprintf("attempt-%05d", n)) })
	}
}

func (s *scene) send(client *http.Client, entry, attempt string) {
	req, err := http.NewRequest(http.MethodGet, "http://"+entry+review.StatusPath+"17", nil)
	if err != nil {
		panic(err)
	}
	req.Host = review.Host
	for name, value := range map[string]string{
		"Attempt-Id": attempt, "Authorization": "Bearer " + review.Key, "Deadline-Ms": fmt.Sprint(timeLimit.Milliseconds()),
	} {
		req.Header.Set(name, value)
	}
	s.mu.Lock()
	s.sent[attempt] = time.Now()
	s.mu.Unlock()
	resp, err := client.Do(req)
	if err != nil {
		s.c.Record.Printf("sent %s; no answer: %v", attempt, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	s.c.Record.Printf("sent %s; answered with status %d", attempt, resp.StatusCode)
}

// judge applies DRAIN: a request reaches an engine later than drain_ms after the store
// acknowledged that it is gone, taken from the client and sent on by a machine in touch.
func (s *scene) judge() (broken bool) {
	for _, d := range s.departures {
		late := 0
		for _, run := range d.engine.Runs() {
			fields := strings.Fields(run)
			if len(fields) < 2 {
				continue
			}
			sentAt := s.sent[fields[1]]
			if sentAt.After(d.inTouchAt) && sentAt.Before(d.inTouchUntil) && sentAt.Sub(d.leftAt) > drainTime {
				late++
				s.c.Record.Printf("%s ran %s, sent %.2f s after it had left", d.engine.ID, fields[1], sentAt.Sub(d.leftAt).Seconds())
			}
		}
		s.c.Record.Announce("%s: %d requests ran that were sent by an entry in touch, later than drain_ms after it had left", d.engine.ID, late)
		broken = broken || late > 0
	}
	return broken
}
