package upgrade

// FirstVersion is the version that a model begins with, before any is named. New
// engines are delivered with it.
const FirstVersion = 1

// Need is what is known when the pieces of a version might be fetched.
type FetchState struct {
	// Up tells that the engine answers, Loaded the version that it holds whole; 0 if none.
	Up      bool
	Loaded  int64
	Desired int64
	// SeenUp tells that the engine has answered this process before, Returned that
	// the machine was there before this process started.
	HasBeenUp, Returned bool
}

// Fetch reports whether the pieces are to be fetched. An engine that was there and
// is gone comes back empty: its pieces are fetched meanwhile. One that is still to
// start for the first time holds the first version.
func (n FetchState) ShouldFetch() bool {
	if n.Up {
		return n.Loaded < n.Desired
	}
	return n.HasBeenUp || n.Returned || n.Desired > FirstVersion
}
