// Package harness starts a complete system of separate processes on the loopback interface,
// for the demo and for tests of failures between processes.
//
// It is not part of the product, whose processes start no other processes. The harness
// signals each process by its own id, and all of them are killed when the process that uses
// the harness exits.
package harness
