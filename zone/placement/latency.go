package placement

import (
	"time"

	"mimosastand.example/mimosastand/zone/catalog"
)

// LatencyModel predicts the response times of a target from the declaration of its
// service.
type LatencyModel struct {
	slots int
	// passTime is the time of one pass with all slots in use and no prompt being read.
	// prefillTime is the time to read a prompt of the usual size.
	passTime, prefillTime time.Duration
	// interval is the time between two request completions at full load.
	interval time.Duration
}

const (
	// plainServiceTime is the assumed request duration of a target whose service
	// declares no step times, plainSlots its usual number of slots.
	plainSlots       = 6
	plainServiceTime = 20 * time.Millisecond
	// maxPrefillShare bounds the share of a pass that is spent on reading prompts.
	maxPrefillShare = 0.8
	// meanContextShare is the share of the answer that is part of the context on
	// average over a request. The prompt is part of it throughout.
	meanContextShare = 0.5
)

// NewLatencyModel returns the model of a service whose targets run slots requests at
// once. For a model engine with declared step times, the declared slots are used
// instead.
func NewLatencyModel(s *catalog.Service, slots int) LatencyModel {
	if s == nil || s.Engine == nil || s.Engine.PrefillRate <= 0 {
		slots = max(slots, 1)
		return LatencyModel{slots: slots, passTime: plainServiceTime, interval: plainServiceTime / time.Duration(slots)}
	}
	e := s.Engine
	return newEngineModel(e, e.PromptTokens, e.AnswerTokens, e.PromptTokens/e.PrefillRate*float64(time.Second))
}

// newEngineModel returns the model of an engine whose requests have prompts and answers of so many
// tokens each. prefillTime is the time to read such a prompt, in nanoseconds.
func newEngineModel(e *catalog.Engine, prompt, answer, prefillTime float64) LatencyModel {
	slots := max(e.Slots, 1)
	context := (prompt + answer*meanContextShare) / 1000
	step := float64(e.StepTime) + float64(slots)*(float64(e.PerRequest)+float64(e.PerContext)*context)
	return LatencyModel{
		slots:       slots,
		passTime:    time.Duration(step * float64(e.Stride)),
		prefillTime: time.Duration(prefillTime),
		interval:    time.Duration(prefillTime + step*answer/float64(slots)),
	}
}

// CompletionInterval returns the time between two request completions at a full target.
func (m LatencyModel) CompletionInterval() time.Duration { return m.interval }

// RequestDuration returns how long a request takes at a full target.
func (m LatencyModel) RequestDuration() time.Duration { return m.interval * time.Duration(m.slots) }

// FirstEventDelay predicts the time to the first event of an attempt that finds load
// requests at the target, running or waiting. It is the sum of the rest of the current
// pass (half a pass on average), one full pass, and the time to read the prompt. If all
// slots are in use, the time until one becomes free is added.
func (m LatencyModel) FirstEventDelay(load float64) time.Duration {
	return m.firstEventDelay(load, m.prefillTime)
}

// firstEventDelay is FirstEventDelay of an attempt whose prompt takes promptTime to read.
func (m LatencyModel) firstEventDelay(load float64, promptTime time.Duration) time.Duration {
	delay := m.passTimeAt(load)*3/2 + promptTime
	if excess := load - float64(m.slots) + 1; excess > 0 {
		delay += time.Duration(excess * float64(m.interval))
	}
	return delay
}

// passTimeAt returns the time of a pass at a load. Prompts of new requests are read
// between the steps, so that a pass takes longer the more requests start and end.
func (m LatencyModel) passTimeAt(load float64) time.Duration {
	busy := min(load/float64(m.slots), 1)
	prefillShare := busy * float64(m.prefillTime) / float64(m.interval)
	return time.Duration(float64(m.passTime) / (1 - min(prefillShare, maxPrefillShare)))
}
