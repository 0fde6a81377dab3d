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

// TestHostilePeers checks that what a peer must not send is refused and counted,
// and that other calls go on beside it.
func TestHostilePeers(t *testing.T) {
	r := plainRig(t, service.Config{Limit: 8})
	authority := r.authority
	stranger, err := devkeys.NewAuthority(t.TempDir())
	fatal(t, err)
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
		{"unknown authority", stranger, link.RoleEntry, time.Hour, frame(t, start), unauthorized},
		{"expired", authority, link.RoleEntry, -time.Minute, frame(t, start), unauthorized},
		{"no such role", authority, "operator", time.Hour, frame(t, start), unauthorized},
		{"a target starts work", authority, link.RoleTarget, time.Hour, frame(t, start), unauthorized},
		{"an entry asks for chunks", authority, link.RoleEntry, time.Hour, frame(t, chunk), badFrame},
		{"garbage", authority, link.RoleEntry, time.Hour, []byte("\x00\x00\x00\x04oops"), badFrame},
		{"too long", authority, link.RoleEntry, time.Hour, []byte("\xff\xff\xff\xff"), badFrame},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := r.metric(c.counter)
			files, err := c.authority.Issue("intruder", c.role, c.validity)
			fatal(t, err)
			r.intrude(t, files, c.send)
			r.awaitMetric(c.counter, before)
			r.served(t, contract.RequestID("beside "+c.name))
		})
	}
}

// TestGarbageOnTheLinkPort checks that datagrams that are no QUIC disturb nothing.
func TestGarbageOnTheLinkPort(t *testing.T) {
	r := plainRig(t, service.Config{Limit: 8})
	conn, err := net.Dial("udp", r.process.LinkAddress())
	fatal(t, err)
	defer func() { _ = conn.Close() }()
	for i := range 300 {
		_, _ = conn.Write([]byte(strings.Repeat(string(rune(i)), 1+i*4)))
	}
	r.served(t, "beside garbage")
}

func frame(t *testing.T, m contract.Message) []byte {
	t.Helper()
	data, err := link.Encode(m, 1<<20)
	fatal(t, err)
	return data
}

// intrude connects with certificates that link itself would not use, sends raw
// bytes on a stream and waits until the target ends it.
func (r *rig) intrude(t *testing.T, files link.CredentialFiles, data []byte) {
	t.Helper()
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	fatal(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	conn, err := quic.DialAddr(ctx, r.process.LinkAddress(), &tls.Config{
		InsecureSkipVerify: true, NextProtos: []string{"mimosastand/1"}, Certificates: []tls.Certificate{cert},
	}, nil)
	if err != nil {
		return
	}
	defer func() { _ = conn.CloseWithError(0, "") }()
	beats, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return
	}
	hb := contract.Heartbeat{Machine: "intruder"}
	_, _ = beats.Write(frame(t, contract.Message{Kind: contract.KindHeartbeat, Heartbeat: &hb}))
	s, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return
	}
	_, _ = s.Write(data)
	if got, _ := io.ReadAll(s); len(got) != 0 {
		t.Errorf("the target answered %q", got)
	}
}

// served checks that a call of a rightful entry is answered.
func (r *rig) served(t *testing.T, request contract.RequestID) {
	t.Helper()
	s := r.open(r.dial(), contract.Message{Kind: contract.KindStart, Start: &contract.Start{
		Attempt: contract.AttemptID{Request: request, N: 1}, Service: "s", Remaining: time.Minute, Method: "GET", Path: "/x",
	}})
	for {
		m, err := s.Recv()
		fatal(t, err)
		if m.Kind == contract.KindEnd {
			if m.End.Outcome != contract.OutcomeDone {
				t.Fatalf("%s: %+v", request, m.End)
			}
			return
		}
	}
}

// metric returns the page's line of a counter, without its prefix.
func (r *rig) metric(name string) string {
	resp, err := http.Get("http://" + r.process.HTTPAddress() + "/metrics")
	fatal(r.t, err)
	defer func() { _ = resp.Body.Close() }()
	page, err := io.ReadAll(resp.Body)
	fatal(r.t, err)
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "mimosastand_") && strings.Contains(line, name) {
			return line
		}
	}
	return ""
}

// awaitMetric waits until a counter has changed.
func (r *rig) awaitMetric(name, before string) {
	r.t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if r.metric(name) != before {
			return
		}
	}
	r.t.Fatalf("%s was not counted", name)
}
