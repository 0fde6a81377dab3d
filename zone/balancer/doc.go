// Package balancer chooses the target of an attempt among the targets of one service. It
// serves entries that send requests through target processes (machine/entry/dispatch).
// Entries that send requests directly to back ends use package placement instead.
//
// # Load
//
// A target reports its load with every reply and heartbeat. The balancer adds to a
// report the attempts that were sent to the target and that the target has not answered
// yet, since no report can include them. It never assumes a load below the entry's own
// attempts in flight. Reports of an earlier incarnation, reports out of sequence and
// reports of unknown targets are ignored. Credits limit the entry's concurrent attempts
// at a target.
//
// # Choice
//
// Targets in the entry's own zone are preferred, then those in its region, then those in
// other regions if the service may spill over and the link budget allows it. Within such
// a tier, a request with a prompt prefix goes to the target that rendezvous hashing
// ranks highest for the prefix, skipping targets whose utilization exceeds LoadBound
// times the mean. Any other request goes to the less utilized of two random targets,
// which keeps entries with equally old reports from all choosing the same one.
//
// # Slow start
//
// A target that comes up, is readmitted after an ejection, or whose zone is no longer
// evacuated, gets a share of its credits that grows over the slow start of the service.
// The slow start is ignored if no other target has room.
//
// The package does not read the clock and starts no goroutines. A Pool is not safe for
// concurrent use.
package balancer
