// Package processes measures real processes at rest: memory, processor time and
// bytes for control of each entry and target, at growing numbers of processes.
//
// It needs the programs in the directory "bin" and runs on the loopback
// interface for a bounded time.
package processes
