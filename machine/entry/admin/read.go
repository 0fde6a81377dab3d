package admin

import (
	"context"
	"net/http"
	"strconv"

	"github.com/kataras/iris/v12"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/durable"
	"mimosastand.example/mimosastand/machine/entry/admin/wire"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/settings/follow/spread"
	"mimosastand.example/mimosastand/settings/record"
	"mimosastand.example/mimosastand/settings/schema"
)

const (
	// originSchema is the origin of built-in defaults.
	originSchema        = "schema"
	defaultHistoryLimit = 100
	maxHistoryLimit     = 2048
)

func (s *Server) writeJSON(ctx iris.Context, body any) {
	_ = ctx.JSON(body)
}

func (s *Server) getTree(ctx iris.Context) {
	view := s.opts.Follower.Tree()
	reply := wire.Tree{Offset: view.Offset(), Values: []wire.Value{}}
	for _, c := range view.Tree().Changes() {
		reply.Values = append(reply.Values, wire.Value{Scope: c.Scope.String(), Key: c.Key, Value: c.Value})
	}
	s.writeJSON(ctx, reply)
}

func (s *Server) getEffective(ctx iris.Context) {
	scope, err := settings.ParseScope(ctx.URLParamDefault("scope", "defaults"))
	if err != nil {
		s.badRequest(ctx, "scope: "+err.Error())
		return
	}
	requestedKey := settings.Key(ctx.URLParam("key"))
	if _, known := schema.Lookup(requestedKey); requestedKey != "" && !known {
		s.badRequest(ctx, "key: unknown key "+string(requestedKey))
		return
	}
	view := s.opts.Follower.Tree()
	reply := wire.Effective{Offset: view.Offset(), Scope: scope.String(), Values: []wire.EffectiveValue{}}
	for _, f := range schema.Fields() {
		if requestedKey == "" || requestedKey == f.Key {
			e := view.Tree().Effective(scope, f.Key)
			reply.Values = append(reply.Values, newEffectiveValue(f, e.Value, e.Origin, e.BuiltIn, e.Offset))
		}
	}
	s.writeJSON(ctx, reply)
}

func newEffectiveValue(f schema.Field, value string, origin settings.Scope, builtIn bool, offset contract.Offset) wire.EffectiveValue {
	v := wire.EffectiveValue{Key: f.Key, Value: value, Origin: originSchema, Unit: f.Unit, Allowed: f.Allowed()}
	if !builtIn {
		v.Origin, v.Offset = origin.String(), offset
	}
	return v
}

func (s *Server) getSchema(ctx iris.Context) {
	fields := []wire.Field{}
	for _, f := range schema.Fields() {
		fields = append(fields, wire.Field{
			Key: f.Key, Unit: f.Unit, Allowed: f.Allowed(), Default: f.Default, Place: f.Place.String(), Doc: f.Doc,
		})
	}
	s.writeJSON(ctx, fields)
}

// getHistory answers with recent changes, from memory and, as far as memory no longer
// holds them, from the log.
func (s *Server) getHistory(ctx iris.Context) {
	after, err := strconv.ParseUint(ctx.URLParamDefault("after", "0"), 10, 63)
	if err != nil {
		s.badRequest(ctx, "after: must be an offset")
		return
	}
	limit, err := strconv.Atoi(ctx.URLParamDefault("limit", strconv.Itoa(defaultHistoryLimit)))
	if err != nil || limit < 1 || limit > maxHistoryLimit {
		s.badRequest(ctx, "limit: must be a whole number from 1 to 2048")
		return
	}
	s.writeJSON(ctx, s.history(ctx.Request().Context(), contract.Offset(after), limit))
}

// history returns at most limit entries. If after is 0 they are the newest ones,
// otherwise the oldest of those after that offset.
func (s *Server) history(ctx context.Context, after contract.Offset, limit int) wire.History {
	entries := s.opts.Follower.History(after)
	reply := wire.History{Entries: []wire.HistoryEntry{}, Oldest: s.opts.Follower.Tree().Offset() + 1}
	if len(entries) > 0 {
		reply.Oldest = entries[0].Record.Offset
	}
	if after+1 < reply.Oldest {
		older := s.readLogEntries(ctx, after, reply.Oldest)
		entries = append(older, entries...)
		if len(older) > 0 {
			reply.Oldest = older[0].Record.Offset
		}
	}
	for _, e := range entries {
		if entry, ok := newHistoryEntry(e); ok {
			reply.Entries = append(reply.Entries, entry)
		}
	}
	if n := len(reply.Entries) - limit; n > 0 && after == 0 {
		reply.Entries = reply.Entries[n:]
	} else if n > 0 {
		reply.Entries = reply.Entries[:limit]
	}
	return reply
}

// readLogEntries reads the records between two offsets, both excluded, from the log. It
// stops at the first failed or empty read, or once it has maxHistoryLimit records, and
// returns the records read until then.
func (s *Server) readLogEntries(ctx context.Context, after, before contract.Offset) []spread.Entry {
	var list []spread.Entry
	for after+1 < before && len(list) < maxHistoryLimit {
		batch, err := s.opts.Follower.Log().Read(ctx, record.Stream, after, 0)
		if err != nil || len(batch.Records) == 0 {
			return list
		}
		for _, r := range batch.Records {
			if r.Offset < before {
				list = append(list, spread.Entry{Record: durable.Record{Offset: r.Offset, Time: r.Time, Data: r.Data}})
			}
			after = r.Offset
		}
	}
	return list
}

// newHistoryEntry converts a record to an entry of the history. It returns false if the
// record is malformed or not a change.
func newHistoryEntry(e spread.Entry) (wire.HistoryEntry, bool) {
	r, err := record.Decode(e.Record.Data)
	if err != nil || r.Change == nil {
		return wire.HistoryEntry{}, false
	}
	c := r.Change
	return wire.HistoryEntry{
		Offset: e.Record.Offset, Time: e.Record.Time, Author: c.Author, ID: c.ID, Base: c.Base, Note: c.Note,
		Changes: newAssignments(c.Changes), Outcome: e.Decision.Outcome.String(), With: e.Decision.With,
	}, true
}

func newAssignments(changes []settings.Change) []wire.Assignment {
	list := make([]wire.Assignment, len(changes))
	for i, c := range changes {
		list[i] = wire.Assignment{Scope: c.Scope.String(), Key: c.Key, Value: c.Value, Unset: c.Unset}
	}
	return list
}

func (s *Server) badRequest(ctx iris.Context, detail string) {
	s.refuse(ctx, wire.Problem{Status: http.StatusBadRequest, Reason: string(contract.ReasonBadRequest), Detail: detail})
}
