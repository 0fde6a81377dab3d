// Package backend provides the HTTP clients of the two kinds of back end: EngineClient
// for model engines and PlainClient for plain services. docs/PLATFORM.md describes their
// protocols.
//
// The clients never repeat a call by themselves. A failed call returns an error of this
// package that states whether the back end can have received it: after ErrNotSent and
// ErrRefused the work did not run; after ErrReplyLost, ErrTruncated and ErrTooLarge it
// may have run.
package backend
