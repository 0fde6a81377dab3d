// Package settings measures how operators' changes spread and what they cost:
// the time from accepted to in force everywhere as processes grow, bytes and
// steps per process, the replay of a day's changes and of a checkpoint, and the
// memory of the tree at the size of the plan.
//
// The spread runs in virtual time over the real state machines; its times are
// exact and follow from the seed. The costs are taken from this machine's clock
// and heap.
package settings
