// Package soak runs a fleet of real processes under faults that a seed draws, and
// checks the product's promises from what callers and back ends saw.
//
// Plan draws the faults: kills, pauses, planned stops, lost machines, engines that
// hang, cut or lose answers, paths that are delayed, reset, cut one way or silent, a store
// that is down, turns machines away or drops its history, and what operators do meanwhile.
// One seed gives one plan, whatever happens while it is played. Ledger holds what was seen
// and which promises it breaks.
package soak
