package entry

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
)

// relay passes packets between an entry and a target. It can lose track of the
// flows that it has; new ones then still pass.
type relay struct {
	front *net.UDPConn
	back  *net.UDPAddr

	mu    sync.Mutex
	flows map[string]*flow
}

type flow struct {
	client *net.UDPAddr
	socket *net.UDPConn
	lost   bool
}

func newRelay(t *testing.T, to string) *relay {
	back, err := net.ResolveUDPAddr("udp", to)
	fatal(t, err)
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: back.IP})
	fatal(t, err)
	r := &relay{front: front, back: back, flows: map[string]*flow{}}
	t.Cleanup(r.close)
	go r.forward()
	return r
}

func (r *relay) address() string { return r.front.LocalAddr().String() }

func (r *relay) forward() {
	packet := make([]byte, 1<<16)
	for {
		n, client, err := r.front.ReadFromUDP(packet)
		if err != nil {
			return
		}
		if f := r.flow(client); f != nil {
			_, _ = f.socket.Write(packet[:n])
		}
	}
}

// flow returns the client's flow, or nil if it is lost.
func (r *relay) flow(client *net.UDPAddr) *flow {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.flows[client.String()]
	if f == nil {
		socket, err := net.DialUDP("udp", nil, r.back)
		if err != nil {
			return nil
		}
		f = &flow{client: client, socket: socket}
		r.flows[client.String()] = f
		go r.backward(f)
	}
	if f.lost {
		return nil
	}
	return f
}

func (r *relay) backward(f *flow) {
	packet := make([]byte, 1<<16)
	for {
		n, err := f.socket.Read(packet)
		if err != nil {
			return
		}
		r.mu.Lock()
		lost := f.lost
		r.mu.Unlock()
		if !lost {
			_, _ = r.front.WriteToUDP(packet[:n], f.client)
		}
	}
}

// lose forgets all flows for good.
func (r *relay) lose() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.lost = true
	}
}

func (r *relay) close() {
	_ = r.front.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		_ = f.socket.Close()
	}
}

// TestSilentConnectionLosesNoAnswer lets the connection under calls that may not
// be repeated go silent for good: each is answered over a new one, and has one
// effect.
func TestSilentConnectionLosesNoAnswer(t *testing.T) {
	r := newRig(t, noClaims{})
	before := r.stats().Effects
	const calls = 4
	type answer struct {
		status int
		body   string
	}
	answers := make(chan answer, calls)
	for i := range calls {
		go func() {
			status, body := r.call(fmt.Sprintf("POST /v1/services/registry/filings\nX-Team: north\nX-Unkeyed: allow\n\nfiling %d", i))
			answers <- answer{status: status, body: body}
		}()
	}
	for r.stats().Running == 0 {
		runtime.Gosched()
	}
	r.relay.lose()
	done := uint64(0)
	for range calls {
		got := <-answers
		if got.status == http.StatusOK {
			done++
			continue
		}
		t.Logf("status %d: %s", got.status, got.body)
	}
	if effects := r.stats().Effects - before; done != calls || effects != done {
		t.Fatalf("%d of %d calls done, %d effects", done, calls, effects)
	}
}
