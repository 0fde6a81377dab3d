package explain

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
)

// TestRequestExplainsLogLines compares the explanations of log lines with the recorded ones.
func TestRequestExplainsLogLines(t *testing.T) {
	datadriven.RunTest(t, "testdata/requests.txt", func(t *testing.T, d *datadriven.TestData) string {
		lines, err := ReadLines(strings.NewReader(d.Input))
		if err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		if err := Request(&out, lines, d.Cmd); err != nil {
			return err.Error() + "\n"
		}
		return out.String()
	})
}

func TestRequestFailsForUnknownID(t *testing.T) {
	if err := Request(&strings.Builder{}, nil, "x"); !errors.Is(err, ErrNotFound) {
		t.Errorf("Request() without lines = %v, want ErrNotFound", err)
	}
}

func FuzzReadLines(f *testing.F) {
	f.Add("  1.0 edge timestamp=2026-01-02T03:04:05Z level=info message=\"a b\" request=x")
	f.Fuzz(func(t *testing.T, text string) {
		lines, err := ReadLines(strings.NewReader(text))
		if err != nil {
			return
		}
		_ = Request(&strings.Builder{}, lines, "x")
	})
}
