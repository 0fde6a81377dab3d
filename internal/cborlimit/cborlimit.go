// Package cborlimit provides the CBOR modes of the project: one deterministic encoding, and
// decoding within limits for bytes that come from outside the process.
package cborlimit

import "github.com/fxamacker/cbor/v2"

// Limits restrict what a decoder accepts.
type Limits struct {
	// MaxElements limits the length of an array, MaxPairs that of a map, and MaxDepth the
	// nesting.
	MaxElements, MaxPairs, MaxDepth int
	// DisallowUnknownFields rejects fields that the Go type does not have.
	DisallowUnknownFields bool
}

// NewEncMode returns the deterministic encoding: the same value always gives the same bytes.
func NewEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// NewDecMode returns a decoding mode that rejects data over the limits, duplicate map keys,
// indefinite lengths and tags. It panics if the limits are outside the range that the library
// allows.
func NewDecMode(l Limits) cbor.DecMode {
	options := cbor.DecOptions{
		MaxArrayElements: l.MaxElements,
		MaxMapPairs:      l.MaxPairs,
		MaxNestedLevels:  l.MaxDepth,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}
	if l.DisallowUnknownFields {
		options.ExtraReturnErrors = cbor.ExtraDecErrorUnknownField
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
