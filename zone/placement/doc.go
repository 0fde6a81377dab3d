// Package placement chooses the target of an attempt and limits what an entry sends to
// each target. The choice considers the load of each target from all entries together,
// the predicted time to the first event, and the entry's share of what a cold target
// can serve. It serves entries that send requests directly to back ends
// (machine/entry/direct); those that send them through target processes use package
// balancer instead.
//
// A Pool holds the targets of one service. It predicts waiting times from the step
// times of the engines, so that a request that cannot be served in time is refused on
// arrival. Targets that fail or fall silent are ejected by package ejection.
//
// The package does no I/O and does not read the clock. A Pool is not safe for
// concurrent use.
package placement
