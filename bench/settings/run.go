package settings

import (
	"fmt"
	"io"
)

// Run measures everything and prints tables to w. The spread follows from seed.
func Run(w io.Writer, seed uint64) error {
	_, _ = fmt.Fprintf(w, "settings, seed %d\n\nspread of one change (%d links a target, %d tailing processes a zone, heartbeats of 1 s)\n",
		seed, linksPerTarget, tailersPerZone)
	if err := runSpread(w, seed); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "\n%d changes a day are %.2f a second\n", changesPerDay, float64(changesPerDay)/secondsPerDay)
	return runReplay(w, seed)
}
