package logs

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// eventsPage is the page that lists the messages and fields that the processes of a fleet
// log.
const eventsPage = "../../docs/operations/platform.md"

// messageCall matches a log call and captures its message.
var messageCall = regexp.MustCompile(`\.(?:Info|Warn|Error)\("([^"]*)"\)`)

// TestEventsAreDocumented checks that the page lists exactly the messages in the code.
func TestEventsAreDocumented(t *testing.T) {
	page, err := os.ReadFile(eventsPage)
	if err != nil {
		t.Fatal(err)
	}
	documented := firstColumn(string(page), "## Events")
	used := map[string]bool{droppedLinesMessage: true}
	for _, file := range sourceFiles(t) {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range messageCall.FindAllStringSubmatch(string(text), -1) {
			used[match[1]] = true
			if !documented[match[1]] {
				t.Errorf("%s: message %q is not listed in the page of events", file, match[1])
			}
		}
	}
	for name := range documented {
		if !used[name] {
			t.Errorf("message %q is listed in the page of events but not logged", name)
		}
	}
}

// fieldPatterns match the names of fields in log calls, in log.Fields literals and in
// assignments to a map of fields. Where the code puts a prefix before a name, they capture the
// name without it.
var fieldPatterns = []*regexp.Regexp{
	regexp.MustCompile(`WithField\("([a-z_]+)"`),
	regexp.MustCompile(`Fields\{"([a-z_]+)"`),
	regexp.MustCompile(`"([a-z_]+)": q\.`),
	regexp.MustCompile(`\bf\[(?:prefix\+)?"([a-z_]+)"\]`),
}

// composedPrefixes are the prefixes of field names that the code composes from two parts.
var composedPrefixes = []string{"targets_", "nearest_"}

// TestFieldsAreDocumented checks that the page lists exactly the fields in the code. A listed
// field with a composed prefix may be missing in the code, since no literal has its full name.
func TestFieldsAreDocumented(t *testing.T) {
	page, err := os.ReadFile(eventsPage)
	if err != nil {
		t.Fatal(err)
	}
	documented := firstColumn(string(page), "## Fields")
	used := map[string]bool{}
	for _, file := range sourceFiles(t) {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, pattern := range fieldPatterns {
			for _, match := range pattern.FindAllStringSubmatch(string(text), -1) {
				used[match[1]] = true
				if !documented[match[1]] && !slices.Contains(composedPrefixes, match[1]) {
					t.Errorf("%s: field %q is not listed in the page of events", file, match[1])
				}
			}
		}
	}
	for name := range documented {
		isComposed := slices.ContainsFunc(composedPrefixes, func(prefix string) bool { return strings.HasPrefix(name, prefix) })
		if !used[name] && !isComposed {
			t.Errorf("field %q is listed in the page of events but not logged", name)
		}
	}
}

// sourceFiles lists the source files of the processes of a fleet, without tests.
func sourceFiles(t *testing.T) []string {
	t.Helper()
	list := []string{"bounded.go"}
	for _, dir := range []string{
		"machine/feed", "machine/peers", "machine/storerestore", "machine/weightcache", "machine/entry/direct", "machine/target/direct", "internal/metrics", "internal/standstill",
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

// firstColumn returns the names in the first column of the table under a heading.
func firstColumn(page, heading string) map[string]bool {
	names := map[string]bool{}
	_, section, _ := strings.Cut(page, heading)
	for _, line := range strings.Split(section, "\n") {
		if strings.HasPrefix(line, "## ") {
			break
		}
		cells := strings.Split(line, "|")
		if len(cells) < 3 || strings.HasPrefix(cells[1], "---") || isHeaderCell(cells[1]) {
			continue
		}
		for _, name := range strings.Split(cells[1], ",") {
			names[strings.TrimSpace(name)] = true
		}
	}
	return names
}

// isHeaderCell reports whether a cell of the first column is the header of the table.
func isHeaderCell(cell string) bool {
	text := strings.TrimSpace(cell)
	return text == "message" || text == "field"
}
