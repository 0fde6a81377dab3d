package explain

import (
	"fmt"
	"strings"
)

// Messages that the conclusion rests on; see docs/operations/platform.md.
const (
	messagePlaced = "attempt placed"
	messageAgain  = "sent again"
	messageServed = "request served"
	messageLate   = "request served late"
	messageEnded  = "request ended"
)

// session is a request's lines, in order, among all lines.
type session struct {
	about, all []Line
}

// conclude says in a few sentences how the request ended, by which process, and on
// what its decisions rested.
func (s session) conclude() []string {
	end, ok := s.end()
	if !ok {
		return s.unfinished()
	}
	var said []string
	said = append(said, s.repeated()...)
	said = append(said, ending(end)...)
	said = append(said, s.believed(end)...)
	return append(said, s.missing(end)...)
}

// end is the line that tells how the request ended.
func (s session) end() (Line, bool) {
	for i := len(s.about) - 1; i >= 0; i-- {
		switch l := s.about[i]; l.Message {
		case messageServed, messageLate, messageEnded:
			return l, true
		}
	}
	return Line{}, false
}

// repeated tells of the attempts before the last.
func (s session) repeated() []string {
	var list []string
	for _, l := range s.about {
		if !is(l, messageAgain) {
			continue
		}
		how := strings.ReplaceAll(l.Fields["outcome"], "_", " ")
		if clause := breakage(l); clause != "" {
			how += " (" + clause + ")"
		}
		list = append(list, fmt.Sprintf("%s at %s", how, l.Fields["target"]))
	}
	if len(list) == 0 {
		return nil
	}
	return []string{fmt.Sprintf("It was sent again %d times, since: %s.", len(list), strings.Join(list, ", "))}
}

func is(l Line, message string) bool {
	return l.Message == message || strings.HasSuffix(l.Message, ": "+message)
}

// missing tells that some of the request's lines are not there.
func (s session) missing(end Line) []string {
	placed := int64(0)
	for _, l := range s.about {
		if is(l, messagePlaced) {
			placed++
		}
	}
	attempts := number(end, "sent") + number(end, "unsent")
	if attempts <= placed {
		return nil
	}
	return []string{fmt.Sprintf("%d of its attempts are not in these lines.", attempts-placed)}
}

// unfinished tells of a request whose end is not logged, and why that may be.
func (s session) unfinished() []string {
	said := []string{"Its end is not in these lines."}
	last := s.about[len(s.about)-1]
	for _, l := range merge(s.all, nil) {
		if l.Machine != last.Machine || !l.Time.After(last.Time) {
			continue
		}
		if is(l, "started") {
			return append(said, fmt.Sprintf("%s started again %d ms after its last line: it ended with the request open.",
				l.Machine, l.Time.Sub(last.Time).Milliseconds()))
		}
		if is(l, "lines left out") && strings.HasPrefix(l.Fields["event"], "request ") {
			return append(said, fmt.Sprintf("%s left out %s lines %q up to %d ms after its last line.",
				l.Machine, l.Fields["count"], l.Fields["event"], l.Time.Sub(last.Time).Milliseconds()))
		}
	}
	return said
}
