// Package engine is a stand-in of a model engine.
//
// Its tokens are a function of the prompt, the digest of the weights and the position, so
// that a test can detect an answer that is duplicated, belongs to a different request or
// mixes two versions. If a version is activated while a stream runs, the rest of the stream
// changes. The engine does not store weights: it verifies and discards a staged chunk.
package engine

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosastand.example/mimosastand/contract"
)

const (
	// slowDuration is how long the engine is slow after an overrun during a cold start.
	slowDuration = 2 * time.Second
	// slowFactor multiplies the token delay of a slow engine.
	slowFactor = 8
	// idleColdFactor multiplies the duration of a cold start if no work ends during it.
	idleColdFactor = 4
	// maxPrefixes bounds the number of cached prefixes.
	maxPrefixes = 64
	// prefixBytes is the length of the part of a prompt that a cache entry covers.
	prefixBytes = 64
	// maxEvents bounds the number of cache events that can be read.
	maxEvents = 256
	// lostEventInterval is the interval, in events, at which a cache event is lost.
	lostEventInterval = 7
	// maxAttemptIDs bounds the number of attempt IDs that are checked for duplicates.
	maxAttemptIDs = 4096
	// maxKVCaches bounds the number of KV caches that were imported or can be exported.
	maxKVCaches = 256
	// defaultMaxTokens is the length of an answer if the request does not set it, and
	// maxTokensLimit the longest that a request can set.
	defaultMaxTokens = 16
	maxTokensLimit   = 1 << 16
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 64 << 20
)

// Config holds the settings of an engine.
type Config struct {
	// WarmLimit and ColdLimit are how many requests the engine runs at once when it is warm
	// and during a cold start.
	WarmLimit, ColdLimit int
	// ColdStart is the duration of a cold start if some work ends during it. Otherwise the
	// cold start lasts idleColdFactor times as long.
	ColdStart time.Duration
	// TokenDelay is the time between two tokens, PrefillDelay the time before the first.
	TokenDelay, PrefillDelay time.Duration
	// Fencing is set if the engine refuses orders with an old fencing number.
	Fencing bool
	// ReportLag is the age of the state and of the events that the engine reports.
	ReportLag time.Duration
	// Role is the role after a start.
	Role string
	// Digest, if set, is the version that is active and warm when the engine is created.
	Digest contract.Digest
}

// Stats is what GET /stats shows.
type Stats struct {
	Generated uint64 `json:"generated"`
	Tokens    uint64 `json:"tokens"`
	Cancelled uint64 `json:"cancelled"`
	// Doubled counts requests whose attempt ID the engine received before.
	Doubled uint64 `json:"doubled"`
	// Overruns counts requests that exceeded the limit during a cold start, Overloads
	// those that exceeded it while the engine was warm.
	Overruns  uint64 `json:"overruns"`
	Overloads uint64 `json:"overloads"`
	// Mismatches counts requests for a digest that was not the active one.
	Mismatches uint64 `json:"mismatches"`
	// Mixed counts streams during which the active version changed.
	Mixed      uint64 `json:"mixed"`
	Running    int    `json:"running"`
	MaxRunning int    `json:"max_running"`
	// ColdMaxRunning is the largest number of requests that ran at once during a cold
	// start.
	ColdMaxRunning int    `json:"cold_max_running"`
	ChunksStaged   uint64 `json:"chunks_staged"`
	ChunksRefused  uint64 `json:"chunks_refused"`
	Orders         uint64 `json:"orders"`
	// StaleRefused counts orders refused because of an old fencing number, StaleObeyed
	// those that an engine without fencing carried out.
	StaleRefused uint64          `json:"stale_refused"`
	StaleObeyed  uint64          `json:"stale_obeyed"`
	Digest       contract.Digest `json:"digest"`
	Adapters     []string        `json:"adapters"`
	Warm         bool            `json:"warm"`
	Boots        uint64          `json:"boots"`
}

// Token returns the text of token i of the answer to a prompt by the version with a digest.
func Token(prompt string, digest contract.Digest, i uint64) string {
	hash := xxhash.New()
	_, _ = hash.WriteString(prompt)
	_, _ = hash.WriteString("\x00" + string(digest))
	_, _ = fmt.Fprintf(hash, "\x00%d", i)
	return fmt.Sprintf("%08x ", uint32(hash.Sum64()))
}

// Prefix returns the hash that identifies a prompt's prefix in the cache.
func Prefix(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(prefixBytes, len(prompt))])
}
