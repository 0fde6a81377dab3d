package gate

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/target/coldstart"
	"mimosastand.example/mimosastand/machine/target/gate"
)

const (
	creditsTime   = 60 * time.Second
	creditsWarmUp = 15 * time.Second
	heartbeat     = time.Second
	linkDelay     = time.Millisecond
)

// sender is an entry host that holds calls back for credits, or does not.
type sender struct {
	name     contract.MachineID
	credits  int
	inflight int
	waiting  []waitingCall
}

type waitingCall struct {
	id    contract.AttemptID
	since time.Time
}

// creditRun is one target with several senders in virtual time.
type creditRun struct {
	run
	limit   int
	heed    bool
	senders map[contract.MachineID]*sender
	order   []*sender
	owner   map[contract.AttemptID]*sender

	sent, refused int
	waits         []time.Duration
}

// simulateCredits offers load for a share of a warm engine of the given limit.
func simulateCredits(senders, limit int, share float64, heed bool, seed uint64) *creditRun {
	start := time.Unix(epochSecond, 0)
	cfg := gate.DefaultConfig
	cfg.Service, cfg.Model = "s", true
	limits := coldstart.Settings{WarmLimit: limit, ColdLimit: limit}
	r := &creditRun{
		run: run{
			g:   gate.New(start, cfg, limits, rand.New(rand.NewPCG(seed, 1))),
			rng: rand.New(rand.NewPCG(seed, 2)), start: start,
		},
		limit: limit, heed: heed,
		senders: map[contract.MachineID]*sender{}, owner: map[contract.AttemptID]*sender{},
	}
	r.stepCredits(gate.Configured{Settings: gate.Settings{Ready: true, Limits: limits}})
	r.stepCredits(gate.Activated{Weights: digest})
	for i := range senders {
		s := &sender{name: contract.MachineID(fmt.Sprintf("entry-%02d", i)), credits: 1}
		r.senders[s.name] = s
		r.order = append(r.order, s)
		r.after(time.Duration(i)*heartbeat/time.Duration(senders), func(time.Time) { r.beat(s) })
	}
	rate := share * float64(limit) / (unitTime + firstToken).Seconds()
	r.after(heartbeat, func(time.Time) { r.offer(rate) })
	r.play(creditsTime)
	return r
}

func (r *creditRun) measured() bool { return r.queue.Now() >= creditsWarmUp }

// beat is a heartbeat of a sender's link.
func (r *creditRun) beat(s *sender) {
	r.stepCredits(gate.SenderSeen{Machine: s.name})
	r.stepCredits(gate.Tick{})
	s.credits = int(r.g.Load(s.name).Credits)
	r.flush(s)
	r.after(heartbeat, func(time.Time) { r.beat(s) })
}

// offer gives a call to a sender drawn at random.
func (r *creditRun) offer(rate float64) {
	r.next++
	s := r.order[r.rng.IntN(len(r.order))]
	id := contract.AttemptID{Request: contract.RequestID(fmt.Sprint(r.next)), N: 1}
	s.waiting = append(s.waiting, waitingCall{id: id, since: r.now()})
	r.flush(s)
	r.after(time.Duration(r.rng.ExpFloat64()/rate*float64(time.Second)), func(time.Time) { r.offer(rate) })
}

// flush sends what the credits allow.
func (r *creditRun) flush(s *sender) {
	for len(s.waiting) > 0 && (!r.heed || s.inflight < s.credits) {
		c := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.inflight++
		r.owner[c.id] = s
		if r.measured() {
			r.sent++
			r.waits = append(r.waits, r.now().Sub(c.since))
		}
		r.after(linkDelay, func(time.Time) {
			r.stepCredits(gate.Arrived{From: s.name, Start: contract.Start{
				Attempt: c.id, Service: "s", Remaining: remaining, Weights: digest, Idempotent: true,
			}})
		})
	}
}

func (r *creditRun) stepCredits(e gate.Event) {
	for _, effect := range slices.Clone(r.g.Step(r.now(), e)) {
		switch effect := effect.(type) {
		case gate.Run:
			id := effect.Start.Attempt
			r.tell(r.owner[id], 0)
			spread := 0.75 + r.rng.Float64()/2
			r.after(firstToken+time.Duration(float64(unitTime)*spread), func(time.Time) {
				r.stepCredits(gate.Ended{Attempt: id, Outcome: contract.OutcomeDone, Weights: digest})
			})
		case gate.Close:
			r.reply(effect.End.Attempt)
		case gate.Refuse:
			if r.measured() {
				r.refused++
			}
			r.reply(effect.Refusal.Attempt)
		}
	}
}

// reply brings the sender of an attempt its end and its new credits.
func (r *creditRun) reply(id contract.AttemptID) {
	s := r.owner[id]
	delete(r.owner, id)
	r.tell(s, 1)
}

// tell brings a sender its new credits, with an accept or with the end of an
// attempt.
func (r *creditRun) tell(s *sender, ended int) {
	credits := int(r.g.Load(s.name).Credits)
	r.after(linkDelay, func(time.Time) {
		s.inflight -= ended
		s.credits = credits
		r.flush(s)
	})
}

// p99 returns the time that 99 in 100 calls waited for a credit at most.
func (r *creditRun) p99() time.Duration {
	if len(r.waits) == 0 {
		return 0
	}
	slices.Sort(r.waits)
	return r.waits[len(r.waits)*99/100]
}

// reportCredits prints the refusals with and without credits.
func reportCredits(w io.Writer, seed uint64) {
	fmt.Fprintf(w, "\ncredits: one warm target, senders drawn at random, heartbeats of %s, %s measured\n", heartbeat, creditsTime-creditsWarmUp)
	fmt.Fprintf(w, "%7s %6s %5s %9s %8s %8s %9s %16s\n", "senders", "limit", "load", "credits", "sent", "refused", "share", "held back p99")
	for _, limit := range []int{2, 16} {
		for _, senders := range []int{3, 9, 24} {
			for _, share := range []float64{0.7, 0.95} {
				for _, heed := range []bool{false, true} {
					r := simulateCredits(senders, limit, share, heed, seed)
					fmt.Fprintf(w, "%7d %6d %4.0f%% %9t %8d %8d %8.2f%% %16s\n", senders, limit, share*100, heed,
						r.sent, r.refused, 100*float64(r.refused)/float64(max(1, r.sent)), r.p99().Round(time.Millisecond))
				}
			}
		}
	}
}
