package contract

import (
	"encoding/hex"
	"fmt"
	"strings"
)

// RequestID names one request of a caller. It is unique over all entry hosts.
type RequestID string

// AttemptID names one try at running a request on a target.
type AttemptID struct {
	Request RequestID `cbor:"1,keyasint"`
	// N counts the attempts of the request, from 1.
	N uint32 `cbor:"2,keyasint"`
}

// String returns the form request/n.
func (a AttemptID) String() string {
	return fmt.Sprintf("%s/%d", a.Request, a.N)
}

// MachineID names one host of the system, as the platform's host list does.
type MachineID string

// ZoneName names an availability zone.
type ZoneName string

// RegionName names a region; a region holds one or more availability zones.
type RegionName string

// ServiceName names what callers address: a model deployment or a plain service.
type ServiceName string

// TeamName names a customer's team.
type TeamName string

// Incarnation tells two runs of a process on the same machine apart. A later
// run has a greater value.
type Incarnation uint64

// Fence is a fencing number. A receiver that checks fencing refuses an order
// whose number is lower than the highest that it has seen.
type Fence uint64

// Offset is a position in a stream of the platform's log. The first record of
// a stream has offset 1; 0 means that nothing has been read.
type Offset uint64

// Digest names immutable content by its hash, in the form "blake3:" followed
// by 64 hexadecimal digits. The empty digest means none.
type Digest string

const (
	digestPrefix = "blake3:"
	digestBytes  = 32
)

// NewDigest returns the digest whose hash is sum.
func NewDigest(sum [digestBytes]byte) Digest {
	return Digest(digestPrefix + hex.EncodeToString(sum[:]))
}

// Valid reports whether d has the form that NewDigest gives.
func (d Digest) Valid() bool {
	rest, ok := strings.CutPrefix(string(d), digestPrefix)
	if !ok || len(rest) != 2*digestBytes || strings.ToLower(rest) != rest {
		return false
	}
	_, err := hex.DecodeString(rest)
	return err == nil
}

// Short returns the first 8 digits of the hash, for logs.
func (d Digest) Short() string {
	rest := strings.TrimPrefix(string(d), digestPrefix)
	const shown = 8
	return rest[:min(shown, len(rest))]
}
