// Package explain puts the log lines of all processes about one request in order
// and says what happened to it and why.
//
// A line is in logfmt; anything before its timestamp, such as the name of the
// machine that a collector put there, is passed over.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"

	"mimosastand.example/mimosastand/contract"
)

// ErrNotFound means that no line names the request.
var ErrNotFound = errors.New("explain: no line about the request")

const (
	// context is how long before the request what its entry came to believe is shown.
	context = 2 * time.Second
	// maxLineBytes bounds one line.
	maxLineBytes = 1 << 20
	firstField   = "timestamp="
)

// Line is one log line.
type Line struct {
	At      time.Time
	Machine string
	Message string
	Fields  map[string]string
}

// Read returns the log lines of r; lines of other forms are left out.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := parse(scanner.Text()); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "explain: read")
}

func parse(text string) (Line, bool) {
	start := strings.Index(text, firstField)
	if start < 0 {
		return Line{}, false
	}
	line := Line{Fields: map[string]string{}}
	decoder := logfmt.NewDecoder(strings.NewReader(text[start:]))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			line.Fields[string(decoder.Key())] = string(decoder.Value())
		}
	}
	at, err := time.Parse(time.RFC3339Nano, line.Fields["timestamp"])
	if err != nil || decoder.Err() != nil {
		return Line{}, false
	}
	line.At, line.Machine, line.Message = at, line.Fields["machine"], line.Fields["message"]
	return line, true
}

// Request writes what the lines tell of a request. It fails with ErrNotFound.
func Request(w io.Writer, lines []Line, id string) error {
	about := choose(lines, func(l Line) bool { return l.Fields["request"] == id })
	if len(about) == 0 {
		return errors.Wrapf(ErrNotFound, "%s", id)
	}
	first := about[0]
	targets := map[string]bool{}
	for _, l := range about {
		targets[l.Fields["target"]] = l.Fields["target"] != ""
	}
	around := choose(lines, func(l Line) bool {
		if l.Fields["request"] != "" || l.Machine != first.Machine {
			return false
		}
		if l.At.Before(first.At.Add(-context)) || l.At.After(about[len(about)-1].At) {
			return false
		}
		target := l.Fields["target"]
		return target == "" || targets[target]
	})
	fmt.Fprintf(w, "request %s at %s\n\n", id, first.Machine)
	for _, l := range merge(about, around) {
		fmt.Fprintf(w, "%s %s\n", l.At.Format("15:04:05.000"), describe(l))
	}
	fmt.Fprintf(w, "\n%s\n", conclude(about))
	return nil
}

func choose(lines []Line, keep func(Line) bool) []Line {
	var list []Line
	for _, l := range lines {
		if keep(l) {
			list = append(list, l)
		}
	}
	return merge(list, nil)
}

func merge(a, b []Line) []Line {
	all := append(append([]Line(nil), a...), b...)
	sort.SliceStable(all, func(i, j int) bool { return all[i].At.Before(all[j].At) })
	return all
}

// hidden fields are shown elsewhere or say nothing to a reader.
var hidden = map[string]bool{"timestamp": true, "machine": true, "message": true, "level": true, "request": true, "source": true}

func describe(l Line) string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if !hidden[name] {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	text := l.Message
	for _, name := range names {
		text += fmt.Sprintf(" %s=%s", name, l.Fields[name])
	}
	return text
}

// conclude says in a few sentences how the request ended and why.
func conclude(about []Line) string {
	last := about[len(about)-1]
	var said []string
	if n := count(about, "sent again"); n > 0 {
		said = append(said, fmt.Sprintf("It was sent again %d times, since: %s.", n, outcomes(about)))
	}
	reason := contract.Reason(last.Fields["reason"])
	switch {
	case last.Message == "request served":
		said = append(said, fmt.Sprintf("It was served by %s within %s ms.", last.Fields["target"], last.Fields["ms"]))
	case reason != "":
		text := fmt.Sprintf("It ended with status %s after %s ms, because %s.", last.Fields["status"], last.Fields["ms"], reason.Explain())
		if after := last.Fields["after_ms"]; after != "" && after != "0" {
			text += fmt.Sprintf(" The caller was told to come back in %s ms.", after)
		}
		said = append(said, text)
	case last.Fields["status"] != "":
		said = append(said, fmt.Sprintf("It ended with status %s of target %s itself.", last.Fields["status"], last.Fields["target"]))
	default:
		said = append(said, "Its end is not in these lines.")
	}
	if last.Fields["sent"] == "0" {
		said = append(said, "It was never sent to a target, so it has not run.")
	}
	return strings.Join(said, " ")
}

func count(about []Line, message string) int {
	n := 0
	for _, l := range about {
		if l.Message == message || strings.HasSuffix(l.Message, ": "+message) {
			n++
		}
	}
	return n
}

func outcomes(about []Line) string {
	var list []string
	for _, l := range about {
		if outcome := l.Fields["outcome"]; outcome != "" {
			list = append(list, fmt.Sprintf("%s at %s", strings.ReplaceAll(outcome, "_", " "), l.Fields["target"]))
		}
	}
	return strings.Join(list, ", ")
}
