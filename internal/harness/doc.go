// Package harness starts a whole system of separate processes on the loopback
// interface, for the demo and for tests of failures between processes.
//
// It is not part of the product: the product's processes start no others. Each
// process is ended by its own id, and all of them with the process that uses
// the harness.
package harness
