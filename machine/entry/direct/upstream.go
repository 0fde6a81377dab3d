package direct

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/platform"
)

const (
	dialTimeout = 400 * time.Millisecond
	// defaultIdle is how long an idle connection is used when the target does not
	// say how long it keeps one; idleMargin is left free of what it says.
	defaultIdle = 2 * time.Second
	idleMargin  = time.Second
	// onceIdle bounds the idle time of a connection that carries a request which
	// may run only once: the target may close it at that moment.
	onceIdle = time.Second
	// maxIdleConns bounds the idle connections to one target.
	maxIdleConns = 24
)

var (
	// errNotSent means that no byte of the attempt left the entry.
	errNotSent = errors.New("entry: attempt not sent")
	// errLost means that the attempt was sent and may have run.
	errLost = errors.New("entry: answer lost")
)

// conn is a connection to a target.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	idle    time.Duration
	since   time.Time
}

// upstream keeps idle connections to targets. The entry makes every attempt by
// itself: nothing here sends a request twice.
type upstream struct {
	dialer *net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn
}

func newUpstream() *upstream {
	return &upstream{dialer: platform.NewDialer(dialTimeout), idle: map[string][]*conn{}}
}

// get returns a connection that has been idle for less than maxIdle, or a new one.
func (u *upstream) get(ctx context.Context, address string, maxIdle time.Duration) (*conn, error) {
	for {
		c := u.take(address)
		if c == nil {
			break
		}
		if time.Since(c.since) < min(c.idle, maxIdle) && c.isQuiet() {
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := u.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Mark(err, errNotSent)
	}
	return &conn{Conn: raw, address: address, reader: bufio.NewReader(raw)}, nil
}

func (u *upstream) take(address string) *conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	list := u.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	u.idle[address] = list[:len(list)-1]
	return c
}

// put keeps a connection on which a whole answer has come and nothing more.
func (u *upstream) put(c *conn, limit time.Duration) {
	c.idle = defaultIdle
	if limit > 0 {
		c.idle = limit - idleMargin
	}
	if c.idle <= 0 || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	_ = c.SetDeadline(time.Time{})
	c.since = time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.idle[c.address]) >= maxIdleConns {
		_ = c.Close()
		return
	}
	u.idle[c.address] = append(u.idle[c.address], c)
}

// sweep closes the connections that have been idle too long.
func (u *upstream) sweep() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for address, list := range u.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.since) < c.idle {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(u.idle, address)
			continue
		}
		u.idle[address] = kept
	}
}

// abandon resets the connection of an attempt that is given up: what has not arrived at
// the target yet is dropped. Close would still deliver it when a path that is cut heals.
func (c *conn) abandon() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// isQuiet reports whether an idle connection is open and nothing has come on it.
func (c *conn) isQuiet() bool {
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peeked := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(peeked, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// attemptRequest is a request as it goes to a target.
type attemptRequest struct {
	method, uri, host string
	header            http.Header
	body              []byte
}

// send writes the request in one piece and reads the head of the answer. It
// fails with errNotSent or errLost.
func (c *conn) send(r attemptRequest, deadline time.Time) (*http.Response, error) {
	req := &http.Request{
		Method:        r.method,
		URL:           &url.URL{Opaque: r.uri},
		Host:          r.host,
		Header:        r.header,
		ContentLength: int64(len(r.body)),
	}
	if len(r.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.body))
	}
	var out bytes.Buffer
	if err := req.Write(&out); err != nil {
		return nil, errors.Mark(err, errNotSent)
	}
	_ = c.SetDeadline(deadline)
	if n, err := c.Write(out.Bytes()); err != nil {
		if n == 0 {
			return nil, errors.Mark(err, errNotSent)
		}
		return nil, errors.Mark(err, errLost)
	}
	for {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, errors.Mark(err, errLost)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}
