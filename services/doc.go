// Package services holds the clients of the services that the platform gives:
// the append-only log, the stores of weights and the host list.
//
// The decision packages never import it; the daemons do, through the small
// interfaces here, so that tests can put a fake in the place of a client. The
// HTTP protocols that the clients speak are set out in docs/PLATFORM.md.
package services
