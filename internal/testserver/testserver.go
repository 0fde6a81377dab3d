// Package testserver serves connections of tests, for servers whose answers are written byte by byte.
package testserver

import (
	"net"
	"testing"
)

// ServeConns listens on a loopback address until the test ends, and calls serve in a goroutine of its own with each
// connection, which serve closes.
func ServeConns(t testing.TB, serve func(net.Conn)) (address string) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return lis.Addr().String()
}
