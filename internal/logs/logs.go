// Package logs creates the loggers of a process: one per component, with the component's
// name as a fixed prefix of every message.
package logs

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
)

// Setup directs all loggers to w at the given level: debug, info, warn or error. The
// returned handler never blocks its callers. Close it before the process ends, so that the
// queued lines are written.
func Setup(w io.Writer, level string) (*BoundedHandler, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "logs")
	}
	b := NewBoundedHandler(w)
	log.SetLevel(parsed)
	log.SetHandler(b)
	currentHandler.Store(b)
	return b, nil
}

// currentHandler is the handler of the process, or nil before Setup.
var currentHandler atomic.Pointer[BoundedHandler]

// DroppedLines returns how many lines the handler of the process has dropped so far.
func DroppedLines() uint64 {
	if b := currentHandler.Load(); b != nil {
		return b.DroppedLines()
	}
	return 0
}

// SetLevel changes the level of all loggers. An unknown level is ignored.
func SetLevel(level string) {
	if parsed, err := log.ParseLevel(level); err == nil {
		log.SetLevel(parsed)
	}
}

// fieldMachine is the field that names the machine in every line.
const fieldMachine = "machine"

// NewLogger returns the logger of one component of a machine's process.
func NewLogger(component string, machine contract.MachineID) log.Interface {
	return prefixLogger{Interface: log.WithField(fieldMachine, string(machine)), prefix: component + ": "}
}

// prefixLogger adds a fixed prefix to every message.
type prefixLogger struct {
	log.Interface
	prefix string
}

// Debug implements log.Interface.
func (p prefixLogger) Debug(msg string) { p.Interface.Debug(p.prefix + msg) }

// Info implements log.Interface.
func (p prefixLogger) Info(msg string) { p.Interface.Info(p.prefix + msg) }

// Warn implements log.Interface.
func (p prefixLogger) Warn(msg string) { p.Interface.Warn(p.prefix + msg) }

// Error implements log.Interface.
func (p prefixLogger) Error(msg string) { p.Interface.Error(p.prefix + msg) }

// Debugf implements log.Interface.
func (p prefixLogger) Debugf(msg string, v ...interface{}) { p.Interface.Debugf(p.prefix+msg, v...) }

// Infof implements log.Interface.
func (p prefixLogger) Infof(msg string, v ...interface{}) { p.Interface.Infof(p.prefix+msg, v...) }

// Warnf implements log.Interface.
func (p prefixLogger) Warnf(msg string, v ...interface{}) { p.Interface.Warnf(p.prefix+msg, v...) }

// Errorf implements log.Interface.
func (p prefixLogger) Errorf(msg string, v ...interface{}) { p.Interface.Errorf(p.prefix+msg, v...) }

// MillisSince returns, for a field, how many milliseconds ago a time was; 0 for the zero time.
func MillisSince(since time.Time) int64 { return MillisBetween(since, time.Now()) }

// MillisBetween returns, for a field, how many milliseconds before now a time was; 0 for the zero time.
func MillisBetween(since, now time.Time) int64 {
	if since.IsZero() {
		return 0
	}
	return now.Sub(since).Milliseconds()
}
