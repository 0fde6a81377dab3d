//go:build review

// Command unframed kills processes of a plain service whose answers end with their connections.
// A killed process ends its connections in the middle of its answers.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"mimosastand.example/mimosastand/review/rig"
)

const (
	keepHistory = 20 * time.Second
	// sendInterval is the time between two requests.
	sendInterval = 10 * time.Millisecond
	// steadyTime is the time before the first crash.
	steadyTime = 3 * time.Second
	// crashes is how often a process is killed, crashInterval the time between two kills, and
	// downTime how long the process is down.
	crashes       = 15
	crashInterval = 3 * time.Second
	downTime      = time.Second
	timeLimit     = 600 * time.Millisecond
	// bodyEnd ends the body of each answer of the service.
	bodyEnd = "end\n"
)

func main() { rig.Main(play) }

func play(c rig.Case) (broken bool, err error) {
	fleet, err := rig.NewFleet(rig.Spec{
		Zones:   []rig.Zone{{Name: "khomas-a", Region: "khomas", Entries: 2}},
		Program: c.Program, Templates: c.Templates, KeepHistory: keepHistory,
	}, c.Record)
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	program := filepath.Join(filepath.Dir(c.Program), "review", "plainservice")
	var services []*rig.Service
	for n := range 3 {
		s, err := fleet.NewService(program, fmt.Sprintf("i-registry-%d", n+1), "khomas-a", "-framed=false")
		if err != nil {
			return false, err
		}
		defer s.Kill()
		services = append(services, s)
	}
	if err := fleet.StartAll(); err != nil {
		return false, err
	}
	k := &clerks{record: c.Record, entries: fleet.CallerAddresses()}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var sending sync.WaitGroup
	sending.Go(func() { k.run(ctx) })
	time.Sleep(steadyTime)
	for n := range crashes {
		if err := crash(c, services[n%len(services)]); err != nil {
			return false, err
		}
		time.Sleep(crashInterval - downTime)
	}
	stop()
	sending.Wait()
	return k.judge(), nil
}

// crash kills a process of the service, which starts again after downTime.
func crash(c rig.Case, s *rig.Service) error {
	if !c.Trouble {
		time.Sleep(downTime)
		return nil
	}
	c.Record.Announce("engine %s is killed", s.ID)
	s.Kill()
	time.Sleep(downTime)
	return s.Start()
}

// clerks are clients that look up the status of filings.
type clerks struct {
	record  *rig.Record
	entries []string
	client  http.Client

	mu sync.Mutex
	// sent counts the requests, whole the complete successes and cut those whose body is not
	// the engine's whole body.
	sent, whole, cut int
}

// run sends requests until ctx ends, and waits for their answers.
func (k *clerks) run(ctx context.Context) {
	var open sync.WaitGroup
	defer open.Wait()
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		<-ticker.C
		open.Go(func() { k.look(n) })
	}
}

// look sends one request.
func (k *clerks) look(n int) {
	attempt := fmt.Sprintf("attempt-%05d", n)
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+k.entries[n%len(k.entries)]+rig.StatusPath+"17", nil)
	if err != nil {
		panic(err)
	}
	req.Host = rig.Host
	req.Header.Set("Attempt-Id", attempt)
	req.Header.Set("Authorization", "Bearer "+rig.Key)
	req.Header.Set("Deadline-Ms", fmt.Sprint(timeLimit.Milliseconds()))
	resp, err := k.client.Do(req)
	k.mu.Lock()
	k.sent++
	k.mu.Unlock()
	if err != nil {
		k.record.Printf("sent %s; no answer: %v", attempt, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	k.record.Printf("sent %s; answered with status %d, length %d, %d bytes, broken off: %v", attempt, resp.StatusCode, resp.ContentLength, len(body), err != nil)
	k.count(attempt, resp, string(body), err)
}

// count counts a success. One that broke off does not look complete.
func (k *clerks) count(attempt string, resp *http.Response, body string, err error) {
	if resp.StatusCode != http.StatusOK || err != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if strings.Contains(body, attempt) && strings.HasSuffix(body, bodyEnd) {
		k.whole++
		return
	}
	k.cut++
	k.record.Announce("%s got a success that looks complete, with Content-Length %d and stamp %s; its body lacks the end", attempt, resp.ContentLength, resp.Header.Get("Server-Stamp"))
}

// judge applies MIXED: a client gets a success with a body that is not the engine's whole body.
func (k *clerks) judge() (broken bool) {
	k.record.Announce("%d requests, %d whole successes, %d successes with a part of the body", k.sent, k.whole, k.cut)
	return k.cut > 0
}
