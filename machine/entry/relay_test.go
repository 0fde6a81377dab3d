package entry

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
)

// relay passes packets between an entry and a target. It can drop all existing flows; new
// flows still pass after that.
type relay struct {
	listener   *net.UDPConn
	targetAddr *net.UDPAddr

	mu    sync.Mutex
	flows map[string]*relayFlow
}

type relayFlow struct {
	client  *net.UDPAddr
	socket  *net.UDPConn
	dropped bool
}

func newRelay(t *testing.T, targetAddress string) *relay {
	targetAddr, err := net.ResolveUDPAddr("udp", targetAddress)
	failOnError(t, err)
	listener, err := net.ListenUDP("udp", &net.UDPAddr{IP: targetAddr.IP})
	failOnError(t, err)
	r := &relay{listener: listener, targetAddr: targetAddr, flows: map[string]*relayFlow{}}
	t.Cleanup(r.close)
	go r.forward()
	return r
}

func (r *relay) address() string { return r.listener.LocalAddr().String() }

func (r *relay) forward() {
	packet := make([]byte, 1<<16)
	for {
		n, client, err := r.listener.ReadFromUDP(packet)
		if err != nil {
			return
		}
		if f := r.getFlow(client); f != nil {
			_, _ = f.socket.Write(packet[:n])
		}
	}
}

// getFlow returns the flow of a client, creating it if there is none. It returns nil if
// the flow has been dropped.
func (r *relay) getFlow(client *net.UDPAddr) *relayFlow {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.flows[client.String()]
	if f == nil {
		socket, err := net.DialUDP("udp", nil, r.targetAddr)
		if err != nil {
			return nil
		}
		f = &relayFlow{client: client, socket: socket}
		r.flows[client.String()] = f
		go r.backward(f)
	}
	if f.dropped {
		return nil
	}
	return f
}

func (r *relay) backward(f *relayFlow) {
	packet := make([]byte, 1<<16)
	for {
		n, err := f.socket.Read(packet)
		if err != nil {
			return
		}
		r.mu.Lock()
		dropped := f.dropped
		r.mu.Unlock()
		if !dropped {
			_, _ = r.listener.WriteToUDP(packet[:n], f.client)
		}
	}
}

// dropFlows drops all existing flows permanently.
func (r *relay) dropFlows() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.dropped = true
	}
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		_ = f.socket.Close()
	}
}

// TestSilentConnectionLosesNoAnswer makes the connection permanently silent during calls
// that must not be repeated. Each call must be answered, over a new connection, and must
// take effect once.
func TestSilentConnectionLosesNoAnswer(t *testing.T) {
	ts := newTestSystem(t, noClaims{})
	before := ts.plainStats().Effects
	const calls = 4
	type answer struct {
		status int
		body   string
	}
	answers := make(chan answer, calls)
	for i := range calls {
		go func() {
			status, body := ts.call(fmt.Sprintf("POST /v1/services/registry/filings\nX-Team: north\nX-Unkeyed: allow\n\nfiling %d", i))
			answers <- answer{status: status, body: body}
		}()
	}
	for ts.plainStats().Running == 0 {
		runtime.Gosched()
	}
	ts.relay.dropFlows()
	done := uint64(0)
	for range calls {
		got := <-answers
		if got.status == http.StatusOK {
			done++
			continue
		}
		t.Logf("status %d: %s", got.status, got.body)
	}
	if effects := ts.plainStats().Effects - before; done != calls || effects != done {
		t.Fatalf("%d of %d calls succeeded with %d effects, want all, with one effect each", done, calls, effects)
	}
}
