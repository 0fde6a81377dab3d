package link

import "time"

// Config holds the limits of an Endpoint. Fields that are zero have their defaults.
type Config struct {
	// HeartbeatInterval is the time between heartbeats on each connection.
	HeartbeatInterval time.Duration
	// TargetHeartbeatInterval is the time between heartbeats to targets. It may be longer,
	// since targets report changes at once. 0 means the value of HeartbeatInterval.
	TargetHeartbeatInterval time.Duration
	// SilentAfter is the time without a heartbeat after which a connection is closed.
	SilentAfter time.Duration
	// FullRateLinks is the number of dialed connections up to which heartbeats are sent
	// at these intervals. With more connections the intervals grow in proportion, up to
	// half of SilentAfter, so that the total bytes of all heartbeats stay the same.
	// FullRateEntryLinks is the same for all connections to entries, dialed or not; 0 means
	// any number.
	FullRateLinks      int
	FullRateEntryLinks int
	// DialTimeout bounds the time to make a connection, heartbeat stream included.
	DialTimeout time.Duration
	// MaxFrameBytes bounds the size of one encoded message, which is the body of a frame;
	// the header of the frame is not counted.
	MaxFrameBytes int
	// MaxStreams bounds the number of streams that a peer may have open on a connection.
	MaxStreams int64
	// StreamWindowBytes and ConnWindowBytes bound the bytes that are buffered for reading,
	// for each stream and for each connection.
	StreamWindowBytes uint64
	ConnWindowBytes   uint64
}

const (
	defaultHeartbeatInterval = time.Second
	defaultSilentAfter       = 3 * time.Second
	defaultFullRateLinks     = 20
	defaultDialTimeout       = 2 * time.Second
	defaultMaxFrameBytes     = 2 << 20
	defaultMaxStreams        = 4096
	defaultStreamWindowBytes = 512 << 10
	defaultConnWindowBytes   = 2 << 20
)

func (c Config) withDefaults() Config {
	if c.HeartbeatInterval <= 0 {
		c.HeartbeatInterval = defaultHeartbeatInterval
	}
	if c.TargetHeartbeatInterval <= 0 {
		c.TargetHeartbeatInterval = c.HeartbeatInterval
	}
	if c.SilentAfter <= 0 {
		c.SilentAfter = defaultSilentAfter
	}
	if c.FullRateLinks <= 0 {
		c.FullRateLinks = defaultFullRateLinks
	}
	if c.DialTimeout <= 0 {
		c.DialTimeout = defaultDialTimeout
	}
	if c.MaxFrameBytes <= 0 {
		c.MaxFrameBytes = defaultMaxFrameBytes
	}
	if c.MaxStreams <= 0 {
		c.MaxStreams = defaultMaxStreams
	}
	if c.StreamWindowBytes == 0 {
		c.StreamWindowBytes = defaultStreamWindowBytes
	}
	if c.ConnWindowBytes == 0 {
		c.ConnWindowBytes = defaultConnWindowBytes
	}
	return c
}

// heartbeatInterval returns the time between heartbeats to a peer with the given role while
// this side has the given numbers of connections: all that it dialed, and all to entries.
func (c Config) heartbeatInterval(role Role, dialedLinks, entryLinks int) time.Duration {
	interval := c.HeartbeatInterval
	if role == RoleTarget {
		interval = c.TargetHeartbeatInterval
	}
	scaled := stretch(interval, dialedLinks, c.FullRateLinks)
	if role == RoleEntry {
		scaled = max(scaled, stretch(interval, entryLinks, c.FullRateEntryLinks))
	}
	return max(interval, min(scaled, c.SilentAfter/2))
}

// stretch returns an interval that grows in proportion to the number of links beyond fullRate, if
// that is not 0.
func stretch(interval time.Duration, links, fullRate int) time.Duration {
	if fullRate <= 0 || links <= fullRate {
		return interval
	}
	return interval * time.Duration(links) / time.Duration(fullRate)
}
