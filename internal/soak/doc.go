// Package soak runs a fleet of real processes under randomly drawn faults and checks the
// product's promises against what callers and back ends observed.
//
// GeneratePlan draws the faults from a seed: kills, pauses, planned stops, lost machines,
// engines that hang, fall silent, cut streams, lose answers, send answers without framing or
// end or crash on a part of a prompt, network paths that are delayed, reset,
// cut in one direction or silent, a store that is down, rejects machines or drops its
// history, and operators' actions in between. A seed always gives the same plan, whatever
// happens while the plan is played. Checker records the observations and the promises that
// they break.
package soak
