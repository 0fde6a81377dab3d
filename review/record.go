//go:build review

package review

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Run is one run of a request at an engine. Bad lists the unsound pieces of the weights that
// made its tokens.
type Run struct {
	Attempt, Engine string
	Version         int64
	Bad             []BadPiece
}

// Record is the record of a case: what was sent, answered and run.
type Record struct {
	started time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
	runs []Run
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{started: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// Printf writes a line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%7.2f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Announce writes a line to the record and to standard output.
func (r *Record) Announce(format string, args ...any) {
	r.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// AddRun adds a run.
func (r *Record) AddRun(run Run) {
	r.Printf("ran %s at %s on version %d", run.Attempt, run.Engine, run.Version)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
}

// Runs returns all runs so far.
func (r *Record) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// Close writes what is buffered and closes the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
