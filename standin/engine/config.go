// Package engine is a stand-in of a model engine.
//
// Its tokens are a function of prompt, weights digest and position, so that a
// test can tell an answer that is doubled, crossed or mixed of two versions. A
// version that is activated under a running stream changes the rest of that
// stream. The engine keeps no weights: a staged chunk is verified and dropped.
package engine

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosastand.example/mimosastand/contract"
)

const (
	// slowTime is how long the engine stays slow after an overrun in cold start.
	slowTime = 2 * time.Second
	// slowFactor stretches the token delay of a slow engine.
	slowFactor = 8
	// idleFactor is how many cold start times an engine without work needs to warm up.
	idleFactor = 4
	// cachedPrefixes bounds the prefix cache.
	cachedPrefixes = 64
	// prefixBytes is the length of the prompt that one cache entry covers.
	prefixBytes = 64
	// keptEvents bounds the cache events that can be read.
	keptEvents = 256
	// eventGap is the distance of cache events that are never published.
	eventGap = 7
	// keptIDs bounds the attempts that are checked for doubles.
	keptIDs = 4096
	// keptKV bounds the imported and exportable KV caches.
	keptKV = 256
	// defaultTokens is the length of an answer that asks for none.
	defaultTokens = 16
	maxTokens     = 1 << 16
	maxBodyBytes  = 64 << 20
)

// Config holds the settings of an engine.
type Config struct {
	// WarmLimit and ColdLimit are the units of work that the engine bears.
	WarmLimit, ColdLimit int
	// ColdStart is how long a cold start lasts if there is work.
	ColdStart time.Duration
	// TokenDelay is the time between two tokens, PrefillDelay the time before the first.
	TokenDelay, PrefillDelay time.Duration
	// Fencing makes the engine refuse orders with an old fencing number.
	Fencing bool
	// ReportLag is the age of what the engine reports and publishes.
	ReportLag time.Duration
	// Role is the role at start.
	Role string
	// Digest, if set, is active and warm at start.
	Digest contract.Digest
}

// Stats is what GET /stats shows.
type Stats struct {
	Generated uint64 `json:"generated"`
	Tokens    uint64 `json:"tokens"`
	Cancelled uint64 `json:"cancelled"`
	// Doubled counts work whose attempt identifier came before.
	Doubled uint64 `json:"doubled"`
	// Overruns counts work that came above the limit in cold start, Overloads
	// above the limit when warm.
	Overruns  uint64 `json:"overruns"`
	Overloads uint64 `json:"overloads"`
	// Mismatches counts work for another digest than the active one.
	Mismatches uint64 `json:"mismatches"`
	// Mixed counts streams under which the active version changed.
	Mixed      uint64 `json:"mixed"`
	Running    int    `json:"running"`
	MaxRunning int    `json:"max_running"`
	// ColdMaxRunning is the most work at once in cold start.
	ColdMaxRunning int    `json:"cold_max_running"`
	ChunksStaged   uint64 `json:"chunks_staged"`
	ChunksRefused  uint64 `json:"chunks_refused"`
	Orders         uint64 `json:"orders"`
	// StaleRefused counts orders refused for an old fencing number, StaleObeyed
	// those that an engine without fencing carried out.
	StaleRefused uint64          `json:"stale_refused"`
	StaleObeyed  uint64          `json:"stale_obeyed"`
	Digest       contract.Digest `json:"digest"`
	Adapters     []string        `json:"adapters"`
	Warm         bool            `json:"warm"`
	Boots        uint64          `json:"boots"`
}

// Token returns the text of token i of the answer to a prompt.
func Token(prompt string, digest contract.Digest, i uint64) string {
	hash := xxhash.New()
	_, _ = hash.WriteString(prompt)
	_, _ = hash.WriteString("\x00" + string(digest))
	_, _ = fmt.Fprintf(hash, "\x00%d", i)
	return fmt.Sprintf("%08x ", uint32(hash.Sum64()))
}

// Prefix returns the cache identity of a prompt.
func Prefix(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(prefixBytes, len(prompt))])
}
