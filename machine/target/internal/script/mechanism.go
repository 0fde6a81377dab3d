package script

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// CheckMechanism plays a scenario twice: with all mechanisms, where the output of its
// last line must contain want, and without those in off, where it must not. play returns
// the output of a new session. The error describes each of the two outputs that is not as
// required.
func CheckMechanism[M any](play func(text string, off M) string, text string, off M, want string) error {
	var allEnabled M
	var errEnabled, errDisabled error
	if out := lastStepOutput(play(text, allEnabled)); !strings.Contains(out, want) {
		errEnabled = errors.Newf("mechanism on: want %q in the output of the last line, got\n%s", want, out)
	}
	if out := lastStepOutput(play(text, off)); strings.Contains(out, want) {
		errDisabled = errors.Newf("mechanism off: want no %q in the output of the last line, got\n%s", want, out)
	}
	return errors.Join(errEnabled, errDisabled)
}

// lastStepOutput returns the output of the last line of a scenario: the last line that is
// not indented, and the indented lines after it.
func lastStepOutput(out string) string {
	lines := strings.SplitAfter(out, "\n")
	last := 0
	for i, line := range lines {
		if line != "" && !strings.HasPrefix(line, "  ") {
			last = i
		}
	}
	return strings.Join(lines[last:], "")
}
