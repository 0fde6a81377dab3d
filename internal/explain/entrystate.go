package explain

import (
	"fmt"
	"sort"
	"time"
)

// recentStartWindow is how long before the end of a request a start of its entry is
// mentioned.
const recentStartWindow = 5 * time.Second

// describeEntryState describes what had happened at the entry shortly before a request that
// was not served in time: a start, lost topics, and the state of the target's engine.
func (r requestLog) describeEntryState(end Line) []string {
	if end.Message == messageServed {
		return nil
	}
	var sentences []string
	if l, ok := r.lastAtEntry(end, "started"); ok && end.Time.Sub(l.Time) < recentStartWindow {
		sentences = append(sentences, fmt.Sprintf("%s had started %d ms before.", end.Machine, end.Time.Sub(l.Time).Milliseconds()))
	}
	sentences = append(sentences, r.describeLostTopics(end)...)
	return append(sentences, r.describeEngine(end)...)
}

// lastAtEntry returns the last line with a message that the machine of end logged until end.
func (r requestLog) lastAtEntry(end Line, message string) (found Line, ok bool) {
	return lastOf(r.all, end.Time, func(l Line) bool { return l.Machine == end.Machine && hasMessage(l, message) })
}

// describeLostTopics describes the topics of the store that the entry could not read at the
// end of the request.
func (r requestLog) describeLostTopics(end Line) []string {
	lost := map[string]time.Time{}
	for _, l := range mergeByTime(r.all, nil) {
		if l.Machine != end.Machine || l.Time.After(end.Time) {
			continue
		}
		switch {
		case hasMessage(l, "store lost"):
			lost[l.Fields["topic"]] = l.Time
		case hasMessage(l, "store answers"):
			delete(lost, l.Fields["topic"])
		case hasMessage(l, "started"):
			clear(lost)
		}
	}
	var sentences []string
	for topic, at := range lost {
		sentences = append(sentences, fmt.Sprintf("%s had lost the store's topic %s %d ms before.", end.Machine, topic, end.Time.Sub(at).Milliseconds()))
	}
	sort.Strings(sentences)
	return sentences
}

// describeEngine describes the last state of the target's engine that the target process
// beside it logged. The lines of that process are found by the engine's start time, which
// the entry logs too when the target is listed.
func (r requestLog) describeEngine(end Line) []string {
	born, address := "", ""
	for _, l := range r.all {
		if hasMessage(l, "target listed") && l.Fields["target"] == end.Fields["target"] && !l.Time.After(end.Time) {
			born, address = l.Fields["born"], l.Fields["address"]
		}
	}
	if born == "" || born == "0" {
		return nil
	}
	observed, ok := lastOf(r.all, end.Time, func(l Line) bool { return isOfEngine(l, born, address) })
	if !ok {
		return nil
	}
	last, _ := lastOf(r.all, end.Time, func(l Line) bool { return hasMessage(l, messageEngine) && l.Machine == observed.Machine })
	engine := "that engine"
	if last.Fields["born"] != born {
		engine = "another life of that engine"
	}
	return []string{fmt.Sprintf("%s had seen %s change %d ms before: up %s, version %s, busy %s.", last.Machine, engine,
		end.Time.Sub(last.Time).Milliseconds(), last.Fields["up"], last.Fields["version"], last.Fields["busy"])}
}

// lastOf returns the last line up to a time that match accepts.
func lastOf(lines []Line, until time.Time, match func(Line) bool) (found Line, ok bool) {
	for _, l := range lines {
		if l.Time.After(until) || !match(l) {
			continue
		}
		if !ok || !l.Time.Before(found.Time) {
			found, ok = l, true
		}
	}
	return found, ok
}
