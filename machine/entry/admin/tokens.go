package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
	"lukechampine.com/blake3"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/settings/schema"
)

// Role determines what a token allows. Each role includes those before it.
type Role uint8

// The roles of tokens.
const (
	// RoleRead allows reading everything.
	RoleRead Role = iota + 1
	// RoleTeam also allows changing those keys of the token's team that a team may change
	// itself.
	RoleTeam
	// RoleAdmin allows changing everything.
	RoleAdmin
)

// Token grants a role to whoever presents its secret. It holds only the hash of the
// secret.
type Token struct {
	Name string
	Role Role
	Team contract.TeamName
	// Expires is the time from which the token is invalid; zero means never.
	Expires time.Time
	// hashAlgorithm is "sha256" or "blake3".
	hashAlgorithm string
	hash          [32]byte
}

// mayChange reports whether the token allows a change. A team may change only settings
// that do not affect other teams; its own share is not among them.
func (t Token) mayChange(c settings.Change) bool {
	if t.Role == RoleAdmin {
		return true
	}
	f, known := schema.Lookup(c.Key)
	return t.Role == RoleTeam && c.Scope.Team == t.Team && known && f.TeamOwned
}

// ErrTokensFile marks errors caused by an unusable tokens file.
var ErrTokensFile = errors.New("admin: unusable tokens file")

// Tokens holds the bearer tokens of a tokens file. It is safe for concurrent use.
type Tokens struct {
	file string
	list atomic.Pointer[[]Token]
}

// LoadTokens reads a tokens file. Its errors are marked as ErrTokensFile. If values are
// invalid, the error lists all of them.
func LoadTokens(file string) (*Tokens, error) {
	t := &Tokens{file: file}
	return t, t.Reload()
}

// Reload reads the file again and replaces the tokens. If it fails, the previous tokens
// stay valid.
func (t *Tokens) Reload() error {
	text, err := os.ReadFile(t.file)
	if err != nil {
		return errors.Mark(err, ErrTokensFile)
	}
	list, err := parseTokens(t.file, text)
	if err != nil {
		return errors.Mark(err, ErrTokensFile)
	}
	t.list.Store(&list)
	return nil
}

// findValid returns the token with the given secret, unless it has expired. It compares
// the secret with every token, so that the time taken does not reveal which one matched.
func (t *Tokens) findValid(secret string, now time.Time) (Token, bool) {
	list := t.list.Load()
	if list == nil || secret == "" {
		return Token{}, false
	}
	sums := map[string][32]byte{
		"sha256": sha256.Sum256([]byte(secret)),
		"blake3": blake3.Sum256([]byte(secret)),
	}
	var found Token
	ok := false
	for _, token := range *list {
		sum := sums[token.hashAlgorithm]
		if subtle.ConstantTimeCompare(sum[:], token.hash[:]) == 1 {
			found, ok = token, true
		}
	}
	if ok && !found.Expires.IsZero() && !now.Before(found.Expires) {
		return Token{}, false
	}
	return found, ok
}

// parseTokens parses a tokens file. Faults never contain the value of the hash key, since
// the secret itself may have been put there by mistake.
func parseTokens(file string, text []byte) ([]Token, error) {
	source, err := ini.LoadSources(ini.LoadOptions{}, text)
	if err != nil {
		return nil, errors.New("admin: tokens file is not valid INI")
	}
	p := &tokenParser{file: file}
	for _, section := range source.Sections() {
		if section.Name() != ini.DefaultSection || len(section.Keys()) > 0 {
			p.parseSection(section)
		}
	}
	if len(p.list) == 0 && len(p.faults) == 0 {
		p.addFault("", "", "", "must hold at least one token")
	}
	if len(p.faults) > 0 {
		return nil, &config.FaultsError{Faults: p.faults}
	}
	return p.list, nil
}

// tokenParser collects the tokens and the faults of a tokens file.
type tokenParser struct {
	file   string
	list   []Token
	faults []config.Fault
}

func (p *tokenParser) addFault(section, key, value, allowed string) {
	p.faults = append(p.faults, config.Fault{File: p.file, Section: section, Key: key, Value: value, Allowed: allowed})
}

func (p *tokenParser) parseSection(section *ini.Section) {
	token := Token{Name: section.Name()}
	if !settings.IsName(token.Name) {
		p.addFault(token.Name, "", "", "must be a name of letters, digits, '.', '_' and '-'")
	}
	for _, key := range section.Keys() {
		switch key.Name() {
		case "hash", "scope", "expires":
		default:
			p.addFault(token.Name, key.Name(), "", "unknown key")
		}
	}
	if !token.setHash(section.Key("hash").String()) {
		p.addFault(token.Name, "hash", "(not shown)", "must be sha256: or blake3: and the 64 hexadecimal digits of the token's hash")
	}
	if scope := section.Key("scope").String(); !token.setScope(scope) {
		p.addFault(token.Name, "scope", scope, "must be admin, read or team NAME")
	}
	if expires := section.Key("expires").String(); !token.setExpires(expires) {
		p.addFault(token.Name, "expires", expires, "must be a time such as 2030-01-31T00:00:00Z")
	}
	p.list = append(p.list, token)
}

func (t *Token) setHash(text string) bool {
	algo, digits, _ := strings.Cut(text, ":")
	sum, err := hex.DecodeString(digits)
	if err != nil || len(sum) != len(t.hash) || algo != "sha256" && algo != "blake3" {
		return false
	}
	t.hashAlgorithm, t.hash = algo, [32]byte(sum)
	return true
}

func (t *Token) setScope(text string) bool {
	words := strings.Fields(text)
	switch {
	case len(words) == 1 && words[0] == "admin":
		t.Role = RoleAdmin
	case len(words) == 1 && words[0] == "read":
		t.Role = RoleRead
	case len(words) == 2 && words[0] == "team" && settings.IsName(words[1]):
		t.Role, t.Team = RoleTeam, contract.TeamName(words[1])
	default:
		return false
	}
	return true
}

func (t *Token) setExpires(text string) bool {
	if text == "" {
		return true
	}
	at, err := time.Parse(time.RFC3339, text)
	t.Expires = at
	return err == nil
}
