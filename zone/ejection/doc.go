// Package ejection excludes slow and failing targets from selection for a while and
// readmits them after a successful probe.
//
// A target is ejected when it falls silent, after FailuresToEject consecutive failures,
// or when its mean time to the first part of an answer exceeds SlowFactor times the
// median of all targets. Each repeated ejection lasts longer. When an ejection has
// expired, one attempt at a time goes to the target as a probe. If the probe succeeds,
// the target is readmitted; if it fails, the target is ejected again. At most one third
// of the targets are ejected for slowness, because slowness of all targets is a sign of
// load and not of a fault.
//
// RunClock measures the time that the silence of a target is counted in. It excludes
// pauses of the process itself.
//
// The package does not read the clock and starts no goroutines. A Tracker is not safe
// for concurrent use.
package ejection
