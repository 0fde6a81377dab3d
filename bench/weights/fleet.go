package weights

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/weights/swarm"
)

// Params describe one run.
type Params struct {
	// Hosts is the number of targets, spread evenly over Regions.
	Hosts, Regions int
	// CopyBytes is the size of the version, ChunkBytes of a chunk.
	CopyBytes, ChunkBytes int
	// Machine, Origin and Region are the rates of the links in bytes a second.
	Machine, Origin, Region float64
	// Segment is the unit in which links carry chunks, in bytes.
	Segment int
	// RemoteSegment is the same for chunks that a target sends to another region.
	RemoteSegment int
	Seed          uint64
	// Killed and Corrupt are the shares of hosts that die and of chunks that
	// arrive corrupt.
	Killed, Corrupt float64
	// Swarm holds parameters of the policy; its identity fields are filled in.
	Swarm swarm.Config
	// Prepare, if set, is called with each new state machine.
	Prepare func(*swarm.Swarm)
	// Limit ends a run that does not finish.
	Limit time.Duration
}

// Sizes of a run that follow from the users' figures: a window in which the
// origin's link carries four copies and a machine's link two.
const (
	window       = 2 * time.Minute
	originCopies = 4
	hostCopies   = 2
	// regionRate is 26 Mbit/s in bytes a second.
	regionRate = 26e6 / 8

	defaultCopyBytes  = 256 << 20
	defaultChunkBytes = 512 << 10
	defaultSegment    = 64 << 10

	latencyInRegion = time.Millisecond
	latencyBetween  = 2 * time.Millisecond

	// silentAfter is how long it takes to notice that a peer died; listLag is
	// how much later than that the host list tells it.
	silentAfter = 3 * time.Second
	listLag     = 5 * time.Second
	dialFailure = 500 * time.Millisecond

	requestBytes = 130
	refuseBytes  = 110
	haveBytes    = 120
)

// DefaultParams returns the parameters of the benchmark.
func DefaultParams(hosts, regions int, seed uint64) Params {
	return Params{
		Hosts: hosts, Regions: regions, Seed: seed,
		CopyBytes: defaultCopyBytes, ChunkBytes: defaultChunkBytes, Segment: defaultSegment, RemoteSegment: defaultSegment,
		Machine: hostCopies * defaultCopyBytes / window.Seconds(),
		Origin:  originCopies * defaultCopyBytes / window.Seconds(),
		Region:  regionRate,
		Limit:   24 * time.Hour,
	}
}

func (p Params) chunks() int {
	return (p.CopyBytes + p.ChunkBytes - 1) / p.ChunkBytes
}

// Version is the digest of the version that a run distributes, NextVersion of
// the one that may replace it.
const (
	Version     contract.Digest = "blake3:0000000000000000000000000000000000000000000000000000000000000001"
	NextVersion contract.Digest = "blake3:0000000000000000000000000000000000000000000000000000000000000002"
)

// wire holds the links of a run and the hosts' places.
type wire struct {
	p      Params
	clock  *clock
	rng    *rand.Rand
	origin *line
	// version is what the hosts want at present.
	version    contract.Digest
	originDown bool
	// cut tells for each region that it reaches no other one.
	cut []bool
	// between holds the line from one region to another.
	between [][]*line
	hosts   []*host
	index   map[contract.MachineID]*host

	// clocked asks to measure the real time that the state machines take.
	clocked  bool
	stepTime time.Duration
	steps    int
}

// host is one target: its links and its state machine.
type host struct {
	wire     *wire
	peer     swarm.Peer
	region   int
	up, down *line
	dead     bool
	// silent hosts are dead, but nobody is told.
	silent bool
	// liar makes every chunk that the host serves arrive corrupt.
	liar  bool
	epoch uint64
	// mostServed is the most chunks that it served at once.
	mostServed int
	// finished is when it held the whole version, 0 if it does not.
	finished time.Duration
	control  int64

	swarm    *swarm.Swarm
	tick     time.Duration
	flights  map[swarm.Download]*transfer
	serving  map[swarm.Upload]*transfer
	pace     pacer
	regional []pacer
	notes    map[swarm.NoteKind]int
}

func newWire(p Params) *wire {
	w := &wire{p: p, clock: &clock{}, rng: rand.New(rand.NewPCG(p.Seed, uint64(p.Hosts*10+p.Regions))), index: map[contract.MachineID]*host{}}
	w.version = Version
	w.cut = make([]bool, p.Regions)
	w.origin = w.line(p.Origin, latencyInRegion)
	w.between = make([][]*line, p.Regions)
	for a := range w.between {
		w.between[a] = make([]*line, p.Regions)
		for b := range w.between[a] {
			if a != b {
				w.between[a][b] = w.line(p.Region, latencyBetween)
			}
		}
	}
	for i := range p.Hosts {
		w.addHost(i)
	}
	return w
}

func (w *wire) line(rate float64, latency time.Duration) *line {
	return &line{clock: w.clock, rate: rate, latency: latency}
}

func (w *wire) addHost(i int) *host {
	region := i % w.p.Regions
	h := &host{
		wire: w, region: region,
		up: w.line(w.p.Machine, latencyInRegion/2), down: w.line(w.p.Machine, latencyInRegion/2),
		regional: make([]pacer, w.p.Regions), flights: map[swarm.Download]*transfer{}, serving: map[swarm.Upload]*transfer{}, notes: map[swarm.NoteKind]int{},
		peer: swarm.Peer{
			Machine: contract.MachineID(fmt.Sprintf("t%04d", i)),
			Zone:    contract.ZoneName(fmt.Sprintf("z%d", region)),
			Region:  regionName(region),
		},
	}
	w.hosts = append(w.hosts, h)
	w.index[h.peer.Machine] = h
	return h
}

func regionName(i int) contract.RegionName {
	return contract.RegionName(fmt.Sprintf("r%d", i))
}

// reaches reports whether a host, or the origin if from is nil, can reach a host.
func (w *wire) reaches(from, to *host) bool {
	region := 0
	if from != nil {
		region = from.region
	}
	return region == to.region || !w.cut[region] && !w.cut[to.region]
}

// path returns the lines from a host, or the origin if from is nil, to a host.
func (w *wire) path(from, to *host) []*line {
	first, region := w.origin, 0
	if from != nil {
		first, region = from.up, from.region
	}
	if region == to.region {
		return []*line{first, to.down}
	}
	return []*line{first, w.between[region][to.region], to.down}
}

// delay is how long a small message takes between two hosts.
func (w *wire) delay(from, to *host) time.Duration {
	d := time.Duration(0)
	for _, l := range w.path(from, to) {
		d += l.delay(w.p.Segment)
	}
	return d
}

func (w *wire) transfer(from, to *host, bytes int, pace *pacer, done func(ok bool)) *transfer {
	return &transfer{clock: w.clock, path: w.path(from, to), pace: pace, segment: w.p.Segment, left: bytes, done: done}
}

// chunkSize is the size of chunk i.
func (w *wire) chunkSize(i int) int {
	return min(w.p.ChunkBytes, w.p.CopyBytes-i*w.p.ChunkBytes)
}

// allDone reports whether every living host is finished.
func (w *wire) allDone() bool {
	for _, h := range w.hosts {
		if !h.dead && h.finished == 0 {
			return false
		}
	}
	return true
}
