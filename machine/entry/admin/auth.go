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
	headerRequestID = "X-Request-Id"
	// contextKeyRequestID and contextKeyToken are keys of the values that a call's context
	// holds.
	contextKeyRequestID = "request"
	contextKeyToken     = "token"
	requestIDBytes      = 8
	retryAfterSeconds   = "5"
)

// assignRequestID assigns a random identifier to the call and sends it back in a header.
func (s *Server) assignRequestID(ctx iris.Context) {
	var raw [requestIDBytes]byte
	_, _ = rand.Read(raw[:]) // never fails
	id := "admin-" + hex.EncodeToString(raw[:])
	ctx.Values().Set(contextKeyRequestID, id)
	ctx.Header(headerRequestID, id)
	ctx.Next()
}

// requireRole returns a handler that passes on only calls whose token has at least the
// given role.
func (s *Server) requireRole(role Role) iris.Handler {
	return func(ctx iris.Context) {
		secret, ok := strings.CutPrefix(ctx.GetHeader("Authorization"), "Bearer ")
		token, known := s.opts.Tokens.findValid(strings.TrimSpace(secret), time.Now())
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
		ctx.Values().Set(contextKeyToken, token)
		ctx.Next()
	}
}

// tokenOf returns the token that requireRole accepted.
func tokenOf(ctx iris.Context) Token {
	token, _ := ctx.Values().Get(contextKeyToken).(Token)
	return token
}

func (s *Server) forbid(ctx iris.Context, detail string) {
	s.refuse(ctx, wire.Problem{Status: http.StatusForbidden, Reason: wire.ReasonForbidden, Detail: detail})
}

// refuse ends the call with problem details. The outcome is "not run" unless the problem
// states another one.
func (s *Server) refuse(ctx iris.Context, p wire.Problem) {
	metrics.CountRefusal(s.scope, contract.Reason(p.Reason))
	p.Type = "about:blank"
	p.Title = http.StatusText(p.Status)
	p.Request = ctx.Values().GetString(contextKeyRequestID)
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

// handleRouterError answers errors of the router, such as an unknown path, with problem
// details.
func (s *Server) handleRouterError(ctx iris.Context) {
	if ctx.Values().Get(contextKeyRequestID) == nil || ctx.IsStopped() {
		return
	}
	s.refuse(ctx, wire.Problem{
		Status: ctx.GetStatusCode(), Reason: wire.ReasonNotFound,
		Detail: ctx.Method() + " " + ctx.Path() + " is no call of this API",
	})
}
