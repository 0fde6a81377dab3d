package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/admin/wire"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/settings/follow"
	"mimosastand.example/mimosastand/settings/record"
	"mimosastand.example/mimosastand/settings/schema"
)

// readBody decodes the JSON body of the call. It refuses the call and returns false if
// the body is too large, malformed, or has unknown fields.
func (s *Server) readBody(ctx iris.Context, into any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, maxBodyBytes))
	if err != nil {
		s.refuse(ctx, wire.Problem{
			Status: http.StatusRequestEntityTooLarge, Reason: string(contract.ReasonBodyTooLarge),
			Detail: "the body may have at most 1 MiB",
		})
		return false
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		s.badRequest(ctx, "body: "+err.Error())
		return false
	}
	return true
}

func (s *Server) postChange(ctx iris.Context) {
	var req wire.ChangeRequest
	if !s.readBody(ctx, &req) {
		return
	}
	changes := make([]settings.Change, 0, len(req.Changes))
	for _, a := range req.Changes {
		scope, err := settings.ParseScope(a.Scope)
		if err != nil {
			s.badRequest(ctx, "scope: "+err.Error())
			return
		}
		changes = append(changes, settings.Change{Scope: scope, Key: a.Key, Value: a.Value, Unset: a.Unset})
	}
	s.submit(ctx, wire.ActionRequest{ID: req.ID, Base: req.Base, Note: req.Note}, "", changes)
}

func (s *Server) postZone(ctx iris.Context) {
	var req wire.ActionRequest
	if !s.readBody(ctx, &req) {
		return
	}
	zone, action := contract.ZoneName(ctx.Params().Get("zone")), ctx.Params().Get("action")
	if action != "out" && action != "in" {
		s.refuse(ctx, wire.Problem{Status: http.StatusNotFound, Reason: wire.ReasonNotFound, Detail: "a zone can be taken out or in"})
		return
	}
	if s.opts.Follower.Tree().Tree().RegionOf(zone) == "" {
		s.refuseNotInSettings(ctx, "zone "+string(zone))
		return
	}
	value := "false"
	if action == "out" {
		value = "true"
	}
	s.submit(ctx, req, "", []settings.Change{{Scope: settings.Scope{Zone: zone}, Key: schema.Out, Value: value}})
}

// refuseNotInSettings refuses a call that names something which the settings do not have.
func (s *Server) refuseNotInSettings(ctx iris.Context, what string) {
	s.refuse(ctx, wire.Problem{Status: http.StatusNotFound, Reason: wire.ReasonNotFound, Detail: "the settings have no " + what})
}

func (s *Server) postDeploy(ctx iris.Context) {
	var req wire.DeployRequest
	if !s.readBody(ctx, &req) {
		return
	}
	scope, current, ok := s.deployment(ctx)
	if !ok {
		return
	}
	if !req.Weights.Valid() {
		f, _ := schema.Lookup(schema.Weights)
		s.refuseValues(ctx, []wire.Fault{{Scope: scope.String(), Key: schema.Weights, Value: string(req.Weights), Allowed: "must be " + f.Allowed()}})
		return
	}
	changes := []settings.Change{{Scope: scope, Key: schema.Weights, Value: string(req.Weights)}}
	if current != req.Weights {
		changes = append(changes, settings.Change{Scope: scope, Key: schema.Former, Value: string(current)})
	}
	if req.Adapters != nil {
		changes = append(changes, settings.Change{Scope: scope, Key: schema.Adapters, Value: strings.Join(req.Adapters, ",")})
	}
	intent := "deploy " + string(scope.Service) + " " + string(req.Weights)
	s.submit(ctx, req.ActionRequest, intent, changes)
}

func (s *Server) postRollback(ctx iris.Context) {
	var req wire.ActionRequest
	if !s.readBody(ctx, &req) {
		return
	}
	scope, current, ok := s.deployment(ctx)
	if !ok {
		return
	}
	former := s.opts.Follower.Tree().Tree().Effective(scope, schema.Former).Value
	if former == "" {
		s.refuse(ctx, wire.Problem{
			Status: http.StatusConflict, Reason: wire.ReasonNotFound,
			Detail: scope.String() + " has no former version",
		})
		return
	}
	s.submit(ctx, req, "rollback "+string(scope.Service), []settings.Change{
		{Scope: scope, Key: schema.Weights, Value: former},
		{Scope: scope, Key: schema.Former, Value: string(current)},
	})
}

// deployment returns the scope and the deployed version of the model service that the
// path names. It refuses the call and returns false if the settings have no such service.
func (s *Server) deployment(ctx iris.Context) (settings.Scope, contract.Digest, bool) {
	name := contract.ServiceName(ctx.Params().Get("service"))
	service, ok := s.opts.Follower.Current().Service("", "", name)
	if !ok || service.Kind != settings.KindModel {
		s.refuseNotInSettings(ctx, "model deployment "+string(name))
		return settings.Scope{}, "", false
	}
	return settings.Scope{Service: name}, service.Weights, true
}

// submit checks that the call's token may make the changes, appends them to the log as
// one change with the token as its author, and answers the call. intent describes the
// command if the changes are derived from the current settings; otherwise it is empty.
func (s *Server) submit(ctx iris.Context, req wire.ActionRequest, intent string, changes []settings.Change) {
	token := tokenOf(ctx)
	for _, c := range changes {
		if !token.mayChange(c) {
			s.forbid(ctx, "the token "+token.Name+" may not change "+string(c.Key)+" of ["+c.Scope.String()+"]")
			return
		}
	}
	if req.ID == "" || len(req.ID) > record.MaxIDBytes || len(changes) == 0 {
		s.badRequest(ctx, "a change needs an id of at most 128 bytes and at least one assignment")
		return
	}
	c := record.Change{
		ID: req.ID, Author: token.Name, Base: s.opts.Follower.Offset(), Changes: changes,
		UnixMilli: time.Now().UnixMilli(), Note: req.Note, Intent: intent,
	}
	if req.Base != nil {
		c.Base = *req.Base
	}
	submitCtx, cancel := context.WithTimeout(ctx.Request().Context(), submitTimeout)
	defer cancel()
	result, err := s.opts.Follower.Submit(submitCtx, c)
	if err != nil {
		s.refuse(ctx, problemOf(err))
		return
	}
	s.scope.Counter("changes").Inc(1)
	s.opts.Logger.Infof("change at offset %d by %s accepted: %d assignments", result.Offset, token.Name, len(changes))
	reply := wire.ChangeReply{Offset: result.Offset, Duplicate: result.Duplicate}
	if !result.Duplicate {
		reply.Changes = newAssignments(changes)
	}
	s.writeJSON(ctx, reply)
}

func (s *Server) refuseValues(ctx iris.Context, faults []wire.Fault) {
	s.refuse(ctx, wire.Problem{
		Status: http.StatusUnprocessableEntity, Reason: wire.ReasonRefusedValue,
		Detail: "nothing changed", Faults: faults,
	})
}

// notAcceptedDetail also states what operators can do without the log.
const notAcceptedDetail = "the log takes no appends: nothing changed; hosts can be drained without it: " +
	"stop their processes with SIGTERM, or mark the hosts as leaving in the host list"

// problemOf converts an error of Follower.Submit to problem details.
func problemOf(err error) wire.Problem {
	var invalid *follow.InvalidError
	var conflict *follow.ConflictError
	switch {
	case errors.As(err, &invalid):
		return wire.Problem{Status: http.StatusUnprocessableEntity, Reason: wire.ReasonRefusedValue, Detail: "nothing changed", Faults: faultsOf(invalid)}
	case errors.As(err, &conflict):
		return wire.Problem{Status: http.StatusConflict, Reason: wire.ReasonConflict, Detail: "nothing changed: " + conflict.Error(), Conflict: &wire.Conflict{
			Offset: conflict.With, Author: conflict.Author, ID: conflict.ID, Scope: conflict.Scope.String(), Key: conflict.Key,
		}}
	case errors.Is(err, follow.ErrBaseTooOld):
		return wire.Problem{Status: http.StatusConflict, Reason: wire.ReasonBaseTooOld, Detail: err.Error()}
	case errors.Is(err, follow.ErrIdentifierReused):
		return wire.Problem{Status: http.StatusConflict, Reason: wire.ReasonIdentifierReused, Detail: err.Error()}
	case errors.Is(err, record.ErrMalformed):
		return wire.Problem{Status: http.StatusBadRequest, Reason: string(contract.ReasonBadRequest), Detail: err.Error()}
	case errors.Is(err, follow.ErrNotReady):
		return wire.Problem{Status: http.StatusServiceUnavailable, Reason: wire.ReasonNotAccepted, Detail: "this entry host has not caught up with the settings: nothing changed"}
	case errors.Is(err, follow.ErrNotAccepted):
		return wire.Problem{Status: http.StatusServiceUnavailable, Reason: wire.ReasonNotAccepted, Detail: notAcceptedDetail}
	default:
		return wire.Problem{
			Status: http.StatusServiceUnavailable, Reason: wire.ReasonResultUnknown, Outcome: contract.OutcomeUnknown.String(),
			Detail: "it is not known whether the change was accepted; send it again with the same id",
		}
	}
}

func faultsOf(e *follow.InvalidError) []wire.Fault {
	list := make([]wire.Fault, len(e.Faults))
	for i, f := range e.Faults {
		list[i] = wire.Fault{Scope: f.Scope.String(), Key: f.Key, Value: f.Value, Allowed: f.Allowed}
	}
	return list
}
