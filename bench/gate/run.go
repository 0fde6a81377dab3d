package gate

import "io"

// Run prints all tables of the gate. It fails if a process cannot be started.
func Run(w io.Writer, seed uint64) error {
	reportColdStart(w, seed)
	reportCredits(w, seed)
	reportMemory(w)
	return reportHop(w)
}
