package direct

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/platform"
)

const (
	dialTimeout = 400 * time.Millisecond
	// defaultIdleLimit is how long an idle connection is used if the target does not say
	// how long it keeps one; idleMargin is subtracted from the time that it says.
	defaultIdleLimit = 2 * time.Second
	idleMargin       = time.Second
	// onceIdleLimit bounds the idle time of a connection that carries a request which may
	// run only once: the target may close an idle connection at the moment when the
	// request is sent.
	onceIdleLimit = time.Second
	// maxIdleConns bounds the idle connections to one target.
	maxIdleConns = 24
)

var (
	// errNotSent means that no byte of the attempt left the entry.
	errNotSent = errors.New("entry: attempt not sent")
	// errResponseLost means that the attempt was sent and may have run.
	errResponseLost = errors.New("entry: response lost")
)

// conn is a connection to a target.
type conn struct {
	net.Conn
	address   string
	reader    *bufio.Reader
	head      *headReader
	idleLimit time.Duration
	idleSince time.Time
	// reused is set if the connection carried an attempt before.
	reused bool
}

// connPool keeps idle connections to targets. It never sends a request twice: every
// attempt is made by the entry explicitly.
type connPool struct {
	dialer *net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn
}

func newConnPool() *connPool {
	return &connPool{dialer: platform.NewDialer(dialTimeout), idle: map[string][]*conn{}}
}

// acquire returns a connection that has been idle for less than maxIdle, or a new one.
func (p *connPool) acquire(ctx context.Context, address string, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.takeIdle(address)
		if c == nil {
			break
		}
		if time.Since(c.idleSince) < min(c.idleLimit, maxIdle) && c.isReusable() {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Mark(err, errNotSent)
	}
	return newConn(raw, address), nil
}

func newConn(raw net.Conn, address string) *conn {
	head := &headReader{source: raw}
	return &conn{Conn: raw, address: address, reader: bufio.NewReader(head), head: head}
}

func (p *connPool) takeIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// putIdle keeps a connection on which a complete response has arrived and nothing more.
// limit is how long the target keeps it open; 0 if unknown.
func (p *connPool) putIdle(c *conn, limit time.Duration) {
	c.idleLimit = defaultIdleLimit
	if limit > 0 {
		c.idleLimit = limit - idleMargin
	}
	if c.idleLimit <= 0 || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	_ = c.SetDeadline(time.Time{})
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdleConns {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// closeExpired closes the connections that have been idle for too long.
func (p *connPool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.idleSince) < c.idleLimit {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// reset closes the connection of an abandoned attempt with a TCP reset. A plain Close would
// still deliver what has not reached the target yet when an interrupted network path works
// again.
func (c *conn) reset() { resetConn(c.Conn) }

// resetConn closes a connection with a TCP reset, which drops data that has not arrived.
func resetConn(c net.Conn) {
	if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// isReusable reports whether an idle connection is open and nothing has arrived on it.
func (c *conn) isReusable() bool {
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

// roundTrip writes the request and reads the head of the response. Its errors are marked with
// errNotSent or errResponseLost.
func (c *conn) roundTrip(r attemptRequest, deadline time.Time) (*http.Response, error) {
	_ = c.SetDeadline(deadline)
	if n, err := r.writeTo(c.Conn); err != nil {
		if n == 0 {
			return nil, errors.Mark(err, errNotSent)
		}
		return nil, errors.Mark(err, errResponseLost)
	}
	resp, err := c.readResponse(&http.Request{Method: r.method})
	if err != nil {
		return nil, errors.Mark(err, errResponseLost)
	}
	return resp, nil
}
