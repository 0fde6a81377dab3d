package link

import "time"

// Config holds the limits of an Endpoint. Zero fields take their defaults.
type Config struct {
	// Heartbeat is the interval between heartbeats on each connection.
	Heartbeat time.Duration
	// SilentAfter is how long a connection may go without a heartbeat.
	SilentAfter time.Duration
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
	if c.SilentAfter <= 0 {
		c.SilentAfter = defaultSilentAfter
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
