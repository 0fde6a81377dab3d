package script

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// CheckMechanism plays a scenario with all mechanisms, where the output of its last
// line must contain want, and without those in off, where it must not. play returns
// the output of a new session. The error tells each of the two outputs that is not
// as it should be.
func CheckMechanism[M any](play func(text string, off M) string, text string, off M, want string) error {
	var none M
	var missing, still error
	if out := lastStep(play(text, none)); !strings.Contains(out, want) {
		missing = errors.Newf("on: want %q in\n%s", want, out)
	}
	if out := lastStep(play(text, off)); strings.Contains(out, want) {
		still = errors.Newf("off: still %q in\n%s", want, out)
	}
	return errors.Join(missing, still)
}

// lastStep returns the output of the last line of a scenario: a line that is not
// indented and the indented ones after it.
func lastStep(out string) string {
	lines := strings.SplitAfter(out, "\n")
	last := 0
	for i, line := range lines {
		if line != "" && !strings.HasPrefix(line, "  ") {
			last = i
		}
	}
	return strings.Join(lines[last:], "")
}
