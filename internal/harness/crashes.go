package harness

import standins "mimosastand.example/mimosastand/standin/fleet"

// SetCrashCauses sets which requests crash the back ends, also those that start later; none ends the
// fault.
func (f *Fleet) SetCrashCauses(causes standins.CrashCauses) {
	f.mu.Lock()
	f.crashCauses = causes
	f.mu.Unlock()
	for _, e := range f.BackEnds() {
		e.SetCrashCauses(causes)
	}
}

func (f *Fleet) crashCausesNow() standins.CrashCauses {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashCauses
}
