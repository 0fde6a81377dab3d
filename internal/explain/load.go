package explain

import "fmt"

// Messages from which the load that an answer relied on is described.
const (
	messageEngine  = "engine changed"
	messageProved  = "loaded weights proved"
	messageUnsound = "loaded weights are not sound; the engine gets no requests"
)

// describeLoad describes the load of weights that the last attempt relied on, as the process beside the
// engine has logged it: which order of which start of the engine, and whether it was proved sound.
func (r requestLog) describeLoad(end Line) []string {
	born := end.Fields["born"]
	if born == "" || born == "0" || end.Fields["version"] == "0" {
		return nil
	}
	engine, ok := lastOf(r.all, end.Time, func(l Line) bool { return isOfEngine(l, born, end.Fields["address"]) })
	if !ok {
		return nil
	}
	orders := engine.Fields["orders"]
	isOfLoad := func(l Line, message string) bool {
		return hasMessage(l, message) && l.Machine == engine.Machine && l.Fields["born"] == born && l.Fields["orders"] == orders
	}
	load := fmt.Sprintf("after %s orders since its start %s", orders, born)
	sentences := []string{fmt.Sprintf("%s had taken over version %s of that engine, %s, without a proof.",
		engine.Machine, engine.Fields["version"], load)}
	if proof, ok := lastOf(r.all, end.Time, func(l Line) bool { return isOfLoad(l, messageProved) }); ok {
		sentences[0] = fmt.Sprintf("%s had proved %s of that engine, %s, %d ms before (digests %s).",
			proof.Machine, proof.Fields["version"], load, end.Time.Sub(proof.Time).Milliseconds(), proof.Fields["digests"])
	} else if engine.Fields["proved"] != "true" {
		sentences[0] = fmt.Sprintf("%s had not proved the weights of that engine, %s, by then.", engine.Machine, load)
	}
	return append(sentences, describeUnsound(end, filter(r.all, func(l Line) bool { return isOfLoad(l, messageUnsound) }))...)
}

// isOfEngine reports whether a line shows a state of the engine at an address that started at born. Lines
// of older builds do not have the address.
func isOfEngine(l Line, born, address string) bool {
	logged := l.Fields["address"]
	return hasMessage(l, messageEngine) && l.Fields["born"] == born && (logged == "" || address == "" || logged == address)
}

// describeUnsound describes the first line by which a load was found unsound, if there is one.
func describeUnsound(end Line, lines []Line) []string {
	if len(lines) == 0 {
		return nil
	}
	l, when := lines[0], "after"
	if l.Time.Before(end.Time) {
		when = "before"
	}
	return []string{fmt.Sprintf("%s found them unsound %d ms %s the request's end: %s.",
		l.Machine, end.Time.Sub(l.Time).Abs().Milliseconds(), when, l.Fields["error"])}
}
