// Package e2e has tests that run the system as separate processes and inject faults: processes
// are killed or paused, zones are cut off from the platform, and replies are lost.
//
// The tests assert what must always hold, and limit no durations: timeouts in them only end a
// test that hangs.
package e2e
