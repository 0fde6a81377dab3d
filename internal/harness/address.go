package harness

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/cockroachdb/errors"
)

const (
	// lockPort is the port kept open on a network to reserve it.
	lockPort = 9999
	// firstPort is the port below the first assigned one. All assigned ports stay below the
	// range from which the kernel takes the ports of outgoing connections.
	firstPort = 10000
)

// Network is a loopback network of 254 addresses that one cluster or test uses exclusively, so
// that those that run side by side never conflict.
type Network struct {
	prefix string
	lock   net.Listener
	port   int
}

// NewNetwork reserves a network that is not in use.
func NewNetwork() (*Network, error) {
	const maxTries = 200
	for range maxTries {
		prefix := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(254), rand.IntN(256))
		lock, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", prefix, lockPort))
		if err == nil {
			return &Network{prefix: prefix, lock: lock, port: firstPort}, nil
		}
	}
	return nil, errors.New("harness: no free loopback network")
}

// NextAddress returns an unused address on the IP address of a zone. Zones are numbered from
// 1; 0 is the platform.
func (n *Network) NextAddress(zone int) string {
	n.port++
	return fmt.Sprintf("%s%d:%d", n.prefix, zone+1, n.port)
}

// Release frees the network for others.
func (n *Network) Release() {
	_ = n.lock.Close()
}
