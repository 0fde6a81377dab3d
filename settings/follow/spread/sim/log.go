// Package sim runs the real spread machines of many processes in virtual time,
// over a log, links and faults held in memory. Tests script it; the benchmark
// measures with it.
package sim

import (
	"context"
	"sync"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/durable"
)

const batchRecords = 512

// Log is a log stream in memory with switchable faults. It implements
// durable.Log for one stream and is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	now     func() time.Time
	records []durable.Record
	oldest  contract.Offset
	arrived chan struct{}

	down bool
	// loseReplies is how many of the next appends take effect without a reply.
	loseReplies int
	reads       int
	readBytes   int
}

var _ durable.Log = (*Log)(nil)

// NewLog returns an empty log that stamps records with now.
func NewLog(now func() time.Time) *Log {
	return &Log{now: now, oldest: 1, arrived: make(chan struct{})}
}

// SetDown switches an outage on or off.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// LoseReplies makes the next n appends take effect without a reply.
func (l *Log) LoseReplies(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loseReplies = n
}

// Trim drops all records below oldest.
func (l *Log) Trim(oldest contract.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.oldest = max(l.oldest, min(oldest, l.newest()+1))
}

// Newest returns the highest offset written.
func (l *Log) Newest() contract.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newest()
}

// Served returns the number of reads and of record bytes so far.
func (l *Log) Served() (reads, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads, l.readBytes
}

func (l *Log) newest() contract.Offset {
	return contract.Offset(len(l.records))
}

// Append implements durable.Log.
func (l *Log) Append(_ context.Context, _ string, data []byte) (contract.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, durable.ErrUnavailable
	}
	offset := l.newest() + 1
	l.records = append(l.records, durable.Record{Offset: offset, Time: l.now(), Data: data})
	close(l.arrived)
	l.arrived = make(chan struct{})
	if l.loseReplies > 0 {
		l.loseReplies--
		return 0, durable.ErrUncertain
	}
	return offset, nil
}

// Read implements durable.Log.
func (l *Log) Read(ctx context.Context, _ string, after contract.Offset, wait time.Duration) (durable.Batch, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		batch, arrived, err := l.read(after)
		if err != nil || len(batch.Records) > 0 || wait == 0 {
			return batch, err
		}
		select {
		case <-arrived:
		case <-deadline.C:
			return batch, nil
		case <-ctx.Done():
			return durable.Batch{}, durable.ErrUnavailable
		}
	}
}

func (l *Log) read(after contract.Offset) (durable.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.down {
		return durable.Batch{}, nil, durable.ErrUnavailable
	}
	if after+1 < l.oldest {
		return durable.Batch{}, nil, durable.ErrTrimmed
	}
	batch := durable.Batch{Oldest: l.oldest, Newest: l.newest()}
	if after < l.newest() {
		end := min(after+batchRecords, l.newest())
		batch.Records = append([]durable.Record(nil), l.records[after:end]...)
	}
	for _, r := range batch.Records {
		l.readBytes += len(r.Data)
	}
	return batch, l.arrived, nil
}
