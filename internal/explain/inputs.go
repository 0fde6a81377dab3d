package explain

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
)

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

// number is a field's value. One that is missing or cut off counts as 0, so that the rest of
// the line can still be told.
func number(l Line, field string) int64 {
	n, err := strconv.ParseInt(l.Fields[field], 10, 64)
	if err != nil {
		return 0
	}
	return n
}
