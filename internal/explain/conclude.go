package explain

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"mimosastand.example/mimosastand/contract"
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

// ending tells of the end itself.
func ending(end Line) []string {
	if end.Message == messageServed {
		return []string{fmt.Sprintf("It was served by %s within %s ms.", end.Fields["target"], end.Fields["ms"])}
	}
	if end.Message == messageLate {
		return late(end)
	}
	switch contract.Reason(end.Fields["reason"]) {
	case "":
		return []string{fmt.Sprintf("It ended with status %s of target %s itself%s.",
			end.Fields["status"], end.Fields["target"], timed(" after", end.Fields["ms"]))}
	case contract.ReasonCallerGone:
		return callerGone(end)
	case contract.ReasonCutAnswer, contract.ReasonDeadline:
		return cut(end)
	default:
		return refused(end)
	}
}

// late tells of an answer that began after its objective.
func late(end Line) []string {
	said := []string{fmt.Sprintf("It was served late by %s through %s: the answer began after %s ms, %s ms were the objective.",
		end.Fields["target"], end.Machine, end.Fields["begun_ms"], end.Fields["objective_ms"])}
	return append(said, attempt(end)...)
}

// callerGone tells of a request whose caller left, and what it had waited for.
func callerGone(end Line) []string {
	text := fmt.Sprintf("It ended with status %s after %s ms, because the caller closed the connection", end.Fields["status"], end.Fields["ms"])
	if events := end.Fields["events"]; events != "" {
		text += fmt.Sprintf("; it had %s parts of the answer, the last %s ms before, the longest pause was %s ms",
			events, end.Fields["quiet_ms"], end.Fields["pause_ms"])
	} else if objective := end.Fields["objective_ms"]; objective != "" {
		text += fmt.Sprintf("; nothing of the answer had come, %s ms were the objective", objective)
	}
	return append([]string{text + "."}, attempt(end)...)
}

// cut tells of an answer that is not whole.
func cut(end Line) []string {
	reason := contract.Reason(end.Fields["reason"])
	var said []string
	if events := end.Fields["events"]; events != "" {
		said = append(said, fmt.Sprintf("%s cut the answer midway after %s ms and %s parts, because %s.", end.Machine, end.Fields["ms"], events, reason.Explain()))
	} else {
		said = append(said, fmt.Sprintf("It ended with status %s after %s ms, because %s.", end.Fields["status"], end.Fields["ms"], reason.Explain()))
	}
	said = append(said, attempt(end)...)
	return append(said, survey(end)...)
}

// refused tells of a request that the entry refused.
func refused(end Line) []string {
	reason := contract.Reason(end.Fields["reason"])
	said := []string{fmt.Sprintf("It ended with status %s after %s ms, because %s.", end.Fields["status"], end.Fields["ms"], reason.Explain())}
	if after := end.Fields["after_ms"]; after != "" && after != "0" {
		said[0] += fmt.Sprintf(" The caller was told to come back in %s ms.", after)
	}
	if end.Fields["sent"] == "0" && reason.HTTPStatus() >= 500 {
		said = append(said, "It was never sent to a target, so it has not run.")
	}
	said = append(said, survey(end)...)
	if end.Fields["limit"] != "" {
		said = append(said, attempt(end)...)
	}
	return said
}

// standing says what each rule that leaves targets out means.
var standing = map[string]string{
	"targets_free":          "had room",
	"targets_leaving":       "leaving",
	"targets_evacuated":     "in evacuated zones",
	"targets_other_region":  "in regions that the request may not use",
	"targets_changing":      "loading weights",
	"targets_other_version": "without weights that it may run on",
	"targets_tried":         "tried before",
	"targets_taken_out":     "taken out for failures or silence",
	"targets_cold":          "cold, and the entry's share of them used up",
	"targets_full":          "full",
}

// survey tells how the targets stood when there was no room.
func survey(end Line) []string {
	if end.Fields["listed"] == "" {
		return nil
	}
	var parts []string
	for field, clause := range standing {
		if n := end.Fields[field]; n != "" {
			parts = append(parts, n+" "+clause)
		}
	}
	sort.Strings(parts)
	text := fmt.Sprintf("%s knew of %s targets", end.Machine, end.Fields["listed"])
	if end.Fields["sent"] != "0" {
		text = fmt.Sprintf("For another attempt %s knew of %s targets", end.Machine, end.Fields["listed"])
	}
	if len(parts) > 0 {
		text += ": " + strings.Join(parts, ", ")
	}
	said := []string{text + "."}
	if oldest := end.Fields["oldest"]; oldest != "" {
		said = append(said, fmt.Sprintf("Version %s was the oldest allowed.", oldest))
	}
	if nearest := end.Fields["nearest"]; nearest != "" {
		said = append(said, fmt.Sprintf("The nearest full one, %s, would have begun after %s ms at a load of %s%s; %s ms were left%s.",
			nearest, end.Fields["nearest_first_ms"], end.Fields["nearest_load"], ages(end, "nearest_"), end.Fields["limit_ms"], whyFull(end)))
	}
	return said
}

// whyFull tells why a target is full that would begin in time.
func whyFull(end Line) string {
	if number(end, "nearest_first_ms") > number(end, "limit_ms") {
		return ""
	}
	return ", but all its slots were taken or it had just refused a request"
}

// ages tells how old what is known of a target was.
func ages(l Line, prefix string) string {
	var parts []string
	if told := l.Fields[prefix+"told_ms"]; told != "" && !strings.HasPrefix(told, "-") {
		parts = append(parts, "its process told of it "+told+" ms before")
	}
	if listed := l.Fields[prefix+"listed_ms"]; listed != "" {
		parts = append(parts, "its entry in the list changed "+listed+" ms before")
	}
	if len(parts) == 0 {
		return ""
	}
	return " (" + strings.Join(parts, ", ") + ")"
}

// broken says how an attempt broke off.
var broken = map[string]string{
	"silent":            "it fell silent",
	"deadline":          "the request's time was over",
	"caller_gone":       "the caller was gone",
	"ended_early":       "the connection was closed before the end",
	"connection":        "the connection failed",
	"no_stamp":          "the answer did not bear the target's mark",
	"other_stamp":       "the answer was that of another attempt",
	"encoded":           "the answer was changed on its way",
	"too_large":         "the answer was too large",
	"unstamped_promise": "the answer claimed not to have run without saying so surely",
	"target_busy":       "it had no room",
	"misdirected":       "another target or other weights were there",
}

// breakage says how the attempt of a line broke off; empty if it did not.
func breakage(l Line) string {
	clause := broken[l.Fields["broke"]]
	if l.Fields["broke"] != "misdirected" {
		return clause
	}
	told, believed, expected := l.Fields["target_version"], l.Fields["version"], l.Fields["expected_version"]
	switch {
	case expected == "":
		return "another target was there (no version was asked for)"
	case told == expected:
		return "another target was there, with version " + told
	case told != "":
		return fmt.Sprintf("it had version %s, and version %s was asked for", told, expected)
	case believed != "" && believed != expected:
		return fmt.Sprintf("it was taken to have version %s, and version %s was asked for", believed, expected)
	default:
		return clause
	}
}

// limits says why no other attempt followed.
var limits = map[string]string{
	"time":         "too little time was left",
	"attempts":     "the route allows no more attempts",
	"unsent":       "too many attempts could not be sent",
	"once":         "it may run only once",
	"retry_budget": "the retry budget was used up",
}

// attempt tells of the last attempt and what its choice rested on.
func attempt(end Line) []string {
	f := end.Fields
	if f["attempt_ms"] == "" {
		return nil
	}
	weights := ""
	if version := f["version"]; version != "0" {
		weights = " on version " + version
	}
	said := []string{fmt.Sprintf("The last attempt went to %s%s, which was to begin after %s ms at a load of %s%s.",
		f["target"], weights, f["first_ms"], f["load"], ages(end, ""))}
	switch {
	case f["begun_ms"] != "" && f["broke"] == "":
		said = append(said, began(end))
	case breakage(end) != "":
		text := fmt.Sprintf("It broke off after %s ms: %s", f["attempt_ms"], breakage(end))
		if load := f["target_load"]; load != "" {
			text += fmt.Sprintf(", it told a load of %s", load)
		}
		said = append(said, text+".")
	}
	if clause := limits[f["limit"]]; clause != "" {
		said = append(said, "No other attempt followed, since "+clause+".")
	}
	return said
}

// began tells where the time before the answer's begin went.
func began(end Line) string {
	begun, total, own := number(end, "begun_ms"), number(end, "ms"), number(end, "attempt_ms")
	before := max(total-own, 0)
	if before > begun {
		return fmt.Sprintf("The answer had begun in an attempt before, after %d ms.", begun)
	}
	return fmt.Sprintf("%s ms had passed before the first attempt and %d ms before this one, which began after %d ms.",
		end.Fields["waited_ms"], before, begun-before)
}

// number is a field's value; fields that explain has no use for are taken as 0.
func number(l Line, field string) int64 {
	n, err := strconv.ParseInt(l.Fields[field], 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func timed(prefix, ms string) string {
	if ms == "" {
		return ""
	}
	return prefix + " " + ms + " ms"
}

// recently is how long before a request a start of its entry is told of.
const recently = 5 * time.Second

// believed tells what the entry had just been through when the request ended badly.
func (s session) believed(end Line) []string {
	if end.Message == messageServed {
		return nil
	}
	var said []string
	if l, ok := s.latest(end, "started"); ok && end.At.Sub(l.At) < recently {
		said = append(said, fmt.Sprintf("%s had started %d ms before.", end.Machine, end.At.Sub(l.At).Milliseconds()))
	}
	said = append(said, s.store(end)...)
	return append(said, s.engine(end)...)
}

// latest is the last line of a message at the end's machine before it.
func (s session) latest(end Line, message string) (found Line, ok bool) {
	return lastOf(s.all, end.At, func(l Line) bool { return l.Machine == end.Machine && is(l, message) })
}

// store tells of the topics that the entry could not read.
func (s session) store(end Line) []string {
	lost := map[string]time.Time{}
	for _, l := range merge(s.all, nil) {
		if l.Machine != end.Machine || l.At.After(end.At) {
			continue
		}
		switch {
		case is(l, "store lost"):
			lost[l.Fields["topic"]] = l.At
		case is(l, "store answers"):
			delete(lost, l.Fields["topic"])
		case is(l, "started"):
			clear(lost)
		}
	}
	var said []string
	for topic, at := range lost {
		said = append(said, fmt.Sprintf("%s had lost the store's topic %s %d ms before.", end.Machine, topic, end.At.Sub(at).Milliseconds()))
	}
	sort.Strings(said)
	return said
}

// engine tells what the process beside the last target's engine had said of it. Its
// lines are found by the time of the engine's start, which the list tells as well.
func (s session) engine(end Line) []string {
	born := ""
	for _, l := range s.all {
		if is(l, "target listed") && l.Fields["target"] == end.Fields["target"] && !l.At.After(end.At) {
			born = l.Fields["born"]
		}
	}
	if born == "" || born == "0" {
		return nil
	}
	beside, ok := lastOf(s.all, end.At, func(l Line) bool { return is(l, "engine changed") && l.Fields["born"] == born })
	if !ok {
		return nil
	}
	last, _ := lastOf(s.all, end.At, func(l Line) bool { return is(l, "engine changed") && l.Machine == beside.Machine })
	engine := "that engine"
	if last.Fields["born"] != born {
		engine = "another life of that engine"
	}
	return []string{fmt.Sprintf("%s had seen %s change %d ms before: up %s, version %s, busy %s.", last.Machine, engine,
		end.At.Sub(last.At).Milliseconds(), last.Fields["up"], last.Fields["version"], last.Fields["busy"])}
}

// lastOf is the last line up to a time that keep takes.
func lastOf(lines []Line, until time.Time, keep func(Line) bool) (found Line, ok bool) {
	for _, l := range lines {
		if l.At.After(until) || !keep(l) {
			continue
		}
		if !ok || !l.At.Before(found.At) {
			found, ok = l, true
		}
	}
	return found, ok
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
		if l.Machine != last.Machine || !l.At.After(last.At) {
			continue
		}
		if is(l, "started") {
			return append(said, fmt.Sprintf("%s started again %d ms after its last line: it ended with the request open.",
				l.Machine, l.At.Sub(last.At).Milliseconds()))
		}
		if is(l, "lines left out") && strings.HasPrefix(l.Fields["event"], "request ") {
			return append(said, fmt.Sprintf("%s left out %s lines %q up to %d ms after its last line.",
				l.Machine, l.Fields["count"], l.Fields["event"], l.At.Sub(last.At).Milliseconds()))
		}
	}
	return said
}
