package swarm

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Peer identifies a target and its location.
type Peer struct {
	Machine contract.MachineID
	Zone    contract.ZoneName
	Region  contract.RegionName
}

// Config holds the parameters of a Swarm. Limits, intervals and timeouts that are zero
// take their defaults.
type Config struct {
	Self Peer
	// Epoch distinguishes this run of the process from earlier ones; each run has a
	// greater epoch than the one before.
	Epoch uint64
	// OriginRegion is the region of the origin; empty if it is not known.
	OriginRegion contract.RegionName
	// Slots is the number of slots of a version; each region has one holder per slot.
	Slots int
	// RingOffsets is the number of distances on the ring of the own zone at which a
	// target has neighbours: one neighbour in each direction per distance.
	RingOffsets int
	// Downloads limits the outstanding requests to peers of the region. Requests of the
	// endgame may exceed it.
	Downloads int
	// PerPeer limits the outstanding requests to one peer of the region.
	PerPeer int
	// SlotDownloads limits the chunks that a slot holder downloads into the region at
	// once, per slot that it holds and for at most maxSlotsAtOnce slots. It also limits
	// the outstanding requests to one peer of another region.
	SlotDownloads int
	// Uploads and UploadQueue limit the requests that are served and that wait. The
	// limits apply separately to peers of the region and to other peers.
	Uploads, UploadQueue int
	// ControlBytes limits the scheduled Have messages to neighbours in bytes per second.
	ControlBytes int
	// HaveInterval is the longest delay before a new chunk is announced, unless
	// ControlBytes delays it further.
	HaveInterval time.Duration
	// TakeOverTimeout is the least time without progress in a slot before another target
	// takes the slot over.
	TakeOverTimeout time.Duration
	// StallTimeout is the least time for which a request may be outstanding before it
	// counts as stalled.
	StallTimeout time.Duration
}

// DefaultSlots is the number of slots if Config.Slots is not set.
const DefaultSlots = 16

const (
	defaultRingOffsets     = 8
	defaultDownloads       = 8
	defaultPerPeer         = 1
	defaultSlotDownloads   = 1
	defaultUploads         = 6
	defaultUploadQueue     = 2
	defaultControlBytes    = 1 << 10
	defaultHaveInterval    = 500 * time.Millisecond
	defaultTakeOverTimeout = 4 * time.Second
	defaultStallTimeout    = 3 * time.Second
)

func (c Config) withDefaults() Config {
	setDefaultInt(&c.Slots, DefaultSlots)
	setDefaultInt(&c.RingOffsets, defaultRingOffsets)
	setDefaultInt(&c.Downloads, defaultDownloads)
	setDefaultInt(&c.PerPeer, defaultPerPeer)
	setDefaultInt(&c.SlotDownloads, defaultSlotDownloads)
	setDefaultInt(&c.Uploads, defaultUploads)
	setDefaultInt(&c.UploadQueue, defaultUploadQueue)
	setDefaultInt(&c.ControlBytes, defaultControlBytes)
	setDefaultDuration(&c.HaveInterval, defaultHaveInterval)
	setDefaultDuration(&c.TakeOverTimeout, defaultTakeOverTimeout)
	setDefaultDuration(&c.StallTimeout, defaultStallTimeout)
	return c
}

func setDefaultInt(v *int, def int) {
	if *v <= 0 {
		*v = def
	}
}

func setDefaultDuration(v *time.Duration, def time.Duration) {
	if *v <= 0 {
		*v = def
	}
}

// mechanism identifies mechanisms that tests can disable; it is a bit set.
type mechanism uint16

const (
	mechTakeOver mechanism = 1 << iota
	mechRarest
	mechEndgame
	mechTrust
	mechStall
	mechEpoch
	mechUploadBound
	mechSlots
	mechBudget
	mechWithdraw
	mechControlBound
)
