// Package backend holds the HTTP clients of the two kinds of back end: Engine
// for model engines and Plain for plain services, as docs/PLATFORM.md sets out
// their protocols.
//
// The clients never repeat a call by themselves. Each failed call carries one
// error of this package, which tells whether the back end can have seen it:
// after ErrNotSent and ErrRefused the work did not run, after ErrLost and
// ErrCut it may have.
package backend
