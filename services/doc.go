// Package services holds the client of the services that the older path runs on: the
// append-only log, the stores of weights and the host list. The daemons alone
// import it; modules that decide know the types of durable and zone/hostlist.
//
// The HTTP protocols are set out in docs/PLATFORM.md.
package services
