// Package services provides the HTTP client of the external services that processes
// outside a fleet depend on: the append-only log, the stores of weights and the host
// list. Packages that hold the logic depend on the interfaces of packages durable and
// zone/hostlist instead; the daemons and the command line create the clients.
//
// docs/PLATFORM.md describes the protocols.
package services
