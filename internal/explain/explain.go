// Package explain sorts the log lines of all processes about one request by time and
// describes what happened to the request and why.
//
// Lines are in logfmt. Anything before the timestamp, such as a machine name added by a log
// collector, is skipped.
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
)

// ErrNotFound means that no line has the request's identifier.
var ErrNotFound = errors.New("explain: no line about the request")

const (
	// contextWindow is how long before the request's first line the other lines of its entry
	// are shown.
	contextWindow = 2 * time.Second
	// maxLineBytes limits the length of one line.
	maxLineBytes    = 1 << 20
	timestampPrefix = "timestamp="
)

// Line is one log line.
type Line struct {
	Time    time.Time
	Machine string
	Message string
	Fields  map[string]string
}

// ReadLines returns the log lines of r; lines in other formats are skipped.
func ReadLines(r io.Reader) ([]Line, error) {
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
	start := strings.Index(text, timestampPrefix)
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
	line.Time, line.Machine, line.Message = at, line.Fields["machine"], line.Fields["message"]
	return line, true
}

// Request writes the lines about a request and a description of what happened to it. It
// fails with ErrNotFound if no line is about the request.
func Request(w io.Writer, lines []Line, id string) error {
	requestLines := filter(lines, func(l Line) bool { return l.Fields["request"] == id })
	if len(requestLines) == 0 {
		return errors.Wrapf(ErrNotFound, "%s", id)
	}
	first := requestLines[0]
	fmt.Fprintf(w, "request %s at %s\n\n", id, first.Machine)
	for _, l := range mergeByTime(requestLines, entryContext(lines, requestLines)) {
		fmt.Fprintf(w, "%s %s\n", l.Time.Format("15:04:05.000"), formatLine(l))
	}
	r := requestLog{lines: requestLines, all: lines}
	fmt.Fprintf(w, "\n%s\n", strings.Join(r.conclude(), " "))
	return nil
}

// unrelatedMessages never affect a request, so they are not shown as its context.
var unrelatedMessages = map[string]bool{
	"peer rejected": true, "peers: member published": true, "weights wanted": true, "weights whole": true,
	"pieces from a peer": true, "pieces from a neighbour": true, "pieces received": true,
}

// entryContext returns the lines that the request's entry logged shortly before the request
// and during it: lines about no other request, and about no targets but those of the request.
func entryContext(lines, requestLines []Line) []Line {
	first, last := requestLines[0], requestLines[len(requestLines)-1]
	targets := map[string]bool{}
	for _, l := range requestLines {
		targets[l.Fields["target"]] = l.Fields["target"] != ""
	}
	return filter(lines, func(l Line) bool {
		if l.Fields["request"] != "" || l.Machine != first.Machine || unrelatedMessages[l.Message] {
			return false
		}
		if l.Time.Before(first.Time.Add(-contextWindow)) || l.Time.After(last.Time) {
			return false
		}
		target := l.Fields["target"]
		return target == "" || targets[target]
	})
}

// filter returns the lines that match accepts, in order of time.
func filter(lines []Line, match func(Line) bool) []Line {
	var matched []Line
	for _, l := range lines {
		if match(l) {
			matched = append(matched, l)
		}
	}
	return mergeByTime(matched, nil)
}

// mergeByTime returns the lines of a and b in order of time.
func mergeByTime(a, b []Line) []Line {
	all := append(append([]Line(nil), a...), b...)
	sort.SliceStable(all, func(i, j int) bool { return all[i].Time.Before(all[j].Time) })
	return all
}

// hiddenFields are shown elsewhere or are of no use to the reader.
var hiddenFields = map[string]bool{"timestamp": true, "machine": true, "message": true, "level": true, "request": true, "source": true}

// formatLine returns the message of a line and its fields, sorted by name.
func formatLine(l Line) string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if !hiddenFields[name] {
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
