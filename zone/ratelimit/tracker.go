package ratelimit

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosastand.example/mimosastand/zone/roster"
)

// Key identifies one incarnation of a target. Two incarnations have the same key by chance
// in one of 2^64 pairs.
type Key uint64

// KeyOf returns the key of a target that started at born, in Unix milliseconds.
func KeyOf(id roster.TargetID, born int64) Key {
	return Key(xxhash.Sum64String(string(id) + "/" + strconv.FormatInt(born, 10)))
}

// Limit is the newest observation of the rate that a target accepts.
type Limit struct {
	// Limited reports whether the target limits its rate, to PerSecond requests a second
	// from all entries together.
	Limited   bool
	PerSecond float64
	// ObservedAt is when the answer arrived that showed this.
	ObservedAt time.Time
	// observation distinguishes answers: the same one may be reported by several peers.
	observation uint64
}

// Tracker holds the limits of all targets.
type Tracker struct {
	rng    *rand.Rand
	limits map[Key]Limit
	// invalid holds the unreadable limit that a target named last.
	invalid map[Key]string
}

// NewTracker returns an empty tracker that draws the numbers of observations from rng.
func NewTracker(rng *rand.Rand) *Tracker {
	return &Tracker{rng: rng, limits: map[Key]Limit{}, invalid: map[Key]string{}}
}

// Of returns the limit of a target. ok is false if the target is not known to limit its
// rate.
func (t *Tracker) Of(id roster.TargetID, born int64) (limit Limit, ok bool) {
	if len(t.limits) == 0 {
		return Limit{}, false
	}
	return t.of(KeyOf(id, born))
}

func (t *Tracker) of(key Key) (limit Limit, ok bool) {
	limit = t.limits[key]
	return limit, limit.Limited
}

// Named records an answer that names a limit, to an attempt sent at sentAt. It reports
// whether the limit has changed. Answers may overtake each other, so a higher limit counts
// only if the attempt was sent after the lower one was observed.
func (t *Tracker) Named(now time.Time, key Key, sentAt time.Time, perSecond float64) (changed bool) {
	old, limited := t.of(key)
	if limited && perSecond > old.PerSecond && !sentAt.After(old.ObservedAt) {
		return false
	}
	t.observe(now, key, true, perSecond)
	return !limited || perSecond != old.PerSecond
}

// NotNamed records an answer that names no limit, to an attempt sent at sentAt. It reports
// whether this lifts a limit. An answer to an attempt that was sent before the limit was
// observed may be older than the limit.
func (t *Tracker) NotNamed(now time.Time, key Key, sentAt time.Time) (lifted bool) {
	old, limited := t.of(key)
	if !limited || !sentAt.After(old.ObservedAt) {
		return false
	}
	t.observe(now, key, false, 0)
	return true
}

// Invalid records an answer whose limit cannot be read, which changes nothing. It reports
// whether the value differs from that of the last such answer.
func (t *Tracker) Invalid(key Key, value string) (isNew bool) {
	isNew = t.invalid[key] != value
	t.invalid[key] = value
	return isNew
}

func (t *Tracker) observe(now time.Time, key Key, limited bool, perSecond float64) {
	t.limits[key] = Limit{Limited: limited, PerSecond: perSecond, ObservedAt: now, observation: t.rng.Uint64()}
}
