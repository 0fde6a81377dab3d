// Package ejection takes slow and failing targets out of the choice for a while
// and probes them back.
//
// A target is ejected at once when it falls silent, after FailuresToEject
// failures in a row, or when its time to the first part of an answer is
// SlowFactor times the median of its peers. An ejection lasts longer each time
// it repeats. When it has passed, one attempt at a time goes to the target as a
// probe: its success ends the ejection, its failure begins the next. Slowness
// never ejects more than a third of the targets, because peers that are all
// slow mean load and not a fault.
//
// Awake measures the time that silence is counted in: a standstill of the process
// itself is left out.
//
// The package has no clock and no goroutines. A Tracker is not safe for
// concurrent use.
package ejection
