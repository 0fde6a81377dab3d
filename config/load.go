package config

import (
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// FaultsError is the error for a file with faults.
type FaultsError struct {
	Faults []Fault
}

// Error returns one line for each fault.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// ErrUnreadable marks a file that cannot be read or is not INI.
var ErrUnreadable = errors.New("config: unreadable file")

// Load reads and validates a file. It fails with ErrUnreadable, or with a
// *FaultsError that lists every fault.
func Load(file string) (*Process, error) {
	options := ini.LoadOptions{AllowShadows: true, SpaceBeforeInlineComment: true}
	source, err := ini.LoadSources(options, file)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "%s", file), ErrUnreadable)
	}
	l := &loader{file: file, source: source, process: &Process{}}
	l.readAll()
	if len(l.faults) > 0 {
		return nil, &FaultsError{Faults: l.faults}
	}
	return l.process, nil
}

// loader collects the settings and the faults of one file.
type loader struct {
	file    string
	source  *ini.File
	process *Process
	faults  []Fault
}

func (l *loader) readAll() {
	role := l.source.Section("process").Key("role").String()
	fields := fieldsForRole(role)
	if l.source.HasSection(fleetSection) {
		fields = fleetFieldsForRole(role)
		l.process.Fleet = &Fleet{}
	}
	for _, f := range fields {
		l.readField(f)
	}
	l.checkUnknown(fields)
	l.checkRelatedKeys()
	sort.SliceStable(l.faults, func(i, j int) bool { return l.faults[i].Section < l.faults[j].Section })
}

// fieldsForRole returns the fields in the file of a process with the role that is
// not in a fleet.
func fieldsForRole(role string) []field {
	fields := append(processFields(defaultShutdownGrace), commonFields...)
	switch role {
	case RoleEntry:
		return append(fields, entryFields...)
	case RoleTarget:
		return append(fields, targetFields...)
	default:
		return fields
	}
}

func (l *loader) readField(f field) {
	section := l.source.Section(f.section)
	text := f.def
	if section.HasKey(f.key) {
		key := section.Key(f.key)
		if len(key.ValueWithShadows()) > 1 {
			l.addFault(f.section, f.key, key.String(), "is given more than once")
			return
		}
		text = key.String()
	} else if f.required {
		l.addFault(f.section, f.key, "", "is missing; "+f.allowed())
		return
	}
	v, ok := f.parse(text)
	if !ok {
		l.addFault(f.section, f.key, text, f.allowed())
		return
	}
	f.set(l.process, v)
}

func (l *loader) addFault(section, key, value, allowed string) {
	l.faults = append(l.faults, Fault{File: l.file, Section: section, Key: key, Value: value, Allowed: allowed})
}

// checkUnknown adds a fault for every section and key that is not in fields.
func (l *loader) checkUnknown(fields []field) {
	keys := map[string]map[string]bool{}
	for _, f := range fields {
		if keys[f.section] == nil {
			keys[f.section] = map[string]bool{}
		}
		keys[f.section][f.key] = true
	}
	for _, section := range l.source.Sections() {
		known, ok := keys[section.Name()]
		if !ok && (section.Name() != ini.DefaultSection || len(section.Keys()) > 0) {
			l.addFault(section.Name(), "", "", "unknown section")
			continue
		}
		for _, key := range section.Keys() {
			if !known[key.Name()] {
				l.addFault(section.Name(), key.Name(), key.String(), "unknown key")
			}
		}
	}
}

// checkRelatedKeys checks the rules that involve several keys.
func (l *loader) checkRelatedKeys() {
	const minHeartbeats = 2
	link := l.process.Link
	if link.HeartbeatInterval > 0 && link.SilentAfter > 0 && link.SilentAfter < minHeartbeats*link.HeartbeatInterval {
		l.addFault("link", "silent_after", link.SilentAfter.String(), "must be at least twice the heartbeat")
	}
}
