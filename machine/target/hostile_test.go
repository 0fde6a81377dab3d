package target_test

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/devkeys"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/standin/service"
)

// TestUnauthorizedPeersAndBadFramesAreRefused checks that messages that a peer may not send
// are refused and counted, and that calls of other peers are answered.
func TestUnauthorizedPeersAndBadFramesAreRefused(t *testing.T) {
	f := newPlainFixture(t, service.Config{Limit: 8})
	authority := f.authority
	otherAuthority, err := devkeys.NewAuthority(t.TempDir())
	requireNoError(t, err)
	start := contract.Message{Kind: contract.KindStart, Start: &contract.Start{
		Attempt: contract.AttemptID{Request: "q", N: 1}, Service: "s", Remaining: time.Minute, Method: "GET", Path: "/x",
	}}
	chunk := contract.Message{Kind: contract.KindChunkRequest, ChunkRequest: &contract.ChunkRequest{Weights: digest}}
	const unauthorized, badFrame = `refusals{reason="unauthorized"}`, `ignored{reason="bad_frame"}`
	for _, c := range []struct {
		name      string
		authority *devkeys.Authority
		role      link.Role
		validity  time.Duration
		send      []byte
		counter   string
	}{
		{"unknown authority", otherAuthority, link.RoleEntry, time.Hour, encodeFrame(t, start), unauthorized},
		{"expired", authority, link.RoleEntry, -time.Minute, encodeFrame(t, start), unauthorized},
		{"unknown role", authority, "operator", time.Hour, encodeFrame(t, start), unauthorized},
		{"start from a target", authority, link.RoleTarget, time.Hour, encodeFrame(t, start), unauthorized},
		{"chunk request from an entry", authority, link.RoleEntry, time.Hour, encodeFrame(t, chunk), badFrame},
		{"malformed frame", authority, link.RoleEntry, time.Hour, []byte("\x00\x00\x00\x04oops"), badFrame},
		{"frame too long", authority, link.RoleEntry, time.Hour, []byte("\xff\xff\xff\xff"), badFrame},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := f.metric(c.counter)
			files, err := c.authority.Issue("intruder", c.role, c.validity)
			requireNoError(t, err)
			f.sendAsIntruder(t, files, c.send)
			f.awaitMetric(c.counter, before)
			f.checkCallServed(t, contract.RequestID("beside "+c.name))
		})
	}
}

// TestInvalidDatagramsAreIgnored checks that calls are answered after datagrams that are not
// QUIC have arrived at the link's port.
func TestInvalidDatagramsAreIgnored(t *testing.T) {
	f := newPlainFixture(t, service.Config{Limit: 8})
	conn, err := net.Dial("udp", f.process.LinkAddress())
	requireNoError(t, err)
	defer func() { _ = conn.Close() }()
	for i := range 300 {
		_, _ = conn.Write([]byte(strings.Repeat(string(rune(i)), 1+i*4)))
	}
	f.checkCallServed(t, "beside garbage")
}

func encodeFrame(t *testing.T, m contract.Message) []byte {
	t.Helper()
	data, err := link.Encode(m, 1<<20)
	requireNoError(t, err)
	return data
}

// sendAsIntruder connects with a certificate that package link itself would not use, sends
// raw bytes on a stream and checks that the target ends the stream without an answer.
func (f *fixture) sendAsIntruder(t *testing.T, files link.CredentialFiles, data []byte) {
	t.Helper()
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	requireNoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	conn, err := quic.DialAddr(ctx, f.process.LinkAddress(), &tls.Config{
		InsecureSkipVerify: true, NextProtos: []string{"mimosastand/1"}, Certificates: []tls.Certificate{cert},
	}, nil)
	if err != nil {
		return
	}
	defer func() { _ = conn.CloseWithError(0, "") }()
	heartbeats, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return
	}
	hb := contract.Heartbeat{Machine: "intruder"}
	_, _ = heartbeats.Write(encodeFrame(t, contract.Message{Kind: contract.KindHeartbeat, Heartbeat: &hb}))
	s, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return
	}
	_, _ = s.Write(data)
	if got, _ := io.ReadAll(s); len(got) != 0 {
		t.Errorf("the target answered %q, want no bytes", got)
	}
}

// checkCallServed checks that a call of an authorized entry is answered.
func (f *fixture) checkCallServed(t *testing.T, request contract.RequestID) {
	t.Helper()
	s := f.openStream(f.dial(), contract.Message{Kind: contract.KindStart, Start: &contract.Start{
		Attempt: contract.AttemptID{Request: request, N: 1}, Service: "s", Remaining: time.Minute, Method: "GET", Path: "/x",
	}})
	for {
		m, err := s.Recv()
		requireNoError(t, err)
		if m.Kind == contract.KindEnd {
			if m.End.Outcome != contract.OutcomeDone {
				t.Fatalf("%s: end = %+v, want outcome done", request, m.End)
			}
			return
		}
	}
}

// metric returns the first line of the metrics page that contains name, or "".
func (f *fixture) metric(name string) string {
	resp, err := http.Get("http://" + f.process.HTTPAddress() + "/metrics")
	requireNoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	page, err := io.ReadAll(resp.Body)
	requireNoError(f.t, err)
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "mimosastand_") && strings.Contains(line, name) {
			return line
		}
	}
	return ""
}

// awaitMetric waits until the line of a counter differs from before.
func (f *fixture) awaitMetric(name, before string) {
	f.t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f.metric(name) != before {
			return
		}
	}
	f.t.Fatalf("counter %s did not change within a minute", name)
}
