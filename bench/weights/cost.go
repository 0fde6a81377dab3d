package weights

import (
	"bytes"
	"fmt"
	"io"
	"runtime"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/weights"
	"mimosastand.example/mimosastand/weights/swarm"
)

// costCase is one size at which the state machine's own cost is measured.
type costCase struct {
	hosts, chunkBytes int
}

var costCases = []costCase{
	{32, 512 << 10}, {100, 512 << 10}, {350, 512 << 10},
	{100, 256 << 10}, {100, 1 << 20},
}

// reportCost prints the processor time and memory of the state machine. These
// figures are of the real clock and differ from run to run.
func reportCost(w io.Writer, seed uint64) error {
	fmt.Fprintf(w, "\ncost of the state machine per target, one region (real clock)\n")
	fmt.Fprintf(w, "%-6s %7s %8s %11s %12s %10s %10s\n", "N", "chunks", "steps", "us/step", "ms/roll-out", "core %", "state KiB")
	for _, c := range costCases {
		p := DefaultParams(c.hosts, 1, seed)
		p.ChunkBytes = c.chunkBytes
		printCost(w, p)
	}
	return printVerify(w)
}

// printVerify prints how fast one core checks chunks.
func printVerify(w io.Writer) error {
	const chunks = 128
	m, err := weights.Split(bytes.NewReader(make([]byte, defaultChunkBytes)), "bench", defaultChunkBytes,
		func(contract.Digest, []byte) error { return nil })
	if err != nil {
		return err
	}
	data := make([]byte, defaultChunkBytes)
	start := time.Now()
	for range chunks {
		if err := m.Verify(0, data); err != nil {
			return err
		}
	}
	took := time.Since(start)
	fmt.Fprintf(w, "verification: %.2f ms a chunk of %d KiB, %.0f MB/s on one core\n",
		took.Seconds()*1e3/chunks, defaultChunkBytes>>10, chunks*float64(defaultChunkBytes)/took.Seconds()/1e6)
	return nil
}

func printCost(w io.Writer, p Params) {
	wire := newWire(p)
	wire.clocked = true
	for _, h := range wire.hosts {
		h.startSwarm(1)
		wire.clock.after(time.Duration(wire.rng.Float64()*float64(startSpread)), h.want)
	}
	wire.clock.run(p.Limit, wire.allDone)
	hosts := float64(len(wire.hosts))
	spent := wire.stepTime.Seconds() / hosts
	fmt.Fprintf(w, "%-6d %7d %8.0f %11.2f %12.1f %10.3f %10.0f\n", p.Hosts, p.chunks(), float64(wire.steps)/hosts,
		wire.stepTime.Seconds()/float64(wire.steps)*1e6, spent*1e3, 100*spent/wire.clock.now.Seconds(), stateBytes(p)/1024)
}

// stateBytes measures the heap that one state machine takes when its neighbours
// have told all.
func stateBytes(p Params) float64 {
	const copies = 8
	w := newWire(p)
	full := make([]byte, (p.chunks()+7)/8)
	for i := range p.chunks() {
		full[i/8] |= 1 << (i % 8)
	}
	before := heapBytes()
	for _, h := range w.hosts[:copies] {
		h.startSwarm(1)
		h.want()
		for _, o := range w.hosts {
			h.swarm.Step(0, swarm.HaveReceived{From: o.peer.Machine, Version: Version, Epoch: 1, Bitmap: full})
		}
	}
	after := heapBytes()
	runtime.KeepAlive(w)
	return float64(after-before) / copies
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
