package upgrade

// FirstVersion is the version that a model has before any other is announced. New engines
// are delivered with it.
const FirstVersion = 1

// FetchState is the state on which the decision to fetch the pieces of a version is based.
type FetchState struct {
	// Up reports whether the engine answers. Loaded is the version that the engine holds
	// completely, 0 if none, and Desired the version whose pieces may be needed.
	Up      bool
	Loaded  int64
	Desired int64
	// HasBeenUp reports whether the engine has answered this process before. Returned
	// reports whether an earlier process of this machine had published itself as a member.
	HasBeenUp, Returned bool
	// Unproved reports whether the loaded weights are not known to be sound. Their pieces show it.
	Unproved bool
}

// ShouldFetch reports whether the pieces are to be fetched. An engine that ran before and
// is down will restart empty, so its pieces are fetched in the meantime. An engine that has
// yet to start for the first time holds the first version, and needs only later ones.
func (s FetchState) ShouldFetch() bool {
	if s.Up {
		return s.Loaded < s.Desired || s.Unproved && s.Loaded == s.Desired
	}
	return s.HasBeenUp || s.Returned || s.Desired > FirstVersion
}
