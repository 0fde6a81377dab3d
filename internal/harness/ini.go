package harness

import (
	"os"
	"path/filepath"
	"sort"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"mimosastand.example/mimosastand/link"
)

// section is one section of an INI file.
type section struct {
	name string
	keys map[string]string
}

// writeINI writes sections to the file dir/name and returns its path.
func writeINI(dir, name string, sections []section) (string, error) {
	file := ini.Empty()
	for _, s := range sections {
		sec, err := file.NewSection(s.name)
		if err != nil {
			return "", errors.Wrap(err, "harness")
		}
		for _, key := range sortedKeys(s.keys) {
			if _, err := sec.NewKey(key, s.keys[key]); err != nil {
				return "", errors.Wrap(err, "harness")
			}
		}
	}
	path := filepath.Join(dir, name)
	out, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return "", errors.Wrap(err, "harness")
	}
	defer func() { _ = out.Close() }()
	_, err = file.WriteTo(out)
	return path, errors.Wrap(err, "harness")
}

func sortedKeys(m map[string]string) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// withKey returns a copy of m with the key set, unless m already has the key.
func withKey(m map[string]string, key, value string) map[string]string {
	out := map[string]string{key: value}
	for k, v := range m {
		out[k] = v
	}
	return out
}

// platformSection returns the section with the addresses of the platform's services.
func platformSection(addresses map[string]string) section {
	keys := map[string]string{}
	for name, address := range addresses {
		keys[name] = "http://" + address
	}
	return section{name: "platform", keys: keys}
}

func tlsSection(files link.CredentialFiles) section {
	return section{name: "tls", keys: map[string]string{"ca": files.CA, "cert": files.Cert, "key": files.Key}}
}

// entrySections returns the settings file of an entry process.
func (c *Cluster) entrySections(e *Entry, files link.CredentialFiles, platform section) []section {
	return []section{
		{name: "process", keys: map[string]string{
			"role": "entry", "machine": string(e.Machine),
			"zone": string(e.Zone.Name), "region": string(e.Zone.Region),
		}},
		{name: "listen", keys: map[string]string{"link": e.Link, "http": e.HTTP, "admin": e.Admin}},
		platform,
		tlsSection(files),
		c.linkSection(),
		{name: "entry", keys: map[string]string{"tokens_file": c.TokensFile}},
	}
}

// targetSections returns the settings file of a target process.
func (c *Cluster) targetSections(t *Target, files link.CredentialFiles, platform section) []section {
	kind := "plain"
	if t.Service.Model {
		kind = "model"
	}
	return []section{
		{name: "process", keys: map[string]string{
			"role": "target", "machine": string(t.Machine),
			"zone": string(t.Zone.Name), "region": string(t.Zone.Region),
		}},
		{name: "listen", keys: map[string]string{"link": t.Link, "http": t.HTTP}},
		platform,
		tlsSection(files),
		c.linkSection(),
		{name: "target", keys: map[string]string{
			"service": string(t.Service.Name), "kind": kind, "backend": "http://" + t.Backend,
		}},
	}
}

// linkSection returns the section with the heartbeat times. If the spec has none, short
// times are used to keep the demo and the tests short.
func (c *Cluster) linkSection() section {
	times := c.Spec.Link
	if times == (LinkTimes{}) {
		times = LinkTimes{HeartbeatInterval: "300ms", SilentAfter: "1500ms"}
	}
	return section{name: "link", keys: map[string]string{"heartbeat": times.HeartbeatInterval, "silent_after": times.SilentAfter}}
}
