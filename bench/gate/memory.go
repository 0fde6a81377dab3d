package gate

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/target/answers"
)

// Shapes of what is kept.
const (
	keptTokens = 200
	tokenBytes = 9
	bodyBytes  = 4 << 10
	samples    = 2000
)

// heapBytes returns the bytes in use on the heap.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// perItem returns the heap bytes that each of n items takes.
func perItem(n int, limits answers.Limits, add func(s *answers.Store, i int)) int64 {
	before := heapBytes()
	s := answers.New(limits)
	for i := range n {
		add(s, i)
	}
	used := heapBytes() - before
	runtime.KeepAlive(s)
	return used / int64(n)
}

func attemptID(i int) contract.AttemptID {
	return contract.AttemptID{Request: contract.RequestID(fmt.Sprintf("khomas-a-entry-1-c4k2v1f9x0z-%d", i)), N: 1}
}

// keep runs one attempt to its end with frames of size bytes.
func keep(s *answers.Store, i, frames, size int) {
	now := time.Unix(epochSecond, 0)
	r := s.RecordStart(now, attemptID(i), now.Add(remaining))
	for seq := range frames {
		s.Append(r, answers.Frame{At: uint64(seq), Data: make([]byte, size)}, 0)
	}
	s.Finish(now, r, contract.End{Outcome: contract.OutcomeDone})
}

// reportMemory prints what each thing that a target keeps takes, and what all
// of them take at their bounds.
func reportMemory(w io.Writer) {
	wide := answers.DefaultLimits
	wide.MaxBytes, wide.MaxStarted, wide.MaxTombstones = 1<<30, 1<<30, 1<<30
	narrow := answers.DefaultLimits
	narrow.MaxStarted = 1
	bury := func(s *answers.Store, i int) {
		s.AddRefusal(time.Unix(epochSecond, 0), attemptID(i), contract.ReasonTargetFull)
	}
	fmt.Fprintf(w, "\nmemory of what a target keeps, heap bytes each\n")
	for _, row := range []struct {
		name  string
		bytes int64
	}{
		{"record of a running attempt", perItem(samples, wide, func(s *answers.Store, i int) {
			s.RecordStart(time.Unix(epochSecond, 0), attemptID(i), time.Unix(epochSecond, 0))
		})},
		{fmt.Sprintf("kept answer of %d tokens", keptTokens), perItem(samples, wide, func(s *answers.Store, i int) { keep(s, i, keptTokens, tokenBytes) })},
		{fmt.Sprintf("kept answer of %d bytes", bodyBytes), perItem(samples, wide, func(s *answers.Store, i int) { keep(s, i, 1, bodyBytes) })},
		{"attempt of which only the number is remembered", perItem(narrow.MaxDroppedRecords/2, narrow, func(s *answers.Store, i int) { keep(s, i, 0, 0) })},
		{"tombstone", perItem(samples, wide, bury)},
	} {
		fmt.Fprintf(w, "%-48s %8d\n", row.name, row.bytes)
	}
	full := answers.DefaultLimits
	all := perItem(1, full, func(s *answers.Store, _ int) {
		for i := range full.MaxDroppedRecords - full.MaxStarted {
			keep(s, i, 0, 0)
		}
		for i := range full.MaxStarted {
			keep(s, full.MaxDroppedRecords+i, keptTokens, tokenBytes)
		}
		for i := range 2 * full.MaxTombstones {
			bury(s, 2*full.MaxDroppedRecords+i)
			s.AddTombstone(time.Unix(epochSecond, 0), attemptID(3*full.MaxDroppedRecords+i))
		}
	})
	fmt.Fprintf(w, "%-48s %8d\n", "all of them at their bounds", all)
}
