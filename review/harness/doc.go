//go:build review

// Package harness starts the project's own programs as separate processes on loopback addresses, the way
// deploy/system.toml says, beside stand-ins of the platform, and writes down what was sent, answered and run.
//
// The stand-ins of the store, the engines and the origin are the project's own (standin/fleet).
package harness
