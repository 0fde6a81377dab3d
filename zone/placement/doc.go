// Package placement chooses the target of an attempt and bounds what an entry
// sends: by the load of each target as all entries together make it, by the time
// that the attempt would wait, and by an entry's share of what a cold target
// bears.
//
// A Pool holds the targets of one service. It predicts the wait from the
// engine's own step times, so that a request that cannot be served in time is
// told so when it arrives. Targets that fail or fall silent are taken out by
// package ejection.
//
// The package has no I/O and no clock. A Pool is not safe for concurrent use.
package placement
