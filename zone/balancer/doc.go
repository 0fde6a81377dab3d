// Package balancer chooses the target of an attempt among those of one service.
//
// # Load
//
// A target reports its load on every reply and heartbeat. The balancer corrects
// a report by the attempts sent to the target that the target has not answered
// yet, since no report can include them, and never takes a target to bear less
// than the entry's own attempts in flight. Reports of an older incarnation, out
// of sequence or of unknown targets are ignored. Credits bound the entry's
// attempts at a target at once.
//
// # Choice
//
// The entry's own zone goes first, then its region, then other regions if the
// service may spill and the link budget allows. Inside a tier a request with a
// prompt prefix goes to the target that rendezvous hashing names, passing over
// those whose load is above LoadBound times the mean; any other request goes to
// the less used of two targets drawn at random, which keeps entries with
// equally old reports from choosing alike.
//
// # Return
//
// A target that comes up, returns from ejection or whose zone comes back gets a
// share of its credits that grows over the service's slow start. The ramp gives
// way if no other target has room.
//
// The package has no clock and no goroutines. A Pool is not safe for concurrent
// use.
package balancer
