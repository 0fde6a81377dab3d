// Package roster holds the targets of a fleet as the platform's list names them
// and as their own processes tell of them.
//
// The list lags and may lose entries while the platform's store is away. A
// Roster keeps an entry that lapsed during an outage until shortly after the
// store is back, and takes any other removal at its word.
//
// The package has no I/O and no clock. A Roster is not safe for concurrent use.
package roster
