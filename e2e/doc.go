// Package e2e holds tests that run the system as separate processes and make
// them fail: killed, paused, cut off from the platform, with replies lost.
//
// The tests assert what must always hold and set no bounds on time; the waits in
// them only end a test that hangs.
package e2e
