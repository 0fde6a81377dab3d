package settings

import (
	"strings"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
)

// ErrScope marks a scope that has no meaning.
var ErrScope = errors.New("settings: bad scope")

// Scope is a place in the tree. An empty field stands for all regions, zones,
// services or teams; the zero Scope holds the defaults. Region and Zone are
// never both set, because a zone's name already implies its region.
type Scope struct {
	Region  contract.RegionName  `cbor:"1,keyasint,omitempty"`
	Zone    contract.ZoneName    `cbor:"2,keyasint,omitempty"`
	Service contract.ServiceName `cbor:"3,keyasint,omitempty"`
	Team    contract.TeamName    `cbor:"4,keyasint,omitempty"`
}

const (
	defaultsName = "defaults"
	maxNameBytes = 64
)

// ParseScope reads the form that String gives, such as "defaults" or
// "zone khomas-a service drafting-models". It fails with ErrScope.
func ParseScope(text string) (Scope, error) {
	words := strings.Fields(text)
	if len(words) == 1 && words[0] == defaultsName {
		return Scope{}, nil
	}
	if len(words) == 0 || len(words)%2 != 0 {
		return Scope{}, errors.Wrapf(ErrScope, "%q", text)
	}
	var s Scope
	for i := 0; i < len(words); i += 2 {
		if !s.set(words[i], words[i+1]) {
			return Scope{}, errors.Wrapf(ErrScope, "%q", text)
		}
	}
	return s, s.Check()
}

// set fills one empty field.
func (s *Scope) set(level, name string) bool {
	switch {
	case level == "region" && s.Region == "":
		s.Region = contract.RegionName(name)
	case level == "zone" && s.Zone == "":
		s.Zone = contract.ZoneName(name)
	case level == "service" && s.Service == "":
		s.Service = contract.ServiceName(name)
	case level == "team" && s.Team == "":
		s.Team = contract.TeamName(name)
	default:
		return false
	}
	return true
}

// Check fails with ErrScope if a name is malformed or if both region and zone
// are set.
func (s Scope) Check() error {
	if s.Region != "" && s.Zone != "" {
		return errors.Wrapf(ErrScope, "%q names both a region and a zone", s)
	}
	for _, name := range []string{string(s.Region), string(s.Zone), string(s.Service), string(s.Team)} {
		if name != "" && !IsName(name) {
			return errors.Wrapf(ErrScope, "%q is no name", name)
		}
	}
	return nil
}

// String returns "defaults" or the set fields from region down to team.
func (s Scope) String() string {
	var words []string
	add := func(level, name string) {
		if name != "" {
			words = append(words, level, name)
		}
	}
	add("region", string(s.Region))
	add("zone", string(s.Zone))
	add("service", string(s.Service))
	add("team", string(s.Team))
	if len(words) == 0 {
		return defaultsName
	}
	return strings.Join(words, " ")
}

// Less orders scopes from general to specific, then by name.
func (s Scope) Less(o Scope) bool {
	if a, b := s.rank(), o.rank(); a != b {
		return a < b
	}
	return s.String() < o.String()
}

// rank is higher for a scope that overrides: team before service before zone
// before region.
func (s Scope) rank() int {
	rank := 0
	for i, set := range []bool{s.Region != "", s.Zone != "", s.Service != "", s.Team != ""} {
		if set {
			rank += 1 << i
		}
	}
	return rank
}

// Chain lists the scopes that s inherits from, the most specific first. region
// is the region of s.Zone, or empty if it is not known.
func (s Scope) Chain(region contract.RegionName) []Scope {
	if s.Zone == "" {
		region = s.Region
	}
	places := []Scope{{Zone: s.Zone}, {Region: region}, {}}
	var chain []Scope
	for _, team := range levels(s.Team) {
		for _, service := range levels(s.Service) {
			for i, place := range places {
				if i < len(places)-1 && place == (Scope{}) {
					continue
				}
				place.Service, place.Team = service, team
				chain = append(chain, place)
			}
		}
	}
	return chain
}

// levels returns name and then the empty name, or only the latter.
func levels[T ~string](name T) []T {
	if name == "" {
		return []T{""}
	}
	return []T{name, ""}
}

// IsName reports whether s has 1 to 64 letters, digits, '.', '_' and '-'.
func IsName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for _, r := range s {
		alphanumeric := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !alphanumeric && !strings.ContainsRune("._-", r) {
			return false
		}
	}
	return true
}

// Key names one setting, as listed by package schema.
type Key string

// Change sets one key at one scope, or removes it there so that the scope
// inherits it again.
type Change struct {
	Scope Scope  `cbor:"1,keyasint"`
	Key   Key    `cbor:"2,keyasint"`
	Value string `cbor:"3,keyasint,omitempty"`
	Unset bool   `cbor:"4,keyasint,omitempty"`
}

// String returns "[scope] key = value" or "[scope] key unset".
func (c Change) String() string {
	if c.Unset {
		return "[" + c.Scope.String() + "] " + string(c.Key) + " unset"
	}
	return "[" + c.Scope.String() + "] " + string(c.Key) + " = " + c.Value
}
