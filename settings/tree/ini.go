package tree

import (
	"bytes"
	"fmt"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/settings/schema"
)

// ErrINI marks text that is not INI.
var ErrINI = errors.New("settings: not INI")

// ParseINI reads a tree in INI. name names the file in faults. It fails with
// ErrINI, or with a *config.FaultsError that lists every fault.
func ParseINI(name string, text []byte) ([]settings.Change, error) {
	options := ini.LoadOptions{AllowShadows: true, SpaceBeforeInlineComment: true, AllowNonUniqueSections: true}
	source, err := ini.LoadSources(options, text)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "%s", name), ErrINI)
	}
	p := &parser{file: name, seen: map[settings.Scope]bool{}}
	for _, section := range source.Sections() {
		p.section(section)
	}
	if len(p.faults) > 0 {
		return nil, &config.FaultsError{Faults: p.faults}
	}
	return p.changes, nil
}

type parser struct {
	file    string
	seen    map[settings.Scope]bool
	changes []settings.Change
	faults  []config.Fault
}

func (p *parser) section(section *ini.Section) {
	if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
		return
	}
	scope, err := settings.ParseScope(section.Name())
	if err != nil {
		p.fault(section.Name(), "", "", "unknown section; must be [defaults] or name region, zone, service or team, such as [zone a service b]")
		return
	}
	if p.seen[scope] {
		p.fault(section.Name(), "", "", "section is given more than once")
		return
	}
	p.seen[scope] = true
	for _, key := range section.Keys() {
		p.key(section.Name(), scope, key)
	}
}

func (p *parser) key(section string, scope settings.Scope, key *ini.Key) {
	if len(key.ValueWithShadows()) > 1 {
		p.fault(section, key.Name(), key.String(), "is given more than once")
		return
	}
	change := settings.Change{Scope: scope, Key: settings.Key(key.Name()), Value: key.String()}
	checked, err := schema.Check(change)
	var fault *schema.Fault
	if errors.As(err, &fault) {
		p.fault(section, key.Name(), key.String(), fault.Allowed)
		return
	}
	p.changes = append(p.changes, checked)
}

func (p *parser) fault(section, key, value, allowed string) {
	p.faults = append(p.faults, config.Fault{File: p.file, Section: section, Key: key, Value: value, Allowed: allowed})
}

// WriteINI returns the tree's set values in INI.
func WriteINI(t *Tree) []byte {
	var out bytes.Buffer
	var last settings.Scope
	for i, c := range t.Changes() {
		if i == 0 || c.Scope != last {
			if i > 0 {
				out.WriteByte('\n')
			}
			fmt.Fprintf(&out, "[%s]\n", c.Scope)
			last = c.Scope
		}
		fmt.Fprintf(&out, "%s = %s\n", c.Key, c.Value)
	}
	return out.Bytes()
}

// Diff lists the changes that turn the tree into one that holds exactly wanted.
func (t *Tree) Diff(wanted []settings.Change) []settings.Change {
	var diff []settings.Change
	kept := map[settings.Change]bool{}
	for _, c := range wanted {
		kept[settings.Change{Scope: c.Scope, Key: c.Key}] = true
		if e, ok := t.At(c.Scope, c.Key); !ok || e.Unset || e.Value != c.Value {
			diff = append(diff, c)
		}
	}
	for _, c := range t.Changes() {
		if at := (settings.Change{Scope: c.Scope, Key: c.Key}); !kept[at] {
			at.Unset = true
			diff = append(diff, at)
		}
	}
	return diff
}
