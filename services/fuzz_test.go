package services

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"mimosastand.example/mimosastand/zone/hostlist"
)

// reply is a transport that answers each request with the same bytes.
type reply struct {
	status int
	body   []byte
}

// RoundTrip implements http.RoundTripper.
func (r reply) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: r.status, Body: io.NopCloser(bytes.NewReader(r.body))}, nil
}

// FuzzReplies checks that no reply of the platform stops the client, that
// offsets are without gaps and that no change takes a host list back.
func FuzzReplies(f *testing.F) {
	f.Add(200, []byte(`{"offset":3}`))
	f.Add(200, []byte(`{"oldest":1,"newest":9,"records":[{"offset":4,"time":"2030-01-01T00:00:00Z","data":"YQ=="}]}`))
	f.Add(200, []byte(`{"version":2,"after":0,"hosts":[{"machine":"a","role":"entry"}],"gone":["b"]}`))
	f.Add(200, []byte(`{"version":0,"after":1}`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		c := NewClient("http://platform")
		c.http.Transport = reply{status: status, body: body}
		ctx := context.Background()
		if offset, err := c.Append(ctx, "s", nil); err == nil && offset == 0 {
			t.Fatal("appended at offset 0")
		}
		batch, err := c.Read(ctx, "s", 3, 0)
		for i, r := range batch.Records {
			if err == nil && uint64(r.Offset) != uint64(4+i) {
				t.Fatalf("record %d at offset %d", i, r.Offset)
			}
		}
		c.hosts.Version = 1
		var change hostlist.Change
		_ = json.Unmarshal(body, &change)
		if list, err := c.List(ctx); err == nil && change.BaseVersion != 0 && list.Version < 1 {
			t.Fatalf("a change took the host list back to %d", list.Version)
		}
	})
}
