//go:build review

package harness

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

// reservationPort is kept open on the first address of a network to reserve it.
const reservationPort = 9999

// ports are the ports of all machines: for clients, for questions of readiness and for links.
type ports struct{ front, ready, link int }

// network is a loopback network of 254 addresses, one for each machine of a deployment.
type network struct {
	prefix      string
	reservation net.Listener
	lastHost    int
	ports       ports
}

// newNetwork reserves a loopback network that is not in use.
func newNetwork() (*network, error) {
	const maxTries = 200
	for range maxTries {
		prefix := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(254), rand.IntN(256))
		reservation, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", prefix, reservationPort))
		if err == nil {
			n := &network{prefix: prefix, reservation: reservation, lastHost: 1}
			n.ports = ports{front: n.freePort(), ready: n.freePort(), link: n.freePort()}
			return n, nil
		}
	}
	return nil, errors.New("harness: no free loopback network")
}

// freePort returns a port at which nothing listens, below those of outgoing connections.
func (n *network) freePort() int {
	const first, count = 10000, 20000
	for {
		port := first + rand.IntN(count)
		address := fmt.Sprintf("%s1:%d", n.prefix, port)
		stream, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		datagrams, err := net.ListenPacket("udp", address)
		_ = stream.Close()
		if err != nil {
			continue
		}
		_ = datagrams.Close()
		return port
	}
}

// nextIP returns an address for another machine.
func (n *network) nextIP() string {
	n.lastHost++
	return fmt.Sprintf("%s%d", n.prefix, n.lastHost)
}

func (n *network) release() { _ = n.reservation.Close() }
