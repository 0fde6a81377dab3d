// Package serving measures the decisions between callers and targets in virtual
// time: the state machine of package dispatch before fake targets, beside a
// baseline that goes round robin, retries three times and has no gate. Both see
// the same seeded callers and the same faults in one run.
package serving
