package simulation

import "github.com/cockroachdb/errors"

// ErrNotNeeded means that no history broke a promise without a mechanism.
var ErrMechanismNotNeeded = errors.New("simulation: no history broke a promise without the mechanism")

// CheckNeeded plays histories, from seed 0 on, with all mechanisms and without
// those in off, until one without them breaks a promise. It returns an error if a
// history with all of them breaks one, and ErrNotNeeded if there is no such history.
// simulate returns the promise that a history broke, or nil.
func CheckMechanismNeeded[M ~uint8 | ~uint16](histories uint64, off M, simulate func(seed uint64, off M) error) error {
	for seed := range histories {
		if err := simulate(seed, 0); err != nil {
			return errors.Wrapf(err, "seed %d, mechanism on", seed)
		}
		if simulate(seed, off) != nil {
			return nil
		}
	}
	return ErrMechanismNotNeeded
}
