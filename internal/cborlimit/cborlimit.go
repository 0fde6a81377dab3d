// Package cborlimit makes the CBOR modes of the project: one deterministic
// encoding, and decoding with limits for bytes from outside.
package cborlimit

import "github.com/fxamacker/cbor/v2"

// Limits bound what a decoder takes.
type Limits struct {
	// Elements bounds an array, Pairs a map and Depth the nesting.
	MaxElements, MaxPairs, MaxDepth int
	// KnownFieldsOnly refuses fields that the Go type does not have.
	DisallowUnknownFields bool
}

// Encoder returns the deterministic encoding: the same value always gives the
// same bytes.
func NewEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// Decoder returns a decoder that refuses what is over the limits, repeated map
// keys, indefinite lengths and tags. It panics if the limits are out of the
// library's own range.
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
