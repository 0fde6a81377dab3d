package weightcache

import (
	"context"
	"slices"
	"sync"
	"time"

	"mimosastand.example/mimosastand/weights/pieces"
	"mimosastand.example/mimosastand/weights/upgrade"
)

// TransferEvent is a change of whether a version is transferred.
type TransferEvent uint8

const (
	// TransferDeferred means that the transfer waits for that of another version, TransferResumed
	// that it goes on, and TransferSuperseded that the version is no longer needed.
	TransferDeferred TransferEvent = iota
	TransferResumed
	TransferSuperseded
)

// Transfer is the transfer of one version to a process, which may have to wait while another version
// goes first. The zero value does not wait. It is safe for concurrent use.
type Transfer struct {
	mu sync.Mutex
	// isWaiting reports whether the transfer waits, isSuperseded whether it does for good.
	isWaiting, isSuperseded bool
	// changed is closed and replaced when isWaiting changes; nil if nothing waits for that.
	changed chan struct{}
	meter   upgrade.ProgressMeter
	yield   upgrade.YieldClock
}

// IsWaiting reports whether the transfer is to wait.
func (t *Transfer) IsWaiting() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isWaiting
}

// IsSuperseded reports whether the version is no longer needed.
func (t *Transfer) IsSuperseded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isSuperseded
}

func (t *Transfer) state() (isWaiting bool, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.isWaiting, t.changed
}

// Context returns a context that ends with ctx or when the transfer has to wait.
func (t *Transfer) Context(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	isWaiting, changed := t.state()
	if isWaiting {
		cancel()
		return ctx, cancel
	}
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// Progress returns how far the transfer has got, given the pieces held, nil while the digests are
// unknown, and when the bound of the version ends.
func (t *Transfer) Progress(now time.Time, set *pieces.Set, end time.Time) upgrade.VersionProgress {
	t.mu.Lock()
	defer t.mu.Unlock()
	held, total := 0, 0
	if set != nil {
		held, total = set.Count(), set.Len()
	}
	t.meter.Observe(now, held)
	p := t.meter.Progress(now, total, end)
	p.Yielded = t.yield.Total(now)
	return p
}

// setState sets whether the transfer waits, whether it does for an older version, and whether it is
// superseded. It reports the event if that is a change.
func (t *Transfer) setState(now time.Time, isWaiting, yields, isSuperseded bool) (e TransferEvent, isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.yield.Set(now, yields)
	isNew = isWaiting != t.isWaiting || isSuperseded && !t.isSuperseded
	if isWaiting != t.isWaiting && t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
	t.isWaiting, t.isSuperseded = isWaiting, isSuperseded
	switch {
	case isSuperseded:
		return TransferSuperseded, isNew
	case isWaiting:
		return TransferDeferred, isNew
	default:
		return TransferResumed, isNew
	}
}

// Contender is a version of a model that a process gets, beside other ones of the model.
type Contender struct {
	Version  Version
	Transfer *Transfer
	// Set holds the pieces; nil while the digests are unknown. End is when the bound of the version
	// ends.
	Set *pieces.Set
	End time.Time
}

// Arbitrate decides which versions of a model are transferred now. The contenders are in ascending
// order of version. onEvent is called for each change, with the version that goes first or, if the
// transfer is resumed, the newest one. Arbitrate is to be called several times a second.
func Arbitrate(now time.Time, contenders []Contender, onEvent func(c Contender, e TransferEvent, preferred Version)) {
	if len(contenders) == 0 {
		return
	}
	newest := contenders[len(contenders)-1]
	newestProgress := newest.Transfer.Progress(now, newest.Set, newest.End)
	// The newest version waits for the one in preferred, if that is not itself.
	preferred := newest.Version
	set := func(c Contender, preferred Version, isWaiting, yields, isSuperseded bool) {
		if e, isNew := c.Transfer.setState(now, isWaiting, yields, isSuperseded); isNew {
			onEvent(c, e, preferred)
		}
	}
	isNewerComplete := false
	for _, c := range slices.Backward(contenders[:len(contenders)-1]) {
		p := upgrade.Precede(now, c.Transfer.Progress(now, c.Set, c.End), newestProgress)
		isComplete := c.Set != nil && c.Set.IsComplete()
		if isNewerComplete && !isComplete {
			p = upgrade.OlderSuperseded
		}
		isNewerComplete = isNewerComplete || isComplete
		if p == upgrade.OlderFirst {
			preferred = c.Version
		}
		isSuperseded := p == upgrade.OlderSuperseded
		set(c, newest.Version, isSuperseded || p == upgrade.NewerFirst, false, isSuperseded)
	}
	yields := preferred != newest.Version
	set(newest, preferred, yields, yields, false)
}
