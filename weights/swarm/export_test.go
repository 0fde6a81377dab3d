package swarm

// Disable disables mechanisms.
func (s *Swarm) Disable(m ...mechanism) {
	for _, x := range m {
		s.disabled |= x
	}
}

// The mechanisms that tests can disable.
const (
	MechTakeOver     = mechTakeOver
	MechRarest       = mechRarest
	MechEndgame      = mechEndgame
	MechTrust        = mechTrust
	MechStall        = mechStall
	MechEpoch        = mechEpoch
	MechUploadBound  = mechUploadBound
	MechSlots        = mechSlots
	MechBudget       = mechBudget
	MechWithdraw     = mechWithdraw
	MechControlBound = mechControlBound
)

// Mechanism is the type of the mechanisms.
type Mechanism = mechanism
