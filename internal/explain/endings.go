package explain

import (
	"fmt"

	"mimosastand.example/mimosastand/contract"
)

// describeEnd describes the end itself.
func describeEnd(end Line) []string {
	if end.Message == messageServed {
		return []string{fmt.Sprintf("It was served by %s within %s ms.", end.Fields["target"], end.Fields["ms"])}
	}
	if end.Message == messageLate {
		return describeLate(end)
	}
	switch contract.Reason(end.Fields["reason"]) {
	case "":
		return []string{fmt.Sprintf("It ended with status %s of target %s itself%s.",
			end.Fields["status"], end.Fields["target"], formatElapsed(" after", end.Fields["ms"]))}
	case contract.ReasonCallerGone:
		return describeCallerGone(end)
	case contract.ReasonTruncatedAnswer, contract.ReasonDeadline:
		return describeCut(end)
	default:
		return describeRefusal(end)
	}
}

// describeLate describes an answer that began later than its objective allows.
func describeLate(end Line) []string {
	sentences := []string{fmt.Sprintf("It was served late by %s through %s: the answer began after %s ms, %s ms were the objective.",
		end.Fields["target"], end.Machine, end.Fields["begun_ms"], end.Fields["objective_ms"])}
	return append(sentences, describeLastAttempt(end)...)
}

// describeCallerGone describes a request whose caller closed the connection, and how much of
// the answer the caller had received.
func describeCallerGone(end Line) []string {
	text := fmt.Sprintf("It ended with status %s after %s ms, because the caller closed the connection", end.Fields["status"], end.Fields["ms"])
	if events := end.Fields["events"]; events != "" {
		text += fmt.Sprintf("; it had %s parts of the answer, the last %s ms before, the longest pause was %s ms",
			events, end.Fields["quiet_ms"], end.Fields["pause_ms"])
	} else if objective := end.Fields["objective_ms"]; objective != "" {
		text += fmt.Sprintf("; nothing of the answer had come, %s ms were the objective", objective)
	}
	return append([]string{text + "."}, describeLastAttempt(end)...)
}

// describeCut describes a request whose answer is incomplete or whose deadline passed.
func describeCut(end Line) []string {
	reason := contract.Reason(end.Fields["reason"])
	var sentences []string
	if events := end.Fields["events"]; events != "" {
		sentences = append(sentences, fmt.Sprintf("%s cut the answer midway after %s ms and %s parts, because %s.", end.Machine, end.Fields["ms"], events, reason.Explain()))
	} else {
		sentences = append(sentences, fmt.Sprintf("It ended with status %s after %s ms, because %s.", end.Fields["status"], end.Fields["ms"], reason.Explain()))
	}
	sentences = append(sentences, describeLastAttempt(end)...)
	return append(sentences, describeTargets(end)...)
}

// describeRefusal describes a request that the entry refused.
func describeRefusal(end Line) []string {
	reason := contract.Reason(end.Fields["reason"])
	sentences := []string{fmt.Sprintf("It ended with status %s after %s ms, because %s.", end.Fields["status"], end.Fields["ms"], reason.Explain())}
	if after := end.Fields["after_ms"]; after != "" && after != "0" {
		sentences[0] += fmt.Sprintf(" The caller was told to come back in %s ms.", after)
	}
	if end.Fields["sent"] == "0" && reason.HTTPStatus() >= 500 {
		sentences = append(sentences, "It was never sent to a target, so it has not run.")
	}
	sentences = append(sentences, describeTargets(end)...)
	if end.Fields["limit"] != "" {
		sentences = append(sentences, describeLastAttempt(end)...)
	}
	return sentences
}

// formatElapsed returns prefix and a duration in milliseconds, or "" if there is none.
func formatElapsed(prefix, ms string) string {
	if ms == "" {
		return ""
	}
	return prefix + " " + ms + " ms"
}
