// Package closedloop lets callers call one after the other for a bounded time
// and records how long the parts of their answers took.
package closedloop

import (
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxMicros = 10_000_000
	digits    = 3
)

// Caller makes call n and returns the time to the first part of its answer.
type Caller func(n int) (first time.Duration, err error)

// Measured is what callers saw in one run. The histograms are in microseconds.
type Measured struct {
	Calls, Failed int
	// CPU is the processor time of the whole process: callers, what they call
	// and stand-ins, if all run in it.
	CPU          time.Duration
	First, Whole *hdrhistogram.Histogram
}

// Measure runs a number of callers for a duration.
func Measure(callers int, d time.Duration, call Caller) Measured {
	var mu sync.Mutex
	var next atomic.Int64
	m := Measured{First: hdrhistogram.New(1, maxMicros, digits), Whole: hdrhistogram.New(1, maxMicros, digits)}
	var wg sync.WaitGroup
	before := cpuTime()
	end := time.Now().Add(d)
	for range callers {
		wg.Go(func() {
			for time.Now().Before(end) {
				began := time.Now()
				first, err := call(int(next.Add(1)))
				whole := time.Since(began)
				mu.Lock()
				m.note(first, whole, err)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	m.CPU = cpuTime() - before
	return m
}

func (m *Measured) note(first, whole time.Duration, err error) {
	if err != nil {
		m.Failed++
		return
	}
	m.Calls++
	_ = m.First.RecordValue(max(1, first.Microseconds()))
	_ = m.Whole.RecordValue(max(1, whole.Microseconds()))
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
