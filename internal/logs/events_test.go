package logs

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// documented is the page that lists the messages of the processes of a fleet.
const documented = "../../docs/operations/platform.md"

var message = regexp.MustCompile(`\.(?:Info|Warn|Error)\("([^"]*)"\)`)

// TestEventsAreDocumented compares the messages in the code with the page.
func TestEventsAreDocumented(t *testing.T) {
	page, err := os.ReadFile(documented)
	if err != nil {
		t.Fatal(err)
	}
	listed := tableOf(string(page), "## Events")
	used := map[string]bool{leftOutMessage: true}
	for _, file := range sources(t) {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, found := range message.FindAllStringSubmatch(string(text), -1) {
			used[found[1]] = true
			if !listed[found[1]] {
				t.Errorf("%s: %q is not listed", file, found[1])
			}
		}
	}
	for name := range listed {
		if !used[name] {
			t.Errorf("%q is listed but not used", name)
		}
	}
}

// fieldPatterns find the names of fields in the code; those with a prefix are composed.
var fieldPatterns = []*regexp.Regexp{
	regexp.MustCompile(`WithField\("([a-z_]+)"`),
	regexp.MustCompile(`Fields\{"([a-z_]+)"`),
	regexp.MustCompile(`"([a-z_]+)": q\.`),
	regexp.MustCompile(`\bf\[(?:prefix\+)?"([a-z_]+)"\]`),
}

// composed are the beginnings of names that the code composes.
var composed = []string{"targets_", "nearest_"}

// TestFieldsAreDocumented compares the fields in the code with the page.
func TestFieldsAreDocumented(t *testing.T) {
	page, err := os.ReadFile(documented)
	if err != nil {
		t.Fatal(err)
	}
	listed := tableOf(string(page), "## Fields")
	used := map[string]bool{}
	for _, file := range sources(t) {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, pattern := range fieldPatterns {
			for _, found := range pattern.FindAllStringSubmatch(string(text), -1) {
				used[found[1]] = true
				if !listed[found[1]] && !slices.Contains(composed, found[1]) {
					t.Errorf("%s: field %q is not listed", file, found[1])
				}
			}
		}
	}
	for name := range listed {
		isPart := slices.ContainsFunc(composed, func(prefix string) bool { return strings.HasPrefix(name, prefix) })
		if !used[name] && !isPart {
			t.Errorf("field %q is listed but not used", name)
		}
	}
}

// sources lists the files of the processes of a fleet.
func sources(t *testing.T) []string {
	t.Helper()
	list := []string{"bounded.go"}
	for _, dir := range []string{
		"machine/feed", "machine/peers", "machine/weightcache", "machine/entry/direct", "machine/target/direct", "internal/metrics",
	} {
		files, err := filepath.Glob("../../" + dir + "/*.go")
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			if !strings.HasSuffix(file, "_test.go") {
				list = append(list, file)
			}
		}
	}
	return list
}

// tableOf returns the names in the first column of the table under a heading.
func tableOf(page, heading string) map[string]bool {
	names := map[string]bool{}
	_, section, _ := strings.Cut(page, heading)
	for _, line := range strings.Split(section, "\n") {
		if strings.HasPrefix(line, "## ") {
			break
		}
		cells := strings.Split(line, "|")
		if len(cells) < 3 || strings.HasPrefix(cells[1], "---") || isHeading(cells[1]) {
			continue
		}
		for _, name := range strings.Split(cells[1], ",") {
			names[strings.TrimSpace(name)] = true
		}
	}
	return names
}

func isHeading(cell string) bool {
	name := strings.TrimSpace(cell)
	return name == "message" || name == "field"
}
