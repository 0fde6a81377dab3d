package follow_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/services"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/settings/follow"
	"mimosastand.example/mimosastand/settings/follow/spread"
	"mimosastand.example/mimosastand/settings/record"
	"mimosastand.example/mimosastand/settings/schema"
	"mimosastand.example/mimosastand/standin/fault"
	"mimosastand.example/mimosastand/standin/logservice"
)

// TestOverLogService runs followers against the log's protocol over HTTP: lost
// replies, a retention that passes, and processes that start afterwards with a
// peer and with nothing but the log's checkpoints.
func TestOverLogService(t *testing.T) {
	service := logservice.New(logservice.Config{Retention: 8})
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	timing := spread.Timing{TailWait: time.Second, CheckpointEvery: 300 * time.Millisecond, CheckpointRecords: 2, PeerPatience: 300 * time.Millisecond}
	first := run(t, follow.Options{Log: services.NewClient(server.URL), Timing: timing})
	await(t, first, first.Ready)
	if !service.Set(fault.Request{Fault: fault.LostReply, Count: 1, Method: http.MethodPost}) {
		t.Fatal("the stand-in does not know lost replies")
	}
	for i := range 20 {
		submitEntries(t, first, i)
	}
	await(t, first, func() bool { return newest(first) == "checkpoint confirmed" })
	want := first.Tree().Tree().Effective(settings.Scope{Zone: "a"}, schema.Entries).Value
	peer := run(t, follow.Options{Log: services.NewClient(server.URL), Timing: timing, Pull: func(_ context.Context, after contract.Offset) (contract.SettingsRecords, error) {
		return first.Serve(contract.SettingsPull{After: after}), nil
	}})
	alone := run(t, follow.Options{Log: services.NewClient(server.URL), Timing: timing})
	for _, f := range []*follow.Follower{peer, alone} {
		await(t, f, f.Ready)
		if got := f.Tree().Tree().Effective(settings.Scope{Zone: "a"}, schema.Entries).Value; got != want {
			t.Fatalf("entries %s, want %s", got, want)
		}
	}
}

func submitEntries(t *testing.T, f *follow.Follower, i int) {
	t.Helper()
	_, err := f.Submit(context.Background(), record.Change{ID: fmt.Sprint("c", i), Author: "op", Base: f.Offset(),
		Changes: []settings.Change{{Scope: settings.Scope{Zone: "a"}, Key: schema.Entries, Value: fmt.Sprint(i)}}})
	if err != nil {
		t.Fatal(err)
	}
}

// newest returns what became of the newest record.
func newest(f *follow.Follower) string {
	entries := f.History(0)
	if len(entries) == 0 {
		return ""
	}
	return entries[len(entries)-1].Decision.Outcome.String()
}
