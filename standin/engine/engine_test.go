package engine_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/standin/engine"
	"mimosastand.example/mimosastand/standin/fault"
	"mimosastand.example/mimosastand/weights"
)

func call(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

// stageAndActivate stages and activates a version that consists of one chunk, and returns
// its digest. On the way it checks that an incomplete version is not activated and that a
// corrupt chunk is refused.
func stageAndActivate(t *testing.T, base, chunk string, fence int) contract.Digest {
	t.Helper()
	m, err := weights.Split(strings.NewReader(chunk), "v", 1<<20, func(contract.Digest, []byte) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	manifest, digest, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	version := base + "/v1/weights/" + string(digest)
	activate := fmt.Sprintf(`{"fence":%d,"order":"activate","digest":%q}`, fence, digest)
	steps := []struct {
		method, url, body string
		want              int
	}{
		{"PUT", version + "/manifest", string(manifest), 204},
		{"POST", base + "/v1/orders", activate, 422},
		{"PUT", version + "/chunks/0", "corrupt", 422},
		{"PUT", version + "/chunks/0", chunk, 204},
		{"POST", base + "/v1/orders", activate, 200},
	}
	for _, s := range steps {
		if status, body := call(t, s.method, s.url, s.body); status != s.want {
			t.Fatalf("%s %s: status %d with body %s, want status %d", s.method, s.url, status, body, s.want)
		}
	}
	return digest
}

func TestGenerateAfterStagingAndActivation(t *testing.T) {
	server := httptest.NewServer(engine.New(engine.Config{WarmLimit: 2, ColdLimit: 1, ColdStart: time.Hour, Fencing: true}))
	defer server.Close()
	digest := stageAndActivate(t, server.URL, "weights", 5)
	body := fmt.Sprintf(`{"id":"r/1","prompt":"p","max_tokens":2,"digest":%q}`, digest)
	status, answer := call(t, "POST", server.URL+"/v1/generate", body)
	want := fmt.Sprintf("event: token\ndata: {\"at\":0,\"text\":%q}\n\nevent: token\ndata: {\"at\":1,\"text\":%q}\n\nevent: end\ndata: {\"digest\":%q,\"tokens\":2}\n\n",
		engine.Token("p", digest, 0), engine.Token("p", digest, 1), digest)
	if status != 200 || answer != want {
		t.Fatalf("generate: status %d, want 200; answer\n%s\nwant\n%s", status, answer, want)
	}
	if status, _ := call(t, "POST", server.URL+"/v1/orders", `{"fence":4,"order":"role","role":"x"}`); status != 409 {
		t.Fatalf("order with an old fencing number: status %d, want 409", status)
	}
}

func TestWorkAboveColdLimitIsRefused(t *testing.T) {
	config := engine.Config{WarmLimit: 4, ColdLimit: 1, ColdStart: time.Hour, TokenDelay: time.Hour, Digest: "d"}
	handler := engine.New(config)
	server := httptest.NewServer(handler)
	defer server.Close()
	handler.Set(fault.Request{Fault: engine.FaultCold})
	first := `{"id":"a/1","prompt":"p","digest":"d"}`
	resp, err := http.Post(server.URL+"/v1/generate", "application/json", strings.NewReader(first))
	if err != nil {
		t.Fatal(err)
	}
	if status, _ := call(t, "POST", server.URL+"/v1/generate", strings.Replace(first, "a/1", "b/1", 1)); status != 503 {
		t.Fatalf("generate above the cold limit: status %d, want 503", status)
	}
	call(t, "POST", server.URL+"/v1/cancel", `{"id":"a/1"}`)
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	_, page := call(t, "GET", server.URL+"/stats", "")
	var stats engine.Stats
	if err := json.NewDecoder(bytes.NewBufferString(page)).Decode(&stats); err != nil {
		t.Fatal(err)
	}
	if stats.Overruns != 1 || stats.Cancelled != 1 || stats.ColdMaxRunning != 1 {
		t.Fatalf("stats = %s, want 1 overrun, 1 cancelled and at most 1 running while cold", page)
	}
}
