package logservice_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/durable"
	"mimosastand.example/mimosastand/services"
	"mimosastand.example/mimosastand/standin/fault"
	"mimosastand.example/mimosastand/standin/logservice"
)

// TestClientDistinguishesFailures runs the client against the stand-in with each fault that
// the client distinguishes.
func TestClientDistinguishesFailures(t *testing.T) {
	handler := logservice.New(logservice.Config{Retention: 2})
	server := httptest.NewServer(handler)
	defer server.Close()
	client := services.NewClient(server.URL)
	ctx := context.Background()
	steps := []struct {
		fault  fault.Kind
		method string
		want   error
	}{
		{fault.None, "POST", nil},
		{fault.Down, "POST", durable.ErrUnavailable},
		{fault.LostReply, "POST", durable.ErrUncertain},
		{fault.None, "POST", nil},
		{fault.Corrupt, "POST", durable.ErrUncertain},
		{fault.Corrupt, "GET", durable.ErrProtocol},
		{fault.Down, "GET", durable.ErrUnavailable},
		{fault.LostReply, "GET", durable.ErrUnavailable},
	}
	for _, s := range steps {
		handler.Set(fault.Request{Fault: fault.None})
		handler.Set(fault.Request{Fault: s.fault})
		var err error
		if s.method == "POST" {
			_, err = client.Append(ctx, "s", []byte("record"))
		} else {
			_, err = client.Read(ctx, "s", 3, 0)
		}
		if !errors.Is(err, s.want) {
			t.Fatalf("%s under fault %s: error %v, want %v", s.method, s.fault, err, s.want)
		}
	}
	handler.Set(fault.Request{Fault: fault.None})
	if _, err := client.Read(ctx, "s", 1, 0); !errors.Is(err, durable.ErrTrimmed) {
		t.Fatalf("Read() past retention: error %v, want ErrTrimmed", err)
	}
	batch, err := client.Read(ctx, "s", 2, time.Second)
	if err != nil || len(batch.Records) != 2 || batch.Newest != 4 {
		t.Fatalf("Read() = %+v, %v, want 2 records, the newest at offset 4", batch, err)
	}
}
