package swarm

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Peer names a target and where it is.
type Peer struct {
	Machine contract.MachineID
	Zone    contract.ZoneName
	Region  contract.RegionName
}

// Config holds the parameters of a Swarm. Zero fields take their defaults.
type Config struct {
	Self Peer
	// Epoch tells this run of the process from former ones; it only grows.
	Epoch uint64
	// OriginRegion is the region that holds the origin; empty if not known.
	OriginRegion contract.RegionName
	// Slots is the number of slot holders of a version in each region.
	Slots int
	// Offsets is half the number of neighbours in the own region.
	RingOffsets int
	// Downloads bounds the requests outstanding to peers of the region.
	Downloads int
	// PerPeer bounds the requests outstanding to one peer.
	PerPeer int
	// SlotDraws bounds the chunks that a slot holder draws into the region at once.
	SlotDownloads int
	// Uploads and UploadQueue bound the requests served and queued, for peers of
	// the region and for others each.
	Uploads, UploadQueue int
	// ControlBytes bounds the Have messages in bytes a second.
	ControlBytes int
	// HaveInterval is the longest time that a new chunk stays unannounced.
	HaveInterval time.Duration
	// TakeOver is the least time without news before another target takes a slot over.
	TakeOverTimeout time.Duration
	// Stall is the least time before a request counts as stalled.
	StallTimeout time.Duration
}

// DefaultSlots is the number of slots if Config names none.
const DefaultSlots = 16

const (
	defaultOffsets      = 8
	defaultDownloads    = 8
	defaultPerPeer      = 1
	defaultSlotDraws    = 1
	defaultUploads      = 6
	defaultUploadQueue  = 2
	defaultControlBytes = 1 << 10
	defaultHaveInterval = 500 * time.Millisecond
	defaultTakeOver     = 4 * time.Second
	defaultStall        = 3 * time.Second
)

func (c Config) withDefaults() Config {
	setInt(&c.Slots, DefaultSlots)
	setInt(&c.RingOffsets, defaultOffsets)
	setInt(&c.Downloads, defaultDownloads)
	setInt(&c.PerPeer, defaultPerPeer)
	setInt(&c.SlotDownloads, defaultSlotDraws)
	setInt(&c.Uploads, defaultUploads)
	setInt(&c.UploadQueue, defaultUploadQueue)
	setInt(&c.ControlBytes, defaultControlBytes)
	setDuration(&c.HaveInterval, defaultHaveInterval)
	setDuration(&c.TakeOverTimeout, defaultTakeOver)
	setDuration(&c.StallTimeout, defaultStall)
	return c
}

func setInt(v *int, def int) {
	if *v <= 0 {
		*v = def
	}
}

func setDuration(v *time.Duration, def time.Duration) {
	if *v <= 0 {
		*v = def
	}
}

// mechanism names one mechanism that tests can switch off.
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
