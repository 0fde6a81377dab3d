// Package link carries contract messages between the processes of mimosastand
// over QUIC with mutual TLS.
//
// An Endpoint owns one UDP socket, accepts connections and dials them. Each
// connection carries a heartbeat stream, opened by the dialer, on which both
// sides send a contract.Heartbeat at a fixed interval. A connection on which
// no heartbeat arrives for Config.SilentAfter is closed with ErrSilent, also
// when the transport below still believes in it.
//
// All other streams belong to the user of the package: the opener sends one
// request message, and both sides then exchange messages until one closes.
//
// The package makes no decisions about requests. It turns transport errors into
// its own: ErrSilent, ErrClosed, ErrFrame and ErrPeer.
package link
