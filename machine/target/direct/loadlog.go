package direct

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/machine/weightcache"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/weights/pieces"
)

// loggedDigestBytes is the length of the beginning of a digest that is logged.
const loggedDigestBytes = 4

// callResult returns what the error of a call to the engine says of the call's effect, as it is logged.
func callResult(err error) string {
	switch {
	case errors.Is(err, platform.ErrConflict):
		return "conflict"
	case errors.Is(err, platform.ErrUncertain):
		return "uncertain"
	case errors.Is(err, platform.ErrUnavailable):
		return "unavailable"
	default:
		return "refused"
	}
}

// loadLog returns the logger of a step in the load of a candidate by the engine, in its last reported
// state.
func (r *reconciler) loadLog(c *candidate) log.Interface {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.WithField("version", c.version.String()).WithField("born", r.report.Born).WithField("orders", r.report.Orders)
}

// stateLog returns the logger of what becomes of the weights that the engine holds in a state.
func (r *reconciler) stateLog(s weightsState) log.Interface {
	return r.log.WithField("born", s.born).WithField("orders", s.orders)
}

// describeBadPiece describes staged data that is not the expected piece i, as it is logged: the
// beginning of its digest, and the version whose piece i it is, if the process has the digests of that.
func (r *reconciler) describeBadPiece(i int, data []byte) string {
	digest := sha256.Sum256(data)
	text := fmt.Sprintf("piece %d has %d bytes and the digest %s", i, len(data), hex.EncodeToString(digest[:loggedDigestBytes]))
	for version, set := range r.knownPieces() {
		if set.Verify(i, data) == nil {
			return text + ", of version " + version.String()
		}
	}
	return text + ", of no version that is known here"
}

// knownPieces returns the pieces of the candidates whose digests are known.
func (r *reconciler) knownPieces() map[weightcache.Version]*pieces.Set {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := map[weightcache.Version]*pieces.Set{}
	for _, c := range r.candidates {
		if c.set != nil {
			known[c.version] = c.set
		}
	}
	return known
}

// describeRead describes what was found when all staged pieces were read, as it is logged.
func describeRead(err error) string {
	if err == nil {
		return "sound"
	}
	return err.Error()
}

// logReport logs a state of the engine that differs from the one before. isFirst is set for the first
// report that the process got.
func (r *reconciler) logReport(report platform.Report, isUp, isFirst bool) {
	r.mu.Lock()
	isProved := !r.isUnproved()
	r.mu.Unlock()
	r.log.WithField("up", isUp).WithField("version", report.Model.Version).WithField("layers", report.Model.Layers).
		WithField("busy", report.Busy).WithField("born", report.Born).WithField("orders", report.Orders).
		WithField("address", r.target.process.Fleet.EngineAddress).WithField("first", isFirst).WithField("proved", isProved).Info("engine changed")
}
