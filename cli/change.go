package cli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/admin/wire"
	"mimosastand.example/mimosastand/settings"
)

// idBytes is the number of random bytes in a generated identifier.
const idBytes = 8

// newActionRequest returns the request with the values of the flags. It generates an
// identifier if the operator gave none.
func (f *changeFlags) newActionRequest() wire.ActionRequest {
	req := wire.ActionRequest{ID: f.id, Note: f.note}
	if req.ID == "" {
		var raw [idBytes]byte
		_, _ = rand.Read(raw[:]) // never fails
		req.ID = "cli-" + hex.EncodeToString(raw[:])
	}
	if f.base != noBase {
		base := contract.Offset(f.base)
		req.Base = &base
	}
	return req
}

func (s *CommandSet) registerChange(p *flaggy.Parser) {
	s.registerSet(p)
	s.registerZone(p)
}

// setFlags holds the arguments of the command set.
type setFlags struct {
	changeFlags
	scope, assignment, file string
	also                    []string
	replace                 bool
}

func (s *CommandSet) registerSet(p *flaggy.Parser) {
	var f setFlags
	sub := s.newSubcommand("set", "change one or more settings, whole or not at all",
		`mimosastand set "service drafting-models" max_running=24 --also "zone khomas-a: spill=false"`)
	sub.AddPositionalValue(&f.scope, "scope", 1, false, `such as "zone khomas-a service drafting-models", or defaults`)
	sub.AddPositionalValue(&f.assignment, "key=value", 2, false, "a setting; key= removes it, so that it is inherited again")
	sub.StringSlice(&f.also, "", "also", `a further setting in the same change, "key=value" or "scope: key=value"`)
	sub.String(&f.file, "f", "file", "take all settings of an INI file")
	sub.Bool(&f.replace, "r", "replace", "with --file: also remove what the file does not hold")
	f.register(sub)
	s.addCommand(sub, func(ctx context.Context, e *environment) error { return e.set(ctx, &f) })
	p.AttachSubcommand(sub, 1)
}

// set sends the settings of the file and the command line as one change. Its base is the
// operator's --base, otherwise the offset that the file was compared with, if any.
func (e *environment) set(ctx context.Context, f *setFlags) error {
	req := wire.ChangeRequest{}
	action := f.newActionRequest()
	if f.file != "" {
		if err := e.addFileChanges(ctx, f, &req); err != nil {
			return err
		}
	}
	if err := f.addAssignments(&req); err != nil {
		return err
	}
	if len(req.Changes) == 0 {
		if f.file == "" {
			return errors.Mark(errors.New("no setting given; see --help"), ErrUsage)
		}
		_, _ = fmt.Fprintln(e.errOut, "nothing to change")
		return nil
	}
	req.ID, req.Note = action.ID, action.Note
	if action.Base != nil {
		req.Base = action.Base
	}
	return e.sendChange(ctx, wire.PathChanges, req.ID, req)
}

// addFileChanges adds the differences between the file and the current settings to the
// request, and makes the offset of these settings its base.
func (e *environment) addFileChanges(ctx context.Context, f *setFlags, req *wire.ChangeRequest) error {
	desired, err := readTreeFile(f.file)
	if err != nil {
		return err
	}
	diff, current, err := e.diff(ctx, desired)
	if err != nil {
		return err
	}
	for _, a := range diff {
		if !a.Unset || f.replace {
			req.Changes = append(req.Changes, a)
		}
	}
	req.Base = &current.Offset
	return nil
}

// addAssignments adds the settings on the command line to the request.
func (f *setFlags) addAssignments(req *wire.ChangeRequest) error {
	if f.scope != "" && f.assignment == "" {
		return errors.Mark(errors.New("key=value is missing"), ErrUsage)
	}
	if f.assignment != "" {
		a, err := parseAssignment(f.scope, f.assignment)
		if err != nil {
			return err
		}
		req.Changes = append(req.Changes, a)
	}
	for _, text := range f.also {
		scope := f.scope
		if head, rest, ok := strings.Cut(text, ":"); ok && !strings.Contains(head, "=") {
			scope, text = head, strings.TrimSpace(rest)
		}
		a, err := parseAssignment(scope, text)
		if err != nil {
			return err
		}
		req.Changes = append(req.Changes, a)
	}
	return nil
}

// parseAssignment parses key=value for a scope; an empty value unsets the key.
func parseAssignment(scope, text string) (wire.Assignment, error) {
	key, value, ok := strings.Cut(text, "=")
	if !ok || key == "" {
		return wire.Assignment{}, errors.Mark(errors.Newf("%q must be key=value", text), ErrUsage)
	}
	if _, err := settings.ParseScope(scope); err != nil {
		return wire.Assignment{}, errors.Mark(err, ErrUsage)
	}
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	return wire.Assignment{Scope: scope, Key: settings.Key(key), Value: value, Unset: value == ""}, nil
}

// sendChange posts a change and prints the result.
func (e *environment) sendChange(ctx context.Context, path, id string, body any) error {
	var reply wire.ChangeReply
	if err := e.client.post(ctx, path, body, &reply); err != nil {
		return errors.Wrapf(err, "change %s", id)
	}
	if e.output == outputJSON {
		return e.printJSON(reply)
	}
	duplicate := ""
	if reply.Duplicate {
		duplicate = ", sent before"
	}
	_, _ = fmt.Fprintf(e.out, "accepted at offset %d (%s%s)\n", reply.Offset, id, duplicate)
	for _, a := range reply.Changes {
		_, _ = fmt.Fprintf(e.out, "    %s\n", formatAssignment(a))
	}
	return nil
}

func (s *CommandSet) registerZone(p *flaggy.Parser) {
	zone := flaggy.NewSubcommand("zone")
	zone.Description = "take an availability zone out, or bring it back in"
	zone.AdditionalHelpAppend = "\n  Example: mimosastand zone out khomas-a"
	for _, direction := range []string{"out", "in"} {
		s.registerZoneAction(zone, direction)
	}
	p.AttachSubcommand(zone, 1)
}

func (s *CommandSet) registerZoneAction(zone *flaggy.Subcommand, direction string) {
	var name string
	var f changeFlags
	sub := s.newSubcommand(direction, "take the zone "+direction, "mimosastand zone "+direction+" khomas-a --note \"power work\"")
	sub.AddPositionalValue(&name, "zone", 1, true, "name of the zone")
	f.register(sub)
	s.addCommand(sub, func(ctx context.Context, e *environment) error {
		if !settings.IsName(name) {
			return errors.Mark(errors.Newf("%q is not a valid zone name", name), ErrUsage)
		}
		req := f.newActionRequest()
		return e.sendChange(ctx, wire.PathZones+"/"+name+"/"+direction, req.ID, req)
	})
	zone.AttachSubcommand(sub, 1)
}
