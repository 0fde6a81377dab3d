// Package logs makes the loggers of a process: one for each part, with the
// part's name as a fixed prefix of every line.
package logs

import (
	"io"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
)

// Setup directs all loggers to w at the given level: debug, info, warn or error.
// The handler that it returns never makes its callers wait; close it at the end.
func Setup(w io.Writer, level string) (*BoundedHandler, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "logs")
	}
	b := NewBoundedHandler(w)
	log.SetLevel(parsed)
	log.SetHandler(b)
	current.Store(b)
	return b, nil
}

// current is the handler of the process.
var current atomic.Pointer[BoundedHandler]

// LeftOut is how many lines the process's handler has left out.
func DroppedLines() uint64 {
	if b := current.Load(); b != nil {
		return b.DroppedLines()
	}
	return 0
}

// SetLevel changes the level of all loggers; an unknown one changes nothing.
func SetLevel(level string) {
	if parsed, err := log.ParseLevel(level); err == nil {
		log.SetLevel(parsed)
	}
}

// fieldMachine names the machine in every line.
const fieldMachine = "machine"

// For returns the logger of one part of a machine's process.
func NewLogger(part string, machine contract.MachineID) log.Interface {
	return prefixed{Interface: log.WithField(fieldMachine, string(machine)), prefix: part + ": "}
}

// prefixed puts a fixed prefix before every message.
type prefixed struct {
	log.Interface
	prefix string
}

// Debug implements log.Interface.
func (p prefixed) Debug(msg string) { p.Interface.Debug(p.prefix + msg) }

// Info implements log.Interface.
func (p prefixed) Info(msg string) { p.Interface.Info(p.prefix + msg) }

// Warn implements log.Interface.
func (p prefixed) Warn(msg string) { p.Interface.Warn(p.prefix + msg) }

// Error implements log.Interface.
func (p prefixed) Error(msg string) { p.Interface.Error(p.prefix + msg) }

// Debugf implements log.Interface.
func (p prefixed) Debugf(msg string, v ...interface{}) { p.Interface.Debugf(p.prefix+msg, v...) }

// Infof implements log.Interface.
func (p prefixed) Infof(msg string, v ...interface{}) { p.Interface.Infof(p.prefix+msg, v...) }

// Warnf implements log.Interface.
func (p prefixed) Warnf(msg string, v ...interface{}) { p.Interface.Warnf(p.prefix+msg, v...) }

// Errorf implements log.Interface.
func (p prefixed) Errorf(msg string, v ...interface{}) { p.Interface.Errorf(p.prefix+msg, v...) }
