package harness

import "slices"

// SetCrashingParts sets the parts of prompts that crash the engines, also those that start
// later; none ends the fault.
func (f *Fleet) SetCrashingParts(ids ...string) {
	f.mu.Lock()
	f.crashingParts = slices.Clone(ids)
	f.mu.Unlock()
	for _, e := range f.Engines() {
		e.SetCrashingParts(ids...)
	}
}

func (f *Fleet) crashingPartsNow() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashingParts
}

// SetCrashingRequests sets the requests, named by standins.RequestKey, that crash the back ends,
// also those that start later; none ends the fault.
func (f *Fleet) SetCrashingRequests(keys ...string) {
	f.mu.Lock()
	f.crashingRequests = slices.Clone(keys)
	f.mu.Unlock()
	for _, e := range f.BackEnds() {
		e.SetCrashingRequests(keys...)
	}
}

func (f *Fleet) crashingRequestsNow() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashingRequests
}
