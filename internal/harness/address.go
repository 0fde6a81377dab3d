package harness

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/cockroachdb/errors"
)

const (
	// lockPort is held open on a network for as long as a cluster uses it.
	lockPort = 9999
	// firstPort is the first port given out. All stay below the range from which
	// the kernel takes the ports of outgoing connections.
	firstPort = 10000
)

// network is a loopback network of 254 addresses that one cluster has to
// itself, so that clusters that run side by side never meet.
type network struct {
	prefix string
	lock   net.Listener
	port   int
}

// newNetwork takes a network that nobody else holds.
func newNetwork() (*network, error) {
	const tries = 200
	for range tries {
		prefix := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(254), rand.IntN(256))
		lock, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", prefix, lockPort))
		if err == nil {
			return &network{prefix: prefix, lock: lock, port: firstPort}, nil
		}
	}
	return nil, errors.New("harness: no free loopback network")
}

// next returns an address that no other part of the cluster has, on the IP
// address of a zone, counted from 1, or of the platform with 0.
func (n *network) next(zone int) string {
	n.port++
	return fmt.Sprintf("%s%d:%d", n.prefix, zone+1, n.port)
}

// release gives the network back.
func (n *network) release() {
	_ = n.lock.Close()
}
