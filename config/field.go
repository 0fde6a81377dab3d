package config

import (
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// kind is the type of a field's value.
type kind uint8

const (
	kindText kind = iota
	kindName
	kindAddress
	kindURL
	kindFile
	kindDuration
	kindInt
	kindChoice
	kindFloat
	kindZones
)

// field describes one key of a section: how to check its value and where to store it.
type field struct {
	section, key string
	kind         kind
	// required means that the file must hold the key; such a field has no default.
	required bool
	def      string
	// min and max are the bounds of kindInt and kindFloat, and of kindDuration in
	// nanoseconds.
	min, max int64
	// choices lists the allowed values of kindChoice.
	choices []string
	// set stores the value in c.
	set func(c *Process, v value)
}

// value is a valid value: the text, and what the field's kind parses it into.
type value struct {
	text     string
	number   int64
	float    float64
	duration time.Duration
	zones    map[contract.ZoneName]contract.RegionName
}

// Fault is one error in a file.
type Fault struct {
	File, Section, Key string
	// Value is the value in the file; empty if the key is missing.
	Value string
	// Allowed describes the values that are allowed, or what is wrong.
	Allowed string
}

// String returns one line: file: [section] key = "value": allowed. A fault of a
// whole section has no key and value.
func (f Fault) String() string {
	if f.Key == "" {
		return fmt.Sprintf("%s: [%s]: %s", f.File, f.Section, f.Allowed)
	}
	return fmt.Sprintf("%s: [%s] %s = %q: %s", f.File, f.Section, f.Key, f.Value, f.Allowed)
}

// allowed describes the values that f accepts.
func (f field) allowed() string {
	switch f.kind {
	case kindName:
		return "must be a name of letters, digits, '.', '_' and '-'"
	case kindAddress:
		return "must be an IP address and port, such as 10.0.0.1:7000"
	case kindURL:
		return "must be an http or https address, such as http://10.0.0.1:7000"
	case kindFile:
		return "must name a file"
	case kindDuration:
		return fmt.Sprintf("must be a duration from %s to %s", time.Duration(f.min), time.Duration(f.max))
	case kindInt:
		return fmt.Sprintf("must be a whole number from %d to %d", f.min, f.max)
	case kindChoice:
		return "must be one of " + strings.Join(f.choices, ", ")
	case kindFloat:
		return fmt.Sprintf("must be a number from %d to %d", f.min, f.max)
	case kindZones:
		return "must list zones with their regions, such as khomas-a:khomas,erongo-a:erongo"
	default:
		return "must not be empty"
	}
}

// parse parses text as the field's kind and reports whether the value is allowed.
func (f field) parse(text string) (value, bool) {
	v := value{text: text}
	switch f.kind {
	case kindName:
		return v, isName(text)
	case kindAddress:
		return v, isAddress(text)
	case kindURL:
		return v, isURL(text)
	case kindDuration:
		d, err := time.ParseDuration(text)
		v.duration = d
		return v, err == nil && int64(d) >= f.min && int64(d) <= f.max
	case kindInt:
		n, err := strconv.ParseInt(text, 10, 64)
		v.number = n
		return v, err == nil && n >= f.min && n <= f.max
	case kindChoice:
		return v, contains(f.choices, text)
	case kindFloat:
		x, err := strconv.ParseFloat(text, 64)
		v.float = x
		return v, err == nil && x >= float64(f.min) && x <= float64(f.max)
	case kindZones:
		zones, ok := parseZones(text)
		v.zones = zones
		return v, ok
	default:
		return v, text != ""
	}
}

func contains(list []string, s string) bool {
	for _, item := range list {
		if item == s {
			return true
		}
	}
	return false
}

// isName reports whether s is a valid name: 1 to 64 letters, digits, '.', '_' and '-'.
func isName(s string) bool {
	const maxName = 64
	if s == "" || len(s) > maxName {
		return false
	}
	for _, r := range s {
		plain := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !plain && !strings.ContainsRune("._-", r) {
			return false
		}
	}
	return true
}

// isAddress reports whether s is an IP address and port.
func isAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n <= 65535
}

// isURL reports whether s is an http or https URL with a host.
func isURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

// parseZones parses comma-separated "zone:region" pairs and reports whether all are
// valid.
func parseZones(text string) (map[contract.ZoneName]contract.RegionName, bool) {
	zones := map[contract.ZoneName]contract.RegionName{}
	for _, pair := range strings.Split(text, ",") {
		zone, region, ok := strings.Cut(strings.TrimSpace(pair), ":")
		if !ok || !isName(zone) || !isName(region) {
			return nil, false
		}
		zones[contract.ZoneName(zone)] = contract.RegionName(region)
	}
	return zones, true
}
