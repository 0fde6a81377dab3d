// Package link carries contract messages between the processes of mimosastand
// over QUIC with mutual TLS.
//
// An Endpoint accepts connections on one UDP socket and dials connections. Each
// connection has a heartbeat stream, opened by the dialer. The dialer sends a
// contract.Heartbeat at an interval, and the other side answers each with one of
// its own; either side sends further ones on request. A connection on which no
// heartbeat arrives for Config.SilentAfter is closed with ErrSilent, even if the
// transport below considers it alive.
//
// All other streams belong to the user of the package: the opener sends one
// request message, and both sides then exchange messages until one closes.
//
// The package makes no decisions about requests. It translates the errors of the
// transport into its own: ErrSilent, ErrClosed, ErrFrame, ErrPeerIdentity, ErrDial
// and ErrCredentials.
package link
