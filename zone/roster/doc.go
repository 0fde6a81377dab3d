// Package roster holds the targets of a fleet. It combines two sources: the target
// list of the platform, and the status reports of the target processes.
//
// The target list lags behind, and entries may be missing from it while the platform's
// store is unavailable. A Roster retains an entry that lapses during an outage until
// shortly after the store has recovered. Any other removal takes effect immediately.
//
// The package does no I/O and does not read the clock. A Roster is not safe for
// concurrent use.
package roster
