package placement

import (
	"math"
	"time"

	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/roster"
)

// requestSize is the size of a request in tokens.
type requestSize struct{ prompt, answer float64 }

// engine returns the declaration of the service's engines; nil if it has none or declares no times.
func (p *Pool) engine() *catalog.Engine {
	if p.service == nil || p.service.Engine == nil || p.service.Engine.PrefillRate <= 0 {
		return nil
	}
	return p.service.Engine
}

// sizeOf returns the size of a request: the usual one where the request's own is unknown. An answer is not
// larger than what an engine writes until the caller's deadline.
func (p *Pool) sizeOf(req Requirements) requestSize {
	e := p.engine()
	if e == nil {
		return requestSize{}
	}
	size := requestSize{knownOr(req.PromptTokens, e.PromptTokens), knownOr(req.AnswerTokens, e.AnswerTokens)}
	if req.Remaining > 0 && e.StepTime > 0 {
		size.answer = min(size.answer, float64(req.Remaining)/float64(e.StepTime))
	}
	return size
}

// knownOr returns a number of tokens, or usual if it is not positive and finite.
func knownOr(tokens, usual float64) float64 {
	if !(tokens > 0) || math.IsInf(tokens, 0) {
		return usual
	}
	return min(tokens, maxTokens)
}

const (
	// pairUnit is the number of pairs of tokens that catalog.Engine.PairTime is declared for.
	pairUnit = 1e6
	// maxTokens bounds the size of a request that is counted.
	maxTokens = 1e9
	// maxPromptTime bounds the time to read one prompt that is counted. A caller that declares a false size
	// makes its entry avoid a target for so long at most.
	maxPromptTime = 2 * time.Second
	// idleShare is the largest share of the limit of a request that its delay at an idle target takes up.
	idleShare = 0.75
)

// sizedLimit returns the limit of a request whose first event is due within limit. That of a prompt that takes
// longer to read than the usual one is extended by the difference at most, if its first event is late even at an
// idle target, or nearly so: such requests would never be placed otherwise.
func (p *Pool) sizedLimit(now time.Time, limit time.Duration, req Requirements) time.Duration {
	if p.engine() == nil || !p.isSizeAware(now) || req.isSpare {
		return limit
	}
	model := NewLatencyModel(p.service, 0)
	promptTime := p.promptTime(now, req)
	extra := max(promptTime-model.prefillTime, 0)
	needed := time.Duration(float64(model.firstEventDelay(0, promptTime)) / idleShare)
	longest := limit + extra
	if req.Remaining > 0 {
		longest = min(longest, req.Remaining)
	}
	return max(limit, min(needed, longest))
}

// promptTime returns the time to read the prompt of a request: that of the usual size unless sizes count.
func (p *Pool) promptTime(now time.Time, req Requirements) time.Duration {
	if e := p.engine(); e != nil && p.isSizeAware(now) {
		return time.Duration(readTime(e, p.sizeOf(req).prompt))
	}
	return p.prefillTime()
}

// readTime returns the time in nanoseconds to read a prompt. A prompt of more than one chunk waits for a
// step between two chunks.
func readTime(e *catalog.Engine, tokens float64) float64 {
	t := tokens / e.PrefillRate * float64(time.Second)
	t += tokens * max(tokens-1, 0) / 2 / pairUnit * float64(e.PairTime)
	if e.PrefillChunk > 0 && tokens > 0 {
		t += (math.Ceil(tokens/e.PrefillChunk) - 1) * float64(e.StepTime)
	}
	return min(t, float64(maxPromptTime))
}

// predictSized is predictDelay on services on which the sizes of requests count. unread is the time that the
// target still needs for prompts that were sent before.
func (p *Pool) predictSized(now time.Time, m *roster.Member, load float64, unread time.Duration, req Requirements) time.Duration {
	model := p.modelAt(m, load)
	promptTime := model.prefillTime
	if p.engine() != nil {
		promptTime = p.promptTime(now, req)
	}
	delay := model.firstEventDelay(load, promptTime) + unread
	if pace := p.paceOf(now, m.ID); pace > 0 {
		delay = time.Duration(float64(delay) * pace / usualPace)
	}
	return max(delay+p.correction.valueAt(now), 0)
}

// modelAt returns the model of a target at which load requests run or wait. Those of this entry have the
// sizes that it knows, the others the usual one.
func (p *Pool) modelAt(m *roster.Member, load float64) LatencyModel {
	e := p.engine()
	if e == nil {
		return NewLatencyModel(p.service, m.Slots)
	}
	total := p.tokensAt(p.loadOf(m.ID), load)
	n := max(load, float64(p.loadOf(m.ID).ownInFlight))
	if n <= 0 {
		total, n = requestSize{e.PromptTokens, e.AnswerTokens}, 1
	}
	prompt := min(total.prompt/n, e.PrefillRate*maxPromptTime.Seconds())
	return newEngineModel(e, prompt, total.answer/n, readTime(e, prompt))
}

// tokensAt returns the sum of the sizes of the load requests at a target.
func (p *Pool) tokensAt(l *targetLoad, load float64) requestSize {
	usual := p.sizeOf(Requirements{})
	others := max(load-float64(l.ownInFlight), 0)
	return requestSize{l.ownPrompt + others*usual.prompt, l.ownAnswer + others*usual.answer}
}

// fitsMemory reports whether a request fits into the memory of a target in addition to the load requests
// there. It always does if sizes do not count or no memory is declared.
func (p *Pool) fitsMemory(now time.Time, l *targetLoad, load float64, req Requirements) bool {
	e := p.engine()
	if e == nil || e.MemoryTokens <= 0 || !p.isSizeAware(now) {
		return true
	}
	there, size := p.tokensAt(l, load), p.sizeOf(req)
	return there.prompt+there.answer+size.prompt+size.answer <= e.MemoryTokens
}

// addOwn counts an attempt of this entry.
func (l *targetLoad) addOwn(size requestSize) {
	l.ownInFlight++
	l.ownPrompt += size.prompt
	l.ownAnswer += size.answer
}

// removeOwn counts the end of an attempt of this entry. Its size counts as the mean of those in flight.
func (l *targetLoad) removeOwn() {
	if l.ownInFlight <= 1 {
		l.ownInFlight, l.ownPrompt, l.ownAnswer = 0, 0, 0
		return
	}
	left := float64(l.ownInFlight-1) / float64(l.ownInFlight)
	l.ownInFlight--
	l.ownPrompt *= left
	l.ownAnswer *= left
}
