package explain

import (
	"fmt"

	"mimosastand.example/mimosastand/contract"
)

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
	case contract.ReasonTruncatedAnswer, contract.ReasonDeadline:
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

func timed(prefix, ms string) string {
	if ms == "" {
		return ""
	}
	return prefix + " " + ms + " ms"
}
