package soak

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"

	standins "mimosastand.example/mimosastand/standin/fleet"
)

// silenceDuration is how long a silent engine sends nothing.
const silenceDuration = time.Second

// framings are the variants of UnframedAnswers.
var framings = []standins.Framing{standins.UnframedAnswers, standins.UnframedAnswersCut}

// variantCount returns how many variants the fault has; 0 if it has none.
func (f Fault) variantCount() int {
	switch f {
	case UnframedAnswers:
		return len(framings)
	case EndlessAnswers:
		return int(standins.EndlessKindCount - standins.EndlessHead)
	case CrashPart:
		return firstPartCount
	case CrashRequest:
		return int(kindCount)
	default:
		return 0
	}
}

// injectAnswerFault has a back end limit its rate or spoil its answers until the returned
// function is called.
func (i *injector) injectAnswerFault(e Event, engine *standins.Engine) func() {
	switch e.Fault {
	case UnframedAnswers:
		engine.SetFraming(framings[e.Variant])
		return func() { engine.SetFraming(standins.FramedAnswers) }
	case EndlessAnswers:
		engine.SetEndless(standins.EndlessHead + standins.EndlessKind(e.Variant))
		return func() { engine.SetEndless(standins.EndlessNone) }
	case TurnAway:
		return i.turnAway(engine)
	case SayLeaving:
		return i.sayLeaving(engine)
	default:
		return i.limitRate(engine)
	}
}

// isCutWithoutCause reports whether a stream was cut off although no fault that can cut
// streams was active within stableWindow.
func (t *Traffic) isCutWithoutCause(a Answer) bool {
	return a.Kind == Chat && a.Status != 0 && a.Err != nil && t.unplannedFaults.NoneWithin(a.End, stableWindow+a.End.Sub(a.Start))
}

// readBounded reads a body. It fails if the body is longer than any whole answer.
func readBounded(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes+1))
	if err == nil && len(data) > maxAnswerBytes {
		return data[:maxAnswerBytes], errors.Newf("soak: answer longer than %d bytes", maxAnswerBytes)
	}
	return data, err
}
