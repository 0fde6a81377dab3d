package schema

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/settings"
)

const maxListNames = 64

// Fault tells why a change is not allowed.
type Fault struct {
	Scope settings.Scope `json:"-"`
	Key   settings.Key   `json:"key"`
	Value string         `json:"value"`
	// Allowed tells what may stand in the value's place.
	Allowed string `json:"allowed"`
}

// Error returns one line: [scope] key = "value": allowed.
func (f *Fault) Error() string {
	return fmt.Sprintf("[%s] %s = %q: %s", f.Scope, f.Key, f.Value, f.Allowed)
}

// Check returns the change with its value in canonical form. It fails with a
// *Fault.
func Check(c settings.Change) (settings.Change, error) {
	refuse := func(allowed string) (settings.Change, error) {
		return c, &Fault{Scope: c.Scope, Key: c.Key, Value: c.Value, Allowed: allowed}
	}
	f, ok := Lookup(c.Key)
	if !ok {
		return refuse("unknown key")
	}
	if err := c.Scope.Check(); err != nil {
		return refuse(err.Error())
	}
	if !f.Place.allows(c.Scope) {
		return refuse("may stand only in " + f.Place.String())
	}
	if c.Unset {
		c.Value = ""
		return c, nil
	}
	canonical, ok := f.canonical(c.Value)
	if !ok {
		return refuse("must be " + f.Allowed())
	}
	c.Value = canonical
	return c, nil
}

// CheckAll checks several changes and returns all faults.
func CheckAll(changes []settings.Change) ([]settings.Change, []*Fault) {
	checked := make([]settings.Change, 0, len(changes))
	var faults []*Fault
	for _, c := range changes {
		ok, err := Check(c)
		if fault, bad := err.(*Fault); bad {
			faults = append(faults, fault)
		}
		checked = append(checked, ok)
	}
	return checked, faults
}

func (f Field) canonical(text string) (string, bool) {
	text = strings.TrimSpace(text)
	switch f.Kind {
	case Bool:
		return text, text == "true" || text == "false"
	case Int:
		n, err := strconv.ParseInt(text, 10, 64)
		return strconv.FormatInt(n, 10), err == nil && f.within(float64(n))
	case Float:
		x, err := strconv.ParseFloat(text, 64)
		return strconv.FormatFloat(x, 'g', -1, 64), err == nil && f.within(x)
	case Duration:
		d, err := time.ParseDuration(text)
		return d.String(), err == nil && f.within(d.Seconds())
	case Choice:
		return text, f.isChoice(text)
	case Digest:
		return text, text == "" || contract.Digest(text).Valid()
	case NameList:
		return canonicalList(text)
	default:
		return text, settings.IsName(text)
	}
}

// within is false for a value that is not a number.
func (f Field) within(x float64) bool {
	return x >= f.Min && x <= f.Max
}

func (f Field) isChoice(text string) bool {
	for _, c := range f.Choices {
		if c == text {
			return true
		}
	}
	return false
}

func canonicalList(text string) (string, bool) {
	names := List(text)
	for _, name := range names {
		if !settings.IsName(name) {
			return text, false
		}
	}
	return strings.Join(names, ","), len(names) <= maxListNames
}

// List splits the value of a NameList.
func List(text string) []string {
	var names []string
	for _, part := range strings.Split(text, ",") {
		if name := strings.TrimSpace(part); name != "" {
			names = append(names, name)
		}
	}
	return names
}
