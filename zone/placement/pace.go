package placement

import (
	"time"

	"mimosastand.example/mimosastand/zone/catalog"
)

// Pace predicts the times of a target from what its service declares.
type LatencyModel struct {
	slots int
	// pass is the time of one pass at full slots without any reading, read that
	// of reading a usual prompt.
	pass, read time.Duration
	// between is the time between two ends of requests at full load.
	between time.Duration
}

// Figures of services that declare no step times.
const (
	plainSlots = 6
	plainWork  = 20 * time.Millisecond
	// maxReading bounds the part of a pass that reading takes.
	maxReading = 0.8
	// meanContext is the part of prompt and answer that is context on average.
	meanContext = 0.5
)

// PaceOf returns the pace of a service whose targets run slots requests at once.
func NewLatencyModel(s *catalog.Service, slots int) LatencyModel {
	if s == nil || s.Engine == nil || s.Engine.PrefillRate <= 0 {
		slots = max(slots, 1)
		return LatencyModel{slots: slots, pass: plainWork, between: plainWork / time.Duration(slots)}
	}
	e := s.Engine
	slots = max(e.Slots, 1)
	context := (e.PromptTokens + e.AnswerTokens*meanContext) / 1000
	step := float64(e.StepTime) + float64(slots)*(float64(e.PerRequest)+float64(e.PerContext)*context)
	read := e.PromptTokens / e.PrefillRate * float64(time.Second)
	return LatencyModel{
		slots:   slots,
		pass:    time.Duration(step * float64(e.Stride)),
		read:    time.Duration(read),
		between: time.Duration(read + step*e.AnswerTokens/float64(slots)),
	}
}

// Between is the time between two ends of requests at a full target.
func (p LatencyModel) CompletionInterval() time.Duration { return p.between }

// Duration is how long a request takes at a full target.
func (p LatencyModel) RequestDuration() time.Duration { return p.between * time.Duration(p.slots) }

// First predicts the time to the first event of an attempt that finds load
// requests at the target, running or waiting: the rest of the pass under way, a
// pass, and the reading of the prompt.
func (p LatencyModel) FirstEventDelay(load float64) time.Duration {
	first := p.passAt(load)*3/2 + p.read
	if over := load - float64(p.slots) + 1; over > 0 {
		first += time.Duration(over * float64(p.between))
	}
	return first
}

// passAt is the time of a pass at a load: prompts of new requests are read between
// the steps, the more of them the more requests end.
func (p LatencyModel) passAt(load float64) time.Duration {
	busy := min(load/float64(p.slots), 1)
	reading := busy * float64(p.read) / float64(p.between)
	return time.Duration(float64(p.pass) / (1 - min(reading, maxReading)))
}
