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

// network is a loopback network of 254 addresses, one for each machine of a deployment.
type network struct {
	prefix      string
	reservation net.Listener
	lastHost    int
}

// newNetwork reserves a loopback network that is not in use.
func newNetwork() (*network, error) {
	const maxTries = 200
	for range maxTries {
		prefix := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(254), rand.IntN(256))
		reservation, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", prefix, reservationPort))
		if err == nil {
			return &network{prefix: prefix, reservation: reservation, lastHost: 1}, nil
		}
	}
	return nil, errors.New("harness: no free loopback network")
}

// nextIP returns an address for another machine.
func (n *network) nextIP() string {
	n.lastHost++
	return fmt.Sprintf("%s%d", n.prefix, n.lastHost)
}

func (n *network) release() { _ = n.reservation.Close() }
