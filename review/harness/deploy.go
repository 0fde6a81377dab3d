//go:build review

package harness

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// role is a role of deploy/system.toml.
type role struct {
	// run holds the program and its arguments, template the path of the settings template.
	run      []string
	template string
}

// readRole reads a role from deploy/system.toml in the repository's root.
func readRole(root, name string) (role, error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return role{}, err
	}
	_, section, found := strings.Cut(string(data), "[roles."+name+"]")
	if !found {
		return role{}, fmt.Errorf("harness: deploy/system.toml has no role %s", name)
	}
	section, _, _ = strings.Cut(section, "\n[")
	r := role{run: strings.Fields(stringField(section, "run")), template: stringField(section, "template")}
	if len(r.run) == 0 || r.template == "" {
		return role{}, fmt.Errorf("harness: role %s has no run or no template", name)
	}
	return r, nil
}

// stringField returns the value of a field that is a plain string of TOML, or "" if it is missing.
func stringField(section, name string) string {
	for line := range strings.Lines(section) {
		key, value, _ := strings.Cut(line, "=")
		if strings.TrimSpace(key) == name {
			return strings.Trim(strings.TrimSpace(value), `"`)
		}
	}
	return ""
}

// fillTemplate replaces the placeholders of a settings template, as the platform does.
func fillTemplate(template, zones string, fields map[string]string) (string, error) {
	const zoneSection = "{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}"
	text := strings.ReplaceAll(template, zoneSection, zones)
	for _, list := range []map[string]string{settings, fields} {
		for name, value := range list {
			text = strings.ReplaceAll(text, "{{"+name+"}}", value)
		}
	}
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("harness: a placeholder of the template has no value:\n%s", text)
	}
	return text, nil
}
