package dispatch

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/settings/fixed"
	"mimosastand.example/mimosastand/zone/balancer"
	"mimosastand.example/mimosastand/zone/hostlist"
)

var (
	epoch     = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	oldDigest = contract.NewDigest([32]byte{1})
	newDigest = contract.NewDigest([32]byte{2})
)

// harness drives a state machine with the commands of a scenario file.
type harness struct {
	machine *StateMachine
	now     time.Time
	out     strings.Builder
}

func newHarness() *harness {
	cfg := Config{Machine: "e1", Home: balancer.Place{Region: "khomas", Zone: "khomas-a"}}
	return &harness{machine: New(cfg, rand.New(rand.NewPCG(1, 2))), now: epoch}
}

func testView(offset contract.Offset, evacuated ...string) *fixed.View {
	s := settings.ServiceSettings{
		Kind: settings.KindPlain, ColdRunning: 1, SlowStart: 10 * time.Second, QueueLength: 4, RetryShare: 0.2, Spill: true,
	}
	model := s
	model.Kind, model.Weights, model.Former = settings.KindModel, newDigest, oldDigest
	v := &fixed.View{
		At:       offset,
		Out:      map[contract.ZoneName]bool{},
		Deployed: map[contract.ServiceName]settings.ServiceSettings{"drafts": model, "registry": s},
		Teams: map[contract.TeamName]settings.TeamSettings{
			"north": {Share: 1, RetryShare: 0.2, MaxPriority: 5},
			"south": {Share: 1, RetryShare: 0.2, MaxPriority: 5},
		},
	}
	for _, zone := range evacuated {
		v.Out[contract.ZoneName(zone)] = true
	}
	return v
}

func (h *harness) step(ev Event) {
	for _, e := range h.machine.Step(h.now, ev, nil) {
		h.out.WriteString(h.formatEffect(e) + "\n")
	}
}

// advance lets time pass and sends the state machine a Tick whenever Wake requires one.
func (h *harness) advance(d time.Duration) {
	end := h.now.Add(d)
	for {
		at, ok := h.machine.Wake()
		if !ok || at.After(end) {
			break
		}
		if at.After(h.now) {
			h.now = at
		}
		h.step(Tick{})
	}
	h.now = end
	h.step(Tick{})
}

func (h *harness) formatEffect(e Effect) string {
	at := fmt.Sprintf("%6dms ", h.now.Sub(epoch).Milliseconds())
	switch e := e.(type) {
	case SendStart:
		s := e.Start
		return at + fmt.Sprintf("start x%d %s on %s remaining=%s weights=%s resume=%d settings=%d",
			e.Exchange, s.Attempt, e.Target, s.Remaining, s.Weights.Short(), s.ResumeAt, s.SettingsOffset)
	case SendQuery:
		q := e.Query
		return at + fmt.Sprintf("query x%d %s on %s tombstone=%t resend=%t from=%d fresh=%t forget=%t",
			e.Exchange, q.Attempt, e.Target, q.Tombstone, q.Resend, q.ResendFrom, e.NewConnection, e.IgnoreReplies)
	case SendCancel:
		return at + fmt.Sprintf("cancel x%d %s on %s", e.Exchange, e.Attempt, e.Target)
	case EndExchange:
		return at + fmt.Sprintf("close x%d", e.Exchange)
	case Deliver:
		return at + fmt.Sprintf("deliver %s at=%d %q", e.Request, e.At, e.Data)
	case Finish:
		return at + "finish " + formatFinish(e)
	case ResolveKey:
		return at + fmt.Sprintf("resolve %s %s %s", e.Claim.Request, e.Outcome, e.Reason)
	case ClaimKey:
		return at + fmt.Sprintf("claim %s key=%s", e.Claim.Request, e.Claim.Key)
	case Count:
		names := [...]string{"refusal", "retry", "ignored", "ejection", "query", "spill", "move"}
		return at + fmt.Sprintf("count %s %s", names[e.Counter], e.Reason)
	case SetPeers:
		return at + fmt.Sprintf("peers %d", len(e.Peers))
	default:
		return at + fmt.Sprintf("%T %+v", e, e)
	}
}

func formatFinish(f Finish) string {
	s := fmt.Sprintf("%s %s", f.Request, f.Outcome)
	if f.Reason != "" {
		s += " " + string(f.Reason)
	}
	if f.Answer != nil {
		s += fmt.Sprintf(" status=%d body=%q", f.Answer.Status, f.Answer.Body)
	}
	if f.Weights != "" {
		s += fmt.Sprintf(" tokens=%d weights=%s", f.Tokens, f.Weights.Short())
	}
	if f.RetryAfter > 0 {
		s += " retry-after"
	}
	return s + fmt.Sprintf(" attempts=%d", f.Attempts)
}

// args provides typed access to the arguments of a command.
type args struct {
	t *testing.T
	d *datadriven.TestData
}

func (a args) firstKey() string {
	return a.d.CmdArgs[0].Key
}

func (a args) exchange() uint64 {
	var x uint64
	_, _ = fmt.Sscanf(a.firstKey(), "x%d", &x)
	return x
}

func (a args) text(key string) string {
	var s string
	a.d.MaybeScanArgs(a.t, key, &s)
	return s
}

func (a args) number(key string) uint64 {
	var n uint64
	a.d.MaybeScanArgs(a.t, key, &n)
	return n
}

func (a args) duration(key string, fallback time.Duration) time.Duration {
	if d, err := time.ParseDuration(a.text(key)); err == nil {
		return d
	}
	return fallback
}

func (a args) digest(key string) contract.Digest {
	return map[string]contract.Digest{"": "", "old": oldDigest, "new": newDigest}[a.text(key)]
}

func (a args) outcome() contract.Outcome {
	return map[string]contract.Outcome{"done": contract.OutcomeDone, "notrun": contract.OutcomeNotRun}[a.text("outcome")]
}

func (a args) load() contract.Load {
	return contract.Load{
		Running: uint32(a.number("running")), Limit: uint32(a.number("limit")), Credits: uint32(a.number("credits")),
		Seq: a.number("seq"), Weights: a.digest("has"), Leaving: a.d.HasArg("leaving"), Warm: true,
	}
}

// attempt returns the attempt that a message is about: the one that the command names, or
// the one of the exchange.
func (h *harness) attempt(a args) contract.AttemptID {
	if text := a.text("attempt"); text != "" {
		request, n, _ := strings.Cut(text, "/")
		id := contract.AttemptID{Request: contract.RequestID(request)}
		_, _ = fmt.Sscan(n, &id.N)
		return id
	}
	if known := h.machine.exchanges[a.exchange()]; known != nil {
		return known.id
	}
	return contract.AttemptID{}
}

// runCommand runs one command and returns its effects as text.
func (h *harness) runCommand(t *testing.T, d *datadriven.TestData) string {
	h.out.Reset()
	a := args{t: t, d: d}
	switch d.Cmd {
	case "hosts":
		h.step(HostsChanged{List: parseHosts(a.number("version"), d.Input)})
	case "settings":
		h.step(SettingsChanged{View: testView(contract.Offset(a.number("offset")), strings.Fields(a.text("out"))...)})
	case "up":
		h.step(LinkUp{Machine: contract.MachineID(a.firstKey())})
	case "down":
		h.step(LinkDown{Machine: contract.MachineID(a.firstKey()), Reason: contract.Reason(a.text("reason"))})
	case "load":
		load := a.load()
		h.step(Heartbeat{Heartbeat: contract.Heartbeat{
			Machine: contract.MachineID(a.firstKey()), Incarnation: contract.Incarnation(max(1, a.number("inc"))), Load: &load,
		}})
	case "advance":
		dur, err := time.ParseDuration(a.firstKey())
		if err != nil {
			t.Fatal(err)
		}
		h.advance(dur)
	case "stop":
		h.step(StopRequested{})
	default:
		h.runRequestCommand(t, a)
	}
	if h.out.Len() == 0 {
		return "ok\n"
	}
	return h.out.String()
}

func (h *harness) runRequestCommand(t *testing.T, a args) {
	id := contract.RequestID(a.firstKey())
	switch a.d.Cmd {
	case "arrive":
		h.step(RequestArrived{Request: a.request()})
	case "gone":
		h.step(CallerDisconnected{Request: id})
	case "slow":
		h.step(CallerSlow{Request: id, Slow: !a.d.HasArg("off")})
	case "claimed":
		h.step(ClaimDecided{
			Request: id, Run: a.d.HasArg("run"), StartWithin: a.duration("within", 0),
			Reason: contract.Reason(a.text("reason")), RetryAfter: a.duration("after", 0), Outcome: a.outcome(),
		})
	case "broken":
		h.step(ExchangeBroken{Exchange: a.exchange(), Reason: contract.Reason(a.text("reason")), Unsent: a.d.HasArg("unsent")})
	default:
		h.step(MessageReceived{Exchange: a.exchange(), Message: h.message(t, a)})
	}
}

func (a args) request() Request {
	r := Request{
		ID: contract.RequestID(a.firstKey()), Service: "registry", Team: "north", Kind: settings.KindPlain,
		Timeout: a.duration("timeout", 30*time.Second), Tokens: uint32(max(10, a.number("tokens"))),
		Idempotent: a.d.HasArg("idempotent"), Key: a.text("key"), PrefixHash: a.number("prefix"),
		Priority: int8(a.number("priority")),
	}
	r.RequiresClaim = r.Key != ""
	if a.d.HasArg("model") {
		r.Service, r.Kind = "drafts", settings.KindModel
	}
	if service := a.text("service"); service != "" {
		r.Service = contract.ServiceName(service)
	}
	if team := a.text("team"); team != "" {
		r.Team = contract.TeamName(team)
	}
	return r
}

// message returns the message of a target that the arguments describe.
func (h *harness) message(t *testing.T, a args) contract.Message {
	id := h.attempt(a)
	reason := contract.Reason(a.text("reason"))
	switch a.d.Cmd {
	case "accept":
		return contract.Message{Kind: contract.KindAccept, Accept: &contract.Accept{Attempt: id, Load: a.load()}}
	case "refuse":
		return contract.Message{Kind: contract.KindRefuse, Refuse: &contract.Refuse{
			Attempt: id, Reason: reason, Load: a.load(), SettingsOffset: contract.Offset(a.number("settings")), RetryAfter: a.duration("after", 0),
		}}
	case "chunk":
		return contract.Message{Kind: contract.KindChunk, Chunk: &contract.Chunk{
			Attempt: id, Seq: a.number("n"), At: a.number("at"), Data: []byte(a.text("data")),
		}}
	case "end":
		return contract.Message{Kind: contract.KindEnd, End: &contract.End{
			Attempt: id, Outcome: a.outcome(), Reason: reason, Frames: a.number("frames"),
			Length: a.number("length"), Status: 200, Weights: a.digest("weights"), Load: a.load(),
		}}
	case "status":
		for s := contract.AttemptNoRecord; s <= contract.AttemptOutcomeUnknown; s++ {
			if strings.ReplaceAll(s.String(), " ", "") == a.text("state") {
				return contract.Message{Kind: contract.KindStatus, Status: &contract.Status{
					Attempt: id, State: s, Reason: reason, Incarnation: contract.Incarnation(max(1, a.number("inc"))),
				}}
			}
		}
	}
	t.Fatalf("%s: command is %q, want a known one", a.d.Pos, a.d.Cmd)
	return contract.Message{}
}

// parseHosts parses lines of the form "machine role zone service [leaving]". The region
// of a zone is its name up to the dash.
func parseHosts(version uint64, text string) hostlist.List {
	list := hostlist.List{Version: version}
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		f := append(strings.Fields(line), "", "")
		region, _, _ := strings.Cut(f[2], "-")
		h := hostlist.Host{
			Machine: contract.MachineID(f[0]), Role: hostlist.Role(f[1]), Zone: contract.ZoneName(f[2]),
			Region: contract.RegionName(region), Service: contract.ServiceName(f[3]), Address: f[0] + ":1", State: hostlist.Live,
		}
		if f[4] == "leaving" {
			h.State = hostlist.Leaving
		}
		list.Hosts = append(list.Hosts, h)
	}
	return list
}

// TestScenarios runs the scenarios in testdata and compares every effect.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		h := newHarness()
		datadriven.RunTest(t, path, h.runCommand)
	})
}
