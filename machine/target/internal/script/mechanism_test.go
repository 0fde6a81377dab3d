package script

import (
	"strings"
	"testing"
)

// TestCheckMechanism checks that the error names each run, with the mechanism on or off,
// whose last line is not as required.
func TestCheckMechanism(t *testing.T) {
	play := func(on, off string) func(string, uint8) string {
		return func(text string, m uint8) string {
			if m == 0 {
				return text + "\n" + on
			}
			return text + "\n" + off
		}
	}
	for _, test := range []struct {
		name, on, off string
		wantErrors    []string
	}{
		{"contained only with the mechanism on", "last\n  good\n", "last\n  bad\n", nil},
		{"not contained with the mechanism on", "last\n  bad\n", "last\n  bad\n", []string{"mechanism on:"}},
		{"still contained with the mechanism off", "last\n  good\n", "last\n  good\n", []string{"mechanism off:"}},
		{"contained only with the mechanism off", "last\n  bad\n", "last\n  good\n", []string{"mechanism on:", "mechanism off:"}},
		{"contained only in a line before the last", "  good\nlast\n", "last\n", []string{"mechanism on:"}},
	} {
		err := CheckMechanism(play(test.on, test.off), "step", 1, "good")
		if (err != nil) != (len(test.wantErrors) > 0) {
			t.Errorf("%s: error %v, want one only if the case lists parts of it", test.name, err)
		}
		for _, want := range test.wantErrors {
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%s: want %q in error %v", test.name, want, err)
			}
		}
	}
}
