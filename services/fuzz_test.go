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

// reply is a transport that returns the same status and body for every request.
type reply struct {
	status int
	body   []byte
}

// RoundTrip implements http.RoundTripper.
func (r reply) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: r.status, Body: io.NopCloser(bytes.NewReader(r.body))}, nil
}

// FuzzReplies checks that no reply makes the client panic, that the offsets of records
// are consecutive, and that no change returns a host list to an older version.
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
			t.Fatal("Append returned offset 0 without an error")
		}
		batch, err := c.Read(ctx, "s", 3, 0)
		for i, r := range batch.Records {
			if err == nil && uint64(r.Offset) != uint64(4+i) {
				t.Fatalf("Read after offset 3: record %d is at offset %d, want consecutive offsets from 4", i, r.Offset)
			}
		}
		c.hosts.Version = 1
		var change hostlist.Change
		_ = json.Unmarshal(body, &change)
		if list, err := c.List(ctx); err == nil && change.BaseVersion != 0 && list.Version < 1 {
			t.Fatalf("List().Version = %d after a change, want at least 1", list.Version)
		}
	})
}
