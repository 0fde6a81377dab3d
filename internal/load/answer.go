package load

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
)

// answerChecker checks one streamed answer.
type answerChecker struct {
	call          ModelCall
	expectedToken TokenFunc
	start         time.Time
	lastTokenAt   time.Time
	tokens        []string
	result        Result
}

// read reads and checks the stream to its end.
func (a *answerChecker) read(body io.Reader) Result {
	events := newEventReader(body)
	for {
		e, err := events.next()
		if err != nil {
			return a.truncated(err)
		}
		switch e.name {
		case "token":
			if problem := a.addToken(e.data); problem != "" {
				return a.wrong(problem)
			}
		case "end":
			return a.checkEnd(e.data)
		case "error":
			return a.endedByError(e.data)
		default:
			return a.wrong("unknown event " + e.name)
		}
	}
}

// truncated returns the result of a stream that broke off with err.
func (a *answerChecker) truncated(err error) Result {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return Result{Class: Truncated, Detail: fmt.Sprintf("after %d tokens: %v", len(a.tokens), err)}
}

// wrong returns the result of an answer that is not the expected one.
func (a *answerChecker) wrong(detail string) Result {
	return Result{Class: Wrong, Detail: detail}
}

// addToken records a token event. It returns what is wrong with the event, or "".
func (a *answerChecker) addToken(data string) string {
	var token struct {
		At   uint64 `json:"at"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal([]byte(data), &token); err != nil {
		return err.Error()
	}
	if token.At != uint64(len(a.tokens)) {
		return fmt.Sprintf("got token %d, want token %d", token.At, len(a.tokens))
	}
	now := time.Now()
	if len(a.tokens) == 0 {
		a.result.TimeToFirstToken = now.Sub(a.start)
	} else {
		a.result.MaxTokenGap = max(a.result.MaxTokenGap, now.Sub(a.lastTokenAt))
	}
	a.lastTokenAt = now
	a.tokens = append(a.tokens, token.Text)
	return ""
}

// checkEnd checks the tokens against the end event, which has their number and the digest of
// the version that they come from.
func (a *answerChecker) checkEnd(data string) Result {
	var end struct {
		Tokens uint64          `json:"tokens"`
		Digest contract.Digest `json:"digest"`
	}
	if err := json.Unmarshal([]byte(data), &end); err != nil {
		return a.wrong(err.Error())
	}
	if end.Tokens != uint64(len(a.tokens)) || end.Tokens != a.call.MaxTokens {
		return a.wrong(fmt.Sprintf("got %d tokens, end event reports %d, requested %d", len(a.tokens), end.Tokens, a.call.MaxTokens))
	}
	for i, text := range a.tokens {
		if want := a.expectedToken(a.call.Prompt, end.Digest, uint64(i)); text != want {
			return a.wrong(fmt.Sprintf("token %d is %q, want %q", i, text, want))
		}
	}
	a.result.Class = Complete
	a.result.Status = http.StatusOK
	a.result.Digest = end.Digest
	return a.result
}

// endedByError returns the result of a stream that ends with an error event.
func (a *answerChecker) endedByError(data string) Result {
	var problem struct {
		Outcome string          `json:"outcome"`
		Reason  contract.Reason `json:"reason"`
	}
	if err := json.Unmarshal([]byte(data), &problem); err != nil {
		return a.wrong(err.Error())
	}
	return Result{Class: EndedByError, Outcome: problem.Outcome, Reason: problem.Reason, Detail: data}
}
