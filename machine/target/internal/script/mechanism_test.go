package script

import (
	"strings"
	"testing"
)

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
		errs          []string
	}{
		{"shown", "last\n  good\n", "last\n  bad\n", nil},
		{"not with it on", "last\n  bad\n", "last\n  bad\n", []string{"on:"}},
		{"still with it off", "last\n  good\n", "last\n  good\n", []string{"off:"}},
		{"neither", "last\n  bad\n", "last\n  good\n", []string{"on:", "off:"}},
		{"only in a line before the last", "  good\nlast\n", "last\n", []string{"on:"}},
	} {
		err := CheckMechanism(play(test.on, test.off), "step", 1, "good")
		if (err != nil) != (len(test.errs) > 0) {
			t.Errorf("%s: %v", test.name, err)
		}
		for _, want := range test.errs {
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%s: no %q in %v", test.name, want, err)
			}
		}
	}
}
