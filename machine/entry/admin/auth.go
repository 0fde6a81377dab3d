package admin

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/kataras/iris/v12"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/metrics"
	"mimosastand.example/mimosastand/machine/entry/admin/wire"
)

const (
	headerRequest     = "X-Request-Id"
	keyRequest        = "request"
	keyToken          = "token"
	requestBytes      = 8
	retryAfterSeconds = "5"
)

// identify gives the call its identifier.
func (s *Server) identify(ctx iris.Context) {
	var raw [requestBytes]byte
	_, _ = rand.Read(raw[:]) // never fails
	id := "admin-" + hex.EncodeToString(raw[:])
	ctx.Values().Set(keyRequest, id)
	ctx.Header(headerRequest, id)
	ctx.Next()
}

// allow passes calls whose token has at least a role.
func (s *Server) allow(role Role) iris.Handler {
	return func(ctx iris.Context) {
		secret, ok := strings.CutPrefix(ctx.GetHeader("Authorization"), "Bearer ")
		token, known := s.opts.Tokens.find(strings.TrimSpace(secret), time.Now())
		if !ok || !known {
			ctx.Header("WWW-Authenticate", "Bearer")
			s.refuse(ctx, wire.Problem{
				Status: http.StatusUnauthorized, Reason: string(contract.ReasonUnauthorized),
				Detail: "a valid bearer token is needed",
			})
			return
		}
		if token.Role < role {
			s.forbid(ctx, "the token "+token.Name+" may only read")
			return
		}
		ctx.Values().Set(keyToken, token)
		ctx.Next()
	}
}

func tokenOf(ctx iris.Context) Token {
	token, _ := ctx.Values().Get(keyToken).(Token)
	return token
}

func (s *Server) forbid(ctx iris.Context, detail string) {
	s.refuse(ctx, wire.Problem{Status: http.StatusForbidden, Reason: wire.ReasonForbidden, Detail: detail})
}

// refuse ends the call with problem details. The outcome is "not run" unless
// the problem says otherwise.
func (s *Server) refuse(ctx iris.Context, p wire.Problem) {
	metrics.CountRefusal(s.scope, contract.Reason(p.Reason))
	p.Type = "about:blank"
	p.Title = http.StatusText(p.Status)
	p.Request = ctx.Values().GetString(keyRequest)
	if p.Outcome == "" {
		p.Outcome = contract.OutcomeNotRun.String()
	}
	s.opts.Logger.Infof("%s %s refused: %s (%s)", ctx.Method(), ctx.Path(), p.Reason, p.Request)
	if p.Status == http.StatusServiceUnavailable {
		ctx.Header("Retry-After", retryAfterSeconds)
	}
	ctx.StopExecution()
	ctx.StatusCode(p.Status)
	ctx.ContentType("application/problem+json")
	body, err := json.Marshal(p)
	if err == nil {
		_, _ = ctx.Write(body) // the caller may be gone
	}
}

// notFound turns errors of the router into problem details.
func (s *Server) notFound(ctx iris.Context) {
	if ctx.Values().Get(keyRequest) == nil || ctx.IsStopped() {
		return
	}
	s.refuse(ctx, wire.Problem{
		Status: ctx.GetStatusCode(), Reason: wire.ReasonNotFound,
		Detail: ctx.Method() + " " + ctx.Path() + " is no call of this API",
	})
}
