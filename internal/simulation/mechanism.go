package simulation

import "github.com/cockroachdb/errors"

// ErrMechanismNotNeeded means that no run violated an invariant without a mechanism.
var ErrMechanismNotNeeded = errors.New("simulation: no run violated an invariant without the mechanism")

// CheckMechanismNeeded checks that the invariants hold only with the mechanisms in off. It
// simulates each run, from seed 0 on, once with all mechanisms and once without those in off,
// until a run without them violates an invariant. It returns an error if a run with all
// mechanisms violates one, and ErrMechanismNotNeeded if no run without those in off does.
// simulate returns the violation of an invariant in a run, or nil.
func CheckMechanismNeeded[M ~uint8 | ~uint16](runs uint64, off M, simulate func(seed uint64, off M) error) error {
	for seed := range runs {
		if err := simulate(seed, 0); err != nil {
			return errors.Wrapf(err, "seed %d, all mechanisms enabled", seed)
		}
		if simulate(seed, off) != nil {
			return nil
		}
	}
	return ErrMechanismNotNeeded
}
