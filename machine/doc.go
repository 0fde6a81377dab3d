// Package machine is the parent of the processes of the system: entry, before
// callers, and target, beside one back end.
package machine
