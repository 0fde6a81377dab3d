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

// answer checks one streamed answer.
type answer struct {
	model  ModelCall
	token  TokenFunc
	start  time.Time
	last   time.Time
	tokens []string
	result Result
}

// read consumes the stream to its end.
func (a *answer) read(body io.Reader) Result {
	events := newEventReader(body)
	for {
		e, err := events.next()
		if err != nil {
			return a.cut(err)
		}
		switch e.name {
		case "token":
			if problem := a.addToken(e.data); problem != "" {
				return a.wrong(problem)
			}
		case "end":
			return a.end(e.data)
		case "error":
			return a.failed(e.data)
		default:
			return a.wrong("unknown event " + e.name)
		}
	}
}

func (a *answer) cut(err error) Result {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return Result{Class: Truncated, Detail: fmt.Sprintf("after %d tokens: %v", len(a.tokens), err)}
}

func (a *answer) wrong(detail string) Result {
	return Result{Class: Wrong, Detail: detail}
}

// addToken returns what is wrong with a token event, or "".
func (a *answer) addToken(data string) string {
	var token struct {
		At   uint64 `json:"at"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal([]byte(data), &token); err != nil {
		return err.Error()
	}
	if token.At != uint64(len(a.tokens)) {
		return fmt.Sprintf("token %d, want %d", token.At, len(a.tokens))
	}
	now := time.Now()
	if len(a.tokens) == 0 {
		a.result.TimeToFirstToken = now.Sub(a.start)
	} else {
		a.result.MaxTokenGap = max(a.result.MaxTokenGap, now.Sub(a.last))
	}
	a.last = now
	a.tokens = append(a.tokens, token.Text)
	return ""
}

func (a *answer) end(data string) Result {
	var end struct {
		Tokens uint64          `json:"tokens"`
		Digest contract.Digest `json:"digest"`
	}
	if err := json.Unmarshal([]byte(data), &end); err != nil {
		return a.wrong(err.Error())
	}
	if end.Tokens != uint64(len(a.tokens)) || end.Tokens != a.model.MaxTokens {
		return a.wrong(fmt.Sprintf("%d tokens, the end says %d, asked for %d", len(a.tokens), end.Tokens, a.model.MaxTokens))
	}
	for i, text := range a.tokens {
		if want := a.token(a.model.Prompt, end.Digest, uint64(i)); text != want {
			return a.wrong(fmt.Sprintf("token %d is %q, want %q", i, text, want))
		}
	}
	a.result.Class = Complete
	a.result.Status = http.StatusOK
	a.result.Digest = end.Digest
	return a.result
}

func (a *answer) failed(data string) Result {
	var problem struct {
		Outcome string          `json:"outcome"`
		Reason  contract.Reason `json:"reason"`
	}
	if err := json.Unmarshal([]byte(data), &problem); err != nil {
		return a.wrong(err.Error())
	}
	return Result{Class: EndedByError, Outcome: problem.Outcome, Reason: problem.Reason, Detail: data}
}
