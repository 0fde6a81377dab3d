package link

import "time"

// Config holds the limits of an Endpoint. Zero fields take their defaults.
type Config struct {
	// Heartbeat is the interval between heartbeats on each connection.
	Heartbeat time.Duration
	// TargetHeartbeat is the interval towards targets, which tell changes at once; 0
	// means Heartbeat.
	TargetHeartbeat time.Duration
	// SilentAfter is how long a connection may go without a heartbeat.
	SilentAfter time.Duration
	// FullRateLinks is how many dialed connections beat at the Heartbeat
	// interval. With more the interval grows in proportion, up to half of
	// SilentAfter, so that the bytes of all heartbeats together stay the same.
	FullRateLinks int
	// DialTimeout bounds the time to make a connection.
	DialTimeout time.Duration
	// MaxFrameBytes bounds one encoded message.
	MaxFrameBytes int
	// MaxStreams bounds the streams that a peer may have open on a connection.
	MaxStreams int64
	// StreamWindowBytes and ConnWindowBytes bound what is buffered for reading.
	StreamWindowBytes uint64
	ConnWindowBytes   uint64
}

const (
	defaultHeartbeat         = time.Second
	defaultSilentAfter       = 3 * time.Second
	defaultFullRateLinks     = 20
	defaultDialTimeout       = 2 * time.Second
	defaultMaxFrameBytes     = 2 << 20
	defaultMaxStreams        = 4096
	defaultStreamWindowBytes = 512 << 10
	defaultConnWindowBytes   = 2 << 20
)

func (c Config) withDefaults() Config {
	if c.Heartbeat <= 0 {
		c.Heartbeat = defaultHeartbeat
	}
	if c.TargetHeartbeat <= 0 {
		c.TargetHeartbeat = c.Heartbeat
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

// beatInterval is the time between heartbeats to a peer of a role, on each of a
// number of dialed connections.
func (c Config) beatInterval(role Role, dialed int) time.Duration {
	interval := c.Heartbeat
	if role == RoleTarget {
		interval = c.TargetHeartbeat
	}
	if dialed <= c.FullRateLinks {
		return interval
	}
	scaled := interval * time.Duration(dialed) / time.Duration(c.FullRateLinks)
	return max(interval, min(scaled, c.SilentAfter/2))
}
