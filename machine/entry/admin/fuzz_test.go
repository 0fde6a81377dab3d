package admin_test

import (
	"net/url"
	"strings"
	"testing"
)

// FuzzBody checks that no body makes the API panic or answer with an internal server
// error.
func FuzzBody(f *testing.F) {
	f.Add("/v1/changes", `{"id":"a","changes":[{"scope":"team north","key":"share","value":"1"}]}`)
	f.Add("/v1/zones/a/out", `{"id":"b"}`)
	f.Add("/v1/deployments/drafts/deploy", `{"id":"c","weights":"blake3:00"}`)
	api := newFixture(f)
	f.Fuzz(func(t *testing.T, path, body string) {
		if _, err := url.ParseRequestURI(path); err != nil || !strings.HasPrefix(path, "/v1/") || strings.Contains(path, " ") {
			return
		}
		if got := api.call("POST", path, "root", body); strings.HasPrefix(got, "500") {
			t.Fatalf("POST %s with body %q = %s, want another status than 500", path, body, got)
		}
	})
}
