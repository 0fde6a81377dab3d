package explain

import (
	"fmt"
	"sort"
	"time"
)

// recently is how long before a request a start of its entry is told of.
const recently = 5 * time.Second

// believed tells what the entry had just been through when the request ended badly.
func (s session) believed(end Line) []string {
	if end.Message == messageServed {
		return nil
	}
	var said []string
	if l, ok := s.latest(end, "started"); ok && end.Time.Sub(l.Time) < recently {
		said = append(said, fmt.Sprintf("%s had started %d ms before.", end.Machine, end.Time.Sub(l.Time).Milliseconds()))
	}
	said = append(said, s.store(end)...)
	return append(said, s.engine(end)...)
}

// latest is the last line of a message at the end's machine before it.
func (s session) latest(end Line, message string) (found Line, ok bool) {
	return lastOf(s.all, end.Time, func(l Line) bool { return l.Machine == end.Machine && is(l, message) })
}

// store tells of the topics that the entry could not read.
func (s session) store(end Line) []string {
	lost := map[string]time.Time{}
	for _, l := range merge(s.all, nil) {
		if l.Machine != end.Machine || l.Time.After(end.Time) {
			continue
		}
		switch {
		case is(l, "store lost"):
			lost[l.Fields["topic"]] = l.Time
		case is(l, "store answers"):
			delete(lost, l.Fields["topic"])
		case is(l, "started"):
			clear(lost)
		}
	}
	var said []string
	for topic, at := range lost {
		said = append(said, fmt.Sprintf("%s had lost the store's topic %s %d ms before.", end.Machine, topic, end.Time.Sub(at).Milliseconds()))
	}
	sort.Strings(said)
	return said
}

// engine tells what the process beside the last target's engine had said of it. Its
// lines are found by the time of the engine's start, which the list tells as well.
func (s session) engine(end Line) []string {
	born := ""
	for _, l := range s.all {
		if is(l, "target listed") && l.Fields["target"] == end.Fields["target"] && !l.Time.After(end.Time) {
			born = l.Fields["born"]
		}
	}
	if born == "" || born == "0" {
		return nil
	}
	beside, ok := lastOf(s.all, end.Time, func(l Line) bool { return is(l, "engine changed") && l.Fields["born"] == born })
	if !ok {
		return nil
	}
	last, _ := lastOf(s.all, end.Time, func(l Line) bool { return is(l, "engine changed") && l.Machine == beside.Machine })
	engine := "that engine"
	if last.Fields["born"] != born {
		engine = "another life of that engine"
	}
	return []string{fmt.Sprintf("%s had seen %s change %d ms before: up %s, version %s, busy %s.", last.Machine, engine,
		end.Time.Sub(last.Time).Milliseconds(), last.Fields["up"], last.Fields["version"], last.Fields["busy"])}
}

// lastOf is the last line up to a time that keep takes.
func lastOf(lines []Line, until time.Time, keep func(Line) bool) (found Line, ok bool) {
	for _, l := range lines {
		if l.Time.After(until) || !keep(l) {
			continue
		}
		if !ok || !l.Time.Before(found.Time) {
			found, ok = l, true
		}
	}
	return found, ok
}
