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
	Time    time.Time
	Machine string
	Message string
	Fields  map[string]string
}

// Read returns the log lines of r; lines of other forms are left out.
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
	line.Time, line.Machine, line.Message = at, line.Fields["machine"], line.Fields["message"]
	return line, true
}

// Request writes what the lines tell of a request. It fails with ErrNotFound.
func Request(w io.Writer, lines []Line, id string) error {
	about := choose(lines, func(l Line) bool { return l.Fields["request"] == id })
	if len(about) == 0 {
		return errors.Wrapf(ErrNotFound, "%s", id)
	}
	first := about[0]
	fmt.Fprintf(w, "request %s at %s\n\n", id, first.Machine)
	for _, l := range merge(about, around(lines, about)) {
		fmt.Fprintf(w, "%s %s\n", l.Time.Format("15:04:05.000"), describe(l))
	}
	s := session{about: about, all: lines}
	fmt.Fprintf(w, "\n%s\n", strings.Join(s.conclude(), " "))
	return nil
}

// unrelated messages say nothing of a request.
var unrelated = map[string]bool{
	"peer rejected": true, "peers: member published": true, "weights wanted": true, "weights whole": true,
	"pieces from a peer": true, "pieces from a neighbour": true, "pieces received": true,
}

// around are the lines that tell what the request's entry came to believe shortly
// before it and meanwhile.
func around(lines, about []Line) []Line {
	first, last := about[0], about[len(about)-1]
	targets := map[string]bool{}
	for _, l := range about {
		targets[l.Fields["target"]] = l.Fields["target"] != ""
	}
	return choose(lines, func(l Line) bool {
		if l.Fields["request"] != "" || l.Machine != first.Machine || unrelated[l.Message] {
			return false
		}
		if l.Time.Before(first.Time.Add(-context)) || l.Time.After(last.Time) {
			return false
		}
		target := l.Fields["target"]
		return target == "" || targets[target]
	})
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
	sort.SliceStable(all, func(i, j int) bool { return all[i].Time.Before(all[j].Time) })
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
