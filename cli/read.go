package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"mimosastand.example/mimosastand/machine/entry/admin/wire"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/settings/tree"
)

func (s *CommandSet) registerRead(p *flaggy.Parser) {
	s.registerGet(p)
	s.registerHistory(p)
	s.registerDiff(p)
	s.registerStatus(p)
}

func (s *CommandSet) registerGet(p *flaggy.Parser) {
	var scope, key string
	var explain bool
	sub := s.newSubcommand("get", "print the tree in INI, or what holds at a scope",
		`mimosastand get "zone khomas-a service drafting-models" --key max_running --explain`)
	sub.AddPositionalValue(&scope, "scope", 1, false, `such as "zone khomas-a"; without it the whole tree is printed`)
	sub.String(&key, "k", "key", "only this key")
	sub.Bool(&explain, "e", "explain", "show the origin, unit and allowed values of each value")
	s.addCommand(sub, func(ctx context.Context, e *environment) error {
		if scope == "" {
			return e.getTree(ctx)
		}
		return e.getScope(ctx, scope, key, explain)
	})
	p.AttachSubcommand(sub, 1)
}

func (e *environment) getTree(ctx context.Context) error {
	reply, err := e.fetchTree(ctx)
	if err != nil {
		return err
	}
	if e.output == outputJSON {
		return e.printJSON(reply)
	}
	t, err := buildTree(reply)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(e.out, "; offset %d\n%s", reply.Offset, tree.WriteINI(t))
	return err
}

func (e *environment) fetchTree(ctx context.Context) (wire.Tree, error) {
	var reply wire.Tree
	err := e.client.get(ctx, wire.PathSettings, &reply)
	return reply, err
}

// buildTree returns the tree of settings in a reply.
func buildTree(reply wire.Tree) (*tree.Tree, error) {
	t := tree.New()
	for _, v := range reply.Values {
		scope, err := settings.ParseScope(v.Scope)
		if err != nil {
			return nil, errors.Wrap(err, "reply")
		}
		t.Set(settings.Change{Scope: scope, Key: v.Key, Value: v.Value}, reply.Offset)
	}
	return t, nil
}

func (e *environment) getScope(ctx context.Context, scope, key string, explain bool) error {
	var reply wire.Effective
	query := url.Values{"scope": {scope}, "key": {key}}
	if err := e.client.get(ctx, wire.PathEffective+"?"+query.Encode(), &reply); err != nil {
		return err
	}
	if e.output == outputJSON {
		return e.printJSON(reply)
	}
	w := e.newTable()
	for _, v := range reply.Values {
		if explain {
			_, _ = fmt.Fprintf(w, "%s\t= %s\tfrom [%s]\tat %d\tmay be %s\n", v.Key, v.Value, v.Origin, v.Offset, v.Allowed)
		} else {
			_, _ = fmt.Fprintf(w, "%s\t= %s\n", v.Key, v.Value)
		}
	}
	return w.Flush()
}

func (e *environment) newTable() *tabwriter.Writer {
	const padding = 2
	return tabwriter.NewWriter(e.out, 0, 0, padding, ' ', 0)
}

func (e *environment) printJSON(v any) error {
	encoder := json.NewEncoder(e.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

func (s *CommandSet) registerHistory(p *flaggy.Parser) {
	after, limit := int64(0), 20
	sub := s.newSubcommand("history", "list changes: who, when, what and what became of them", "mimosastand history --limit 50")
	sub.Int64(&after, "a", "after", "only changes after this offset")
	sub.Int(&limit, "l", "limit", "at most this many")
	s.addCommand(sub, func(ctx context.Context, e *environment) error {
		var reply wire.History
		query := url.Values{"after": {strconv.FormatInt(after, 10)}, "limit": {strconv.Itoa(limit)}}
		if err := e.client.get(ctx, wire.PathChanges+"?"+query.Encode(), &reply); err != nil {
			return err
		}
		if e.output == outputJSON {
			return e.printJSON(reply)
		}
		return e.printHistory(reply)
	})
	p.AttachSubcommand(sub, 1)
}

func (e *environment) printHistory(reply wire.History) error {
	for _, h := range reply.Entries {
		at := "-"
		if !h.Time.IsZero() {
			at = h.Time.UTC().Format("2006-01-02T15:04:05Z")
		}
		outcome := h.Outcome
		if h.With != 0 {
			outcome += fmt.Sprintf(" with %d", h.With)
		}
		_, _ = fmt.Fprintf(e.out, "%d  %s  %s  %s  %s  %s\n", h.Offset, at, h.Author, h.ID, outcome, h.Note)
		for _, a := range h.Changes {
			_, _ = fmt.Fprintf(e.out, "    %s\n", formatAssignment(a))
		}
	}
	return nil
}

func formatAssignment(a wire.Assignment) string {
	if a.Unset {
		return "[" + a.Scope + "] " + string(a.Key) + " unset"
	}
	return "[" + a.Scope + "] " + string(a.Key) + " = " + a.Value
}

func (s *CommandSet) registerDiff(p *flaggy.Parser) {
	var file string
	sub := s.newSubcommand("diff", "show what would make the settings equal to an INI file", "mimosastand diff examples/kalahari.ini")
	sub.AddPositionalValue(&file, "file", 1, true, "tree of settings in INI")
	s.addCommand(sub, func(ctx context.Context, e *environment) error {
		desired, err := readTreeFile(file)
		if err != nil {
			return err
		}
		diff, _, err := e.diff(ctx, desired)
		if err != nil {
			return err
		}
		if e.output == outputJSON {
			return e.printJSON(diff)
		}
		for _, a := range diff {
			_, _ = fmt.Fprintln(e.out, formatAssignment(a))
		}
		return nil
	})
	p.AttachSubcommand(sub, 1)
}

func readTreeFile(file string) ([]settings.Change, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Mark(err, ErrUsage)
	}
	changes, err := tree.ParseINI(file, text)
	if err != nil {
		return nil, errors.Mark(err, ErrUsage)
	}
	return changes, nil
}

// diff returns the changes that turn the current tree into one that holds exactly the
// desired settings, and the current tree with its offset.
func (e *environment) diff(ctx context.Context, desired []settings.Change) ([]wire.Assignment, wire.Tree, error) {
	reply, err := e.fetchTree(ctx)
	if err != nil {
		return nil, reply, err
	}
	t, err := buildTree(reply)
	if err != nil {
		return nil, reply, err
	}
	return toAssignments(t.Diff(desired)), reply, nil
}

func toAssignments(changes []settings.Change) []wire.Assignment {
	list := []wire.Assignment{}
	for _, c := range changes {
		list = append(list, wire.Assignment{Scope: c.Scope.String(), Key: c.Key, Value: c.Value, Unset: c.Unset})
	}
	return list
}

func (s *CommandSet) registerStatus(p *flaggy.Parser) {
	sub := s.newSubcommand("status", "show zones, targets, versions, roll-out progress and how far the settings have come", "mimosastand status --output json")
	s.addCommand(sub, func(ctx context.Context, e *environment) error {
		var reply wire.Status
		if err := e.client.get(ctx, wire.PathStatus, &reply); err != nil {
			return err
		}
		if e.output == outputJSON {
			return e.printJSON(reply)
		}
		return e.printStatus(reply)
	})
	p.AttachSubcommand(sub, 1)
}

func (e *environment) printStatus(st wire.Status) error {
	_, _ = fmt.Fprintf(e.out, "%s: ready %t, settings offset %d; %d machines seen from %d to %d, %d behind\n",
		st.Machine, st.Ready, st.Offset, st.Spread.Machines, st.Spread.Lowest, st.Spread.Highest, st.Spread.Behind)
	w := e.newTable()
	_, _ = fmt.Fprintln(w, "ZONE\tREGION\tOUT\tLIVE\tWARM\tLEAVING\tSILENT\tRUNNING")
	for _, z := range st.Zones {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%t\t%d\t%d\t%d\t%d\t%d\n", z.Zone, z.Region, z.Evacuated, z.Live, z.Warm, z.Leaving, z.Silent, z.Running)
	}
	_, _ = fmt.Fprintln(w, "SERVICE\tKIND\tVERSION\tLIVE\tEXPECTED\tDEPLOYED")
	for _, s := range st.Services {
		version := s.Weights.Short()
		if version == "" {
			version = "-"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\n", s.Service, s.Kind, version, s.Live, s.Expected, s.Deployed)
	}
	return w.Flush()
}

// readToken reads the bearer token. Errors never contain the content of the file.
func readToken(file string) (string, error) {
	if file == "" {
		return "", errors.Mark(errors.New("--token-file is missing"), ErrUsage)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return "", errors.Mark(err, ErrUsage)
	}
	token := strings.TrimSpace(string(text))
	if token == "" || strings.ContainsAny(token, "\r\n") {
		return "", errors.Mark(errors.Newf("%s must hold one line with the token", file), ErrUsage)
	}
	return token, nil
}
