// Package follow keeps one process's settings in step with the platform's log
// and with its peers. Package spread makes the decisions; the Follower here runs
// them against sockets and the clock, and submits operators' changes.
package follow
