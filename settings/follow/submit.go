package follow

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/durable"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/settings/checkpoint"
	"mimosastand.example/mimosastand/settings/follow/spread"
	"mimosastand.example/mimosastand/settings/record"
	"mimosastand.example/mimosastand/settings/replay"
	"mimosastand.example/mimosastand/settings/schema"
)

var (
	// ErrNotAccepted means that the log did not take the change: nothing changed.
	ErrNotAccepted = errors.New("settings: not accepted, nothing changed")
	// ErrNotReady means that this process has not caught up: nothing changed.
	ErrNotReady = errors.New("settings: not caught up, nothing changed")
	// ErrUnknown means that the change may or may not be accepted; the same
	// change with the same identifier may be sent again.
	ErrUnknown = errors.New("settings: not known whether the change was accepted")
	// ErrIdentifierReused means that another change has this identifier.
	ErrIdentifierReused = errors.New("settings: identifier belongs to another change")
	// ErrBaseTooOld means that the base is older than the changes remembered, or
	// newer than the log.
	ErrBaseTooOld = errors.New("settings: base is too old, read the settings again")
)

// ConflictError tells which other change came first. Nothing changed.
type ConflictError struct {
	// With is the other change's offset; Author and ID are empty if this process
	// no longer holds it.
	With       contract.Offset
	Author, ID string
	Scope      settings.Scope
	Key        settings.Key
}

// Error names the other change.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("settings: conflict with change %d (%s by %s) at [%s] %s", e.With, e.ID, e.Author, e.Scope, e.Key)
}

// InvalidError lists the values that the schema refuses. Nothing changed.
type InvalidError struct {
	Faults []*schema.Fault
}

// Error gives the first fault and the number of faults.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("settings: %d refused values, first %s", len(e.Faults), e.Faults[0])
}

// Result tells where an accepted change stands in the log.
type Result struct {
	Offset contract.Offset
	// Duplicate tells that an earlier send of the change was accepted.
	Duplicate bool
}

// Submit appends a change and returns once it is read back at its offset and
// decided. It fails with *InvalidError, *ConflictError, ErrIdentifierReused or
// ErrBaseTooOld, with ErrNotReady before the process has caught up, with
// ErrNotAccepted while the log takes no appends, and with ErrUnknown if ctx ends while a lost reply is unresolved.
func (f *Follower) Submit(ctx context.Context, c record.Change) (Result, error) {
	data, err := record.Encode(record.Record{Change: &c})
	if err != nil {
		return Result{}, err
	}
	if !f.Ready() {
		return Result{}, ErrNotReady
	}
	if result, err, done := f.precheck(ctx, c); done {
		return result, err
	}
	uncertain := false
	for {
		offset, err := f.opts.Log.Append(ctx, record.Stream, data)
		switch {
		case err == nil:
			return f.readBack(ctx, c, offset)
		case errors.Is(err, durable.ErrThrottled):
			f.count("submits", "throttled")
		case errors.Is(err, durable.ErrUnavailable):
			f.count("submits", "log down")
			if !uncertain {
				return Result{}, errors.Mark(err, ErrNotAccepted)
			}
		default:
			f.count("submits", "reply lost")
			uncertain = true
		}
		if uncertain && f.catchUp(ctx) == nil {
			if result, err, ok := f.outcome(c); ok {
				return result, err
			}
		}
		if !pause(ctx, f.timing.SubmitRetry) {
			return Result{}, unresolved(uncertain)
		}
	}
}

func unresolved(uncertain bool) error {
	if uncertain {
		return ErrUnknown
	}
	return ErrNotAccepted
}

// precheck decides what is certain before an append.
func (f *Follower) precheck(ctx context.Context, c record.Change) (Result, error, bool) {
	if c.Base > f.Offset() {
		_ = f.catchUp(ctx)
	}
	if result, err, ok := f.outcome(c); ok {
		return result, err, true
	}
	f.mu.Lock()
	d := f.machine.State().Check(c)
	f.mu.Unlock()
	if d.Outcome == replay.Accepted {
		return Result{}, nil, false
	}
	return Result{}, f.refusal(c, d), true
}

// outcome returns what became of a change that is in the window.
func (f *Follower) outcome(c record.Change) (Result, error, bool) {
	f.mu.Lock()
	seen, ok := f.machine.State().Seen(c.ID)
	f.mu.Unlock()
	switch {
	case !ok:
		return Result{}, nil, false
	case seen.Sum != c.Sum():
		return Result{}, errors.Wrapf(ErrIdentifierReused, "at offset %d", seen.Offset), true
	case seen.Outcome == checkpoint.Accepted:
		return Result{Offset: seen.Offset, Duplicate: true}, nil, true
	case seen.Outcome == checkpoint.Conflict:
		return Result{}, f.conflict(seen.With, c), true
	default:
		return Result{}, f.refusal(c, f.recheck(c)), true
	}
}

// recheck finds again why a change was refused.
func (f *Follower) recheck(c record.Change) replay.Decision {
	_, faults := schema.CheckAll(c.Changes)
	if len(faults) > 0 {
		return replay.Decision{Outcome: replay.Invalid, Faults: faults}
	}
	return replay.Decision{Outcome: replay.BaseTooOld}
}

func (f *Follower) refusal(c record.Change, d replay.Decision) error {
	switch d.Outcome {
	case replay.Invalid:
		return &InvalidError{Faults: d.Faults}
	case replay.Conflicting:
		return f.conflict(d.With, c)
	case replay.IdentifierReused:
		return ErrIdentifierReused
	default:
		return ErrBaseTooOld
	}
}

// conflict describes the change at an offset that c met.
func (f *Follower) conflict(with contract.Offset, c record.Change) error {
	e := &ConflictError{With: with}
	current := f.Tree().Tree()
	for _, one := range c.Changes {
		if at, ok := current.At(one.Scope, one.Key); ok && at.Offset >= with {
			e.Scope, e.Key = one.Scope, one.Key
			break
		}
	}
	for _, kept := range f.History(with - 1) {
		if kept.Record.Offset == with {
			e.fill(kept.Record.Data)
		}
	}
	return e
}

func (e *ConflictError) fill(data []byte) {
	if r, err := record.Decode(data); err == nil && r.Change != nil {
		e.Author, e.ID = r.Change.Author, r.Change.ID
	}
}

// readBack waits until the record at offset is applied here.
func (f *Follower) readBack(ctx context.Context, c record.Change, offset contract.Offset) (Result, error) {
	for {
		_ = f.catchUp(ctx)
		if f.Offset() >= offset {
			break
		}
		if !pause(ctx, f.timing.SubmitRetry) {
			return Result{}, errors.Wrapf(ErrUnknown, "appended at offset %d, not read back", offset)
		}
	}
	result, err, ok := f.outcome(c)
	if !ok {
		return Result{}, ErrBaseTooOld
	}
	result.Duplicate = result.Offset != offset
	return result, err
}

// catchUp reads the log to its end.
func (f *Follower) catchUp(ctx context.Context) error {
	for {
		before := f.Offset()
		batch, err := f.opts.Log.Read(ctx, record.Stream, before, 0)
		if err != nil {
			return err
		}
		f.handle(spread.ExtraRead{Batch: batch})
		if f.Offset() >= batch.Newest || f.Offset() == before {
			return nil
		}
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
