package serving

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"text/tabwriter"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/dispatch"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/zone/hostlist"
)

// costs prints what decisions cost in real time and memory; these figures vary
// from run to run.
func costs(out io.Writer) error {
	fmt.Fprintf(out, "\ndecisions of one entry, real time\n")
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "targets\trequest\tallocs\tpart of an answer\tallocs\theartbeat\tallocs\tmemory with 1,000 open requests")
	for _, n := range []int{4, 16, 32, 64, 128} {
		c := newCosting(n)
		request := c.measure(20_000, c.request)
		c.begin(0)
		part := c.measure(100_000, c.part)
		beat := c.measure(100_000, c.beat)
		fmt.Fprintf(table, "%d\t%d ns\t%.0f\t%d ns\t%.0f\t%d ns\t%.0f\t%.2f MB\n", n,
			request.ns, request.allocs, part.ns, part.allocs, beat.ns, beat.allocs, openMemory(n))
	}
	return table.Flush()
}

// costing drives one machine by itself.
type costing struct {
	machine  *dispatch.StateMachine
	now      time.Time
	effects  []dispatch.Effect
	n        int
	made     int
	seq      uint64
	load     contract.Load
	exchange uint64
	attempt  contract.AttemptID
	at       uint64
}

func newCosting(n int) *costing {
	s := kalahari()
	c := &costing{now: epoch, n: n, load: contract.Load{Limit: 1024, Credits: 1024, Weights: weights}}
	c.machine = dispatch.New(dispatch.Config{Machine: "entry-0", Home: s.zones[0]}, rand.New(rand.NewPCG(1, 2)))
	list := hostlist.List{Version: 1}
	for i := range n {
		list.Hosts = append(list.Hosts, hostlist.Host{
			Machine: costTarget(i), Role: hostlist.Target, Zone: s.zones[0].Zone, Region: s.zones[0].Region, Service: s.model,
		})
	}
	c.step(dispatch.HostsChanged{List: list})
	c.step(dispatch.SettingsChanged{View: s.view(1, nil)})
	for i := range n {
		c.step(dispatch.LinkUp{Machine: costTarget(i)})
		c.beat()
	}
	return c
}

func costTarget(i int) contract.MachineID {
	return contract.MachineID(fmt.Sprintf("target-%03d", i))
}

func (c *costing) step(ev dispatch.Event) {
	c.effects = c.machine.Step(c.now, ev, c.effects[:0])
	for _, e := range c.effects {
		if start, ok := e.(dispatch.SendStart); ok {
			c.exchange, c.attempt = start.Exchange, start.Start.Attempt
		}
	}
}

func (c *costing) receive(m contract.Message) {
	c.step(dispatch.MessageReceived{Exchange: c.exchange, Message: m})
}

// begin brings a request to its start at a target.
func (c *costing) begin(bytes int) {
	c.made++
	c.now = c.now.Add(time.Millisecond)
	c.step(dispatch.RequestArrived{Request: dispatch.Request{
		ID: contract.RequestID(fmt.Sprintf("r%d", c.made)), Service: kalahari().model, Team: team(0),
		Kind: settings.KindModel, Timeout: time.Hour, Tokens: meanTokens, Body: make([]byte, bytes),
	}})
	c.seq++
	c.load.Seq = c.seq
	c.at = 0
	c.receive(contract.Message{Kind: contract.KindAccept, Accept: &contract.Accept{Attempt: c.attempt, Load: c.load}})
}

func (c *costing) request() {
	c.begin(0)
	c.receive(contract.Message{Kind: contract.KindEnd, End: &contract.End{
		Attempt: c.attempt, Outcome: contract.OutcomeDone, Weights: weights, Load: c.load,
	}})
}

func (c *costing) part() {
	c.receive(contract.Message{Kind: contract.KindChunk, Chunk: &contract.Chunk{Attempt: c.attempt, Seq: c.at, At: c.at, Data: []byte("token ")}})
	c.at++
}

func (c *costing) beat() {
	c.seq++
	c.load.Seq = c.seq
	load := c.load
	c.step(dispatch.Heartbeat{Heartbeat: contract.Heartbeat{Machine: costTarget(int(c.seq) % c.n), Incarnation: 1, Load: &load}})
}

type cost struct {
	ns     int64
	allocs float64
}

func (c *costing) measure(n int, do func()) cost {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	began := time.Now()
	for range n {
		do()
	}
	elapsed := time.Since(began)
	runtime.ReadMemStats(&after)
	return cost{ns: elapsed.Nanoseconds() / int64(n), allocs: float64(after.Mallocs-before.Mallocs) / float64(n)}
}

// openMemory is the heap of a machine with 1,000 open requests of 1 KiB.
func openMemory(n int) float64 {
	const open, body, mega = 1000, 1 << 10, 1e6
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	c := newCosting(n)
	for range open {
		c.begin(body)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(c)
	return (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / mega
}
