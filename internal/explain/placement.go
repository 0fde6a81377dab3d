package explain

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
)

// targetClauses explain the fields that count the listed targets by state: targets with
// room, and targets excluded by each rule.
var targetClauses = map[string]string{
	"targets_free":          "had room",
	"targets_leaving":       "leaving",
	"targets_evacuated":     "in evacuated zones",
	"targets_other_region":  "in regions that the request may not use",
	"targets_changing":      "loading weights",
	"targets_other_version": "without weights that it may run on",
	"targets_misdirected":   "others by now than the entry knew, by their own answers",
	"targets_tried":         "tried before",
	"targets_taken_out":     "taken out for failures or silence",
	"targets_cold":          "cold, and the entry's share of them used up",
	"targets_limited":       "limiting their rate, and the entry's share of it used up",
	"targets_full":          "full",
}

// describeTargets describes the state of the listed targets when none could be chosen.
func describeTargets(end Line) []string {
	if end.Fields["listed"] == "" {
		return nil
	}
	var parts []string
	for field, clause := range targetClauses {
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
	sentences := []string{text + "."}
	if oldest := end.Fields["oldest"]; oldest != "" {
		sentences = append(sentences, fmt.Sprintf("Version %s was the oldest allowed.", oldest))
	}
	if nearest := end.Fields["nearest"]; nearest != "" {
		sentences = append(sentences, fmt.Sprintf("The nearest full one, %s, would have begun after %s ms at a load of %s%s; %s ms were left%s.",
			nearest, end.Fields["nearest_first_ms"], end.Fields["nearest_load"], formatAges(end, "nearest_"), end.Fields["limit_ms"], explainFull(end)))
	}
	return sentences
}

// explainFull explains why the nearest full target was not chosen although its answer would
// have begun within the time left. It returns "" if the answer would have begun too late.
func explainFull(end Line) string {
	if intField(end, "nearest_first_ms") > intField(end, "limit_ms") {
		return ""
	}
	return ", but all its slots were taken or it had just refused a request"
}

// formatAges returns how old the target's last status and its record in the list were.
func formatAges(l Line, prefix string) string {
	var parts []string
	if statusAge := l.Fields[prefix+"told_ms"]; statusAge != "" && !strings.HasPrefix(statusAge, "-") {
		parts = append(parts, "its process told of it "+statusAge+" ms before")
	}
	if recordAge := l.Fields[prefix+"listed_ms"]; recordAge != "" {
		parts = append(parts, "its entry in the list changed "+recordAge+" ms before")
	}
	if len(parts) == 0 {
		return ""
	}
	return " (" + strings.Join(parts, ", ") + ")"
}

// breakageClauses explain the values of the field "broke": why an attempt broke off.
var breakageClauses = map[string]string{
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
	"stale_choice":      "the entry stood still after it had chosen the target, and did not send",
	"target_busy":       "it had no room",
	"misdirected":       "another target or other weights were there",
}

// describeBreakage describes why the attempt of a line broke off, or returns "" if it did not.
func describeBreakage(l Line) string {
	clause := breakageClauses[l.Fields["broke"]]
	if l.Fields["broke"] != "misdirected" {
		return clause
	}
	reported, assumed, expected := l.Fields["target_version"], l.Fields["version"], l.Fields["expected_version"]
	switch {
	case expected == "":
		return "another target was there (no version was asked for)"
	case reported == expected:
		return "another target was there, with version " + reported
	case reported != "":
		return fmt.Sprintf("it had version %s, and version %s was asked for", reported, expected)
	case assumed != "" && assumed != expected:
		return fmt.Sprintf("it was taken to have version %s, and version %s was asked for", assumed, expected)
	default:
		return clause
	}
}

// limitClauses explain the values of the field "limit": why no other attempt followed.
var limitClauses = map[string]string{
	"time":         "too little time was left",
	"attempts":     "the route allows no more attempts",
	"unsent":       "too many attempts could not be sent",
	"once":         "it may run only once",
	"retry_budget": "the retry budget was used up",
	"crash":        "its target had crashed, and its prompt was not known to be sound",
}

// describeLastAttempt describes the last attempt and the data on which its target was chosen.
func describeLastAttempt(end Line) []string {
	f := end.Fields
	if f["attempt_ms"] == "" {
		return nil
	}
	weights := ""
	if version := f["version"]; version != "0" {
		weights = " on version " + version
	}
	sentences := []string{fmt.Sprintf("The last attempt went to %s%s, which was to begin after %s ms at a load of %s%s.",
		f["target"], weights, f["first_ms"], f["load"], formatAges(end, ""))}
	switch {
	case f["begun_ms"] != "" && f["broke"] == "":
		sentences = append(sentences, describeStartDelay(end))
	case describeBreakage(end) != "":
		text := fmt.Sprintf("It broke off after %s ms: %s", f["attempt_ms"], describeBreakage(end))
		if load := f["target_load"]; load != "" {
			text += fmt.Sprintf(", it told a load of %s", load)
		}
		sentences = append(sentences, text+".")
	}
	if clause := limitClauses[f["limit"]]; clause != "" {
		sentences = append(sentences, "No other attempt followed, since "+clause+".")
	}
	return sentences
}

// describeStartDelay describes how the time until the answer began was spent.
func describeStartDelay(end Line) string {
	firstEvent, total, attempt := intField(end, "begun_ms"), intField(end, "ms"), intField(end, "attempt_ms")
	beforeAttempt := max(total-attempt, 0)
	if beforeAttempt > firstEvent {
		return fmt.Sprintf("The answer had begun in an attempt before, after %d ms.", firstEvent)
	}
	return fmt.Sprintf("%s ms had passed before the first attempt and %d ms before this one, which began after %d ms.",
		end.Fields["waited_ms"], beforeAttempt, firstEvent-beforeAttempt)
}

// intField returns the value of a field. A value that is missing or truncated counts as 0, so
// that the rest of the line can still be described.
func intField(l Line, field string) int64 {
	n, err := strconv.ParseInt(l.Fields[field], 10, 64)
	if err != nil {
		return 0
	}
	return n
}
