package contract

import (
	"encoding/hex"
	"fmt"
	"strings"
)

// RequestID identifies one request of a caller. It is unique across all entry hosts.
type RequestID string

// AttemptID identifies one attempt to run a request on a target.
type AttemptID struct {
	Request RequestID `cbor:"1,keyasint"`
	// N is the number of the attempt within the request, from 1. In a Query, 0 stands
	// for all attempts of the request.
	N uint32 `cbor:"2,keyasint"`
}

// String returns the ID in the form request/n.
func (a AttemptID) String() string {
	return fmt.Sprintf("%s/%d", a.Request, a.N)
}

// MachineID identifies one host by its name in the platform's host list.
type MachineID string

// ZoneName names an availability zone.
type ZoneName string

// RegionName names a region; a region holds one or more availability zones.
type RegionName string

// ServiceName names the service that a caller addresses: a model deployment or a plain
// service.
type ServiceName string

// TeamName names a team, a customer's group of callers.
type TeamName string

// Incarnation distinguishes the runs of a process on the same host. A later run
// has a greater value.
type Incarnation uint64

// Fence is a fencing token. A receiver that checks fencing refuses an order whose
// token is lower than the highest one that it has received.
type Fence uint64

// Offset is a position in a stream of the platform's log. The first record of a
// stream has offset 1; 0 means that no record has been read.
type Offset uint64

// Digest identifies immutable content by its hash, in the form "blake3:" followed
// by 64 lower-case hexadecimal digits. The empty digest stands for no content.
type Digest string

const (
	digestPrefix = "blake3:"
	digestBytes  = 32
)

// NewDigest returns the digest with the hash sum.
func NewDigest(sum [digestBytes]byte) Digest {
	return Digest(digestPrefix + hex.EncodeToString(sum[:]))
}

// Valid reports whether d has the form that NewDigest returns.
func (d Digest) Valid() bool {
	rest, ok := strings.CutPrefix(string(d), digestPrefix)
	if !ok || len(rest) != 2*digestBytes || strings.ToLower(rest) != rest {
		return false
	}
	_, err := hex.DecodeString(rest)
	return err == nil
}

// Short returns the first 8 hexadecimal digits of the hash, for logs.
func (d Digest) Short() string {
	rest := strings.TrimPrefix(string(d), digestPrefix)
	const shown = 8
	return rest[:min(shown, len(rest))]
}
