package swarm

// SwitchOff switches mechanisms off.
func (s *Swarm) Disable(m ...mechanism) {
	for _, x := range m {
		s.off |= x
	}
}

// The mechanisms, for tests.
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
