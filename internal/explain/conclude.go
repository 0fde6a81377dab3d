package explain

import (
	"fmt"
	"strings"
)

// Messages from which the conclusion is drawn; see docs/operations/platform.md.
const (
	messagePlaced    = "attempt placed"
	messageSentAgain = "sent again"
	messageHedged    = "hedge started"
	messageHedgeWon  = "hedge won"
	messageServed    = "request served"
	messageLate      = "request served late"
	messageEnded     = "request ended"
)

// requestLog holds the lines of one request in order of time, and all lines.
type requestLog struct {
	lines, all []Line
}

// conclude describes in a few sentences how the request ended, at which process, and on
// what data the decisions were based.
func (r requestLog) conclude() []string {
	end, ok := r.findEnd()
	if !ok {
		return r.describeUnfinished()
	}
	var sentences []string
	sentences = append(sentences, r.describeRetries()...)
	sentences = append(sentences, r.describeHedges()...)
	sentences = append(sentences, describeEnd(end)...)
	sentences = append(sentences, r.describeLoad(end)...)
	sentences = append(sentences, r.describeEntryState(end)...)
	return append(sentences, r.describeMissingLines(end)...)
}

// findEnd returns the last line that reports how the request ended.
func (r requestLog) findEnd() (Line, bool) {
	for i := len(r.lines) - 1; i >= 0; i-- {
		switch l := r.lines[i]; l.Message {
		case messageServed, messageLate, messageEnded:
			return l, true
		}
	}
	return Line{}, false
}

// describeRetries describes the attempts after which the request was sent again.
func (r requestLog) describeRetries() []string {
	var attempts []string
	for _, l := range r.lines {
		if !hasMessage(l, messageSentAgain) {
			continue
		}
		outcome := strings.ReplaceAll(l.Fields["outcome"], "_", " ")
		if clause := describeBreakage(l); clause != "" {
			outcome += " (" + clause + ")"
		}
		attempts = append(attempts, fmt.Sprintf("%s at %s", outcome, l.Fields["target"]))
	}
	if len(attempts) == 0 {
		return nil
	}
	return []string{fmt.Sprintf("It was sent again %d times, since: %s.", len(attempts), strings.Join(attempts, ", "))}
}

// describeHedges describes the attempts that were sent beside slow ones, and which of them began first.
func (r requestLog) describeHedges() []string {
	var sentences []string
	for _, l := range r.lines {
		switch {
		case hasMessage(l, messageHedged):
			sentences = append(sentences, fmt.Sprintf("%s had sent nothing after %s ms (predicted: %s ms), so it was also sent to %s (predicted: %s ms).",
				l.Fields["slow_target"], l.Fields["attempt_ms"], l.Fields["slow_first_ms"], l.Fields["target"], l.Fields["first_ms"]))
		case hasMessage(l, messageHedgeWon):
			sentences = append(sentences, fmt.Sprintf("%s began first, %s ms after that.", l.Fields["target"], l.Fields["hedge_ms"]))
		}
	}
	return sentences
}

// hasMessage reports whether a line has the message, with or without a prefix.
func hasMessage(l Line, message string) bool {
	return l.Message == message || strings.HasSuffix(l.Message, ": "+message)
}

// describeMissingLines describes how many attempts have no line of their own.
func (r requestLog) describeMissingLines(end Line) []string {
	placed := int64(0)
	for _, l := range r.lines {
		if hasMessage(l, messagePlaced) {
			placed++
		}
	}
	attempts := intField(end, "sent") + intField(end, "unsent")
	if attempts <= placed {
		return nil
	}
	return []string{fmt.Sprintf("%d of its attempts are not in these lines.", attempts-placed)}
}

// describeUnfinished describes a request whose end is not logged, with the likely reason:
// its process started again, or left out lines about requests.
func (r requestLog) describeUnfinished() []string {
	sentences := []string{"Its end is not in these lines."}
	last := r.lines[len(r.lines)-1]
	for _, l := range mergeByTime(r.all, nil) {
		if l.Machine != last.Machine || !l.Time.After(last.Time) {
			continue
		}
		if hasMessage(l, "started") {
			return append(sentences, fmt.Sprintf("%s started again %d ms after its last line: it ended with the request open.",
				l.Machine, l.Time.Sub(last.Time).Milliseconds()))
		}
		if hasMessage(l, "lines left out") && strings.HasPrefix(l.Fields["event"], "request ") {
			return append(sentences, fmt.Sprintf("%s left out %s lines %q up to %d ms after its last line.",
				l.Machine, l.Fields["count"], l.Fields["event"], l.Time.Sub(last.Time).Milliseconds()))
		}
	}
	return sentences
}
