// Package script parses the lines of the scenario files with which the target's state
// machines are tested.
//
// A line consists of an optional time, a command and its arguments, such as "@1.5s report
// boot=b1 seq=2 warm". The time counts from the start of the scenario and also applies to
// the lines that follow.
package script

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
)

// Line is one line of a scenario.
type Line struct {
	Text string
	// At is the time since the start of the scenario.
	At   time.Duration
	Cmd  string
	args map[string]string
	// Names holds the arguments without a value, in order.
	Names []string
}

// Parse parses a scenario. The lines before the first one that states a time apply at the
// time at. Empty lines and lines that begin with "#" are skipped.
func Parse(text string, at time.Duration) ([]Line, error) {
	var lines []Line
	for _, raw := range strings.Split(text, "\n") {
		raw = strings.TrimSpace(raw)
		if raw == "" || strings.HasPrefix(raw, "#") {
			continue
		}
		line, err := parseLine(raw, at)
		if err != nil {
			return nil, err
		}
		at = line.At
		lines = append(lines, line)
	}
	return lines, nil
}

func parseLine(raw string, at time.Duration) (Line, error) {
	line := Line{Text: raw, At: at, args: map[string]string{}}
	rest := raw
	if strings.HasPrefix(raw, "@") {
		timeText, after, _ := strings.Cut(raw[1:], " ")
		d, err := time.ParseDuration(timeText)
		if err != nil {
			return Line{}, errors.Wrapf(err, "script: invalid time in line %q", raw)
		}
		line.At, rest = d, after
	}
	cmd, args, err := datadriven.ParseLine(rest)
	if err != nil {
		return Line{}, errors.Wrap(err, "script: invalid line")
	}
	line.Cmd = cmd
	for _, arg := range args {
		if len(arg.Vals) == 0 {
			line.Names = append(line.Names, arg.Key)
			line.args[arg.Key] = ""
			continue
		}
		line.args[arg.Key] = arg.Vals[0]
	}
	return line, nil
}

// Has reports whether the line has an argument, with or without a value.
func (l Line) Has(key string) bool {
	_, ok := l.args[key]
	return ok
}

// String returns the value of an argument, or def if the line does not have it.
func (l Line) String(key, def string) string {
	if v, ok := l.args[key]; ok {
		return v
	}
	return def
}

// Int returns the value of an argument as a number, or def if it is not a number.
func (l Line) Int(key string, def int) int {
	n, err := strconv.Atoi(l.String(key, ""))
	if err != nil {
		return def
	}
	return n
}

// Duration returns the value of an argument as a duration, or def if it is not a
// duration.
func (l Line) Duration(key string, def time.Duration) time.Duration {
	d, err := time.ParseDuration(l.String(key, ""))
	if err != nil {
		return def
	}
	return d
}

// Name returns the first argument without a value, or "" if there is none.
func (l Line) Name() string {
	if len(l.Names) == 0 {
		return ""
	}
	return l.Names[0]
}
