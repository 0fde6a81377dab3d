package poison

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosastand.example/mimosastand/contract"
)

// ProvenAfter is how long an answer must have been streaming since its first event until its
// attempt is proven.
const ProvenAfter = 300 * time.Millisecond

// Part identifies a part of the prompts of one service, or a request as a whole. Two parts have
// the same value by chance in one of 2^64 pairs.
type Part uint64

// String returns the value in hexadecimal, for logs.
func (p Part) String() string { return fmt.Sprintf("%016x", uint64(p)) }

// PartOf returns the value of the part of a service's prompts with an ID.
func PartOf(service contract.ServiceName, id string) Part {
	return Part(xxhash.Sum64String(string(service) + "/" + id))
}

// Request is what the package knows of a request: the service, as a 64-bit hash, the request as
// a whole, or 0 if that is unknown, its prompt, as a 64-bit hash, and the parts of the prompt,
// except the last.
type Request struct {
	Service uint64
	Whole   Part
	Prompt  uint64
	Parts   []Part
}

// NewRequest returns the request to a service whose prompt consists of the parts with these
// IDs.
func NewRequest(service contract.ServiceName, ids []string) Request {
	r := Request{Service: xxhash.Sum64String(string(service)), Prompt: xxhash.Sum64String(strings.Join(ids, ","))}
	for i := range max(len(ids)-1, 0) {
		r.Parts = append(r.Parts, PartOf(service, ids[i]))
	}
	slices.Sort(r.Parts)
	r.Parts = slices.Compact(r.Parts)
	return r
}

// repeatKey is the same for repeats of a request and differs between others; 0 if the request as
// a whole is unknown.
func (r Request) repeatKey() uint64 {
	if r.Whole == 0 {
		return 0
	}
	return uint64(r.Whole) ^ r.Prompt
}

// all returns what may crash targets: the parts of the prompt, and the whole if it is known.
func (r Request) all() []Part {
	if r.Whole == 0 {
		return r.Parts
	}
	return append(slices.Clip(r.Parts), r.Whole)
}

// has reports whether a part belongs to the request, or is the request as a whole.
func (r Request) has(p Part) bool {
	return p == r.Whole && p != 0 || slices.Contains(r.Parts, p)
}

// holds reports whether the request has all parts of a group.
func (r Request) holds(group []Part) bool {
	for _, p := range group {
		if !r.has(p) {
			return false
		}
	}
	return true
}

// Observation is an attempt that broke off unproven, on a target whose incarnation has ended.
type Observation struct {
	// Entry is the entry that made the attempt; empty for this one. Times of one entry are
	// exact against each other.
	Entry contract.MachineID
	// Crash identifies the incarnation of the target.
	Crash   uint64
	Request Request
	// SentAt is when the attempt was sent, BrokenAt when it broke off.
	SentAt, BrokenAt time.Time
}
