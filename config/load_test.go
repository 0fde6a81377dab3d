package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
)

// TestLoadReportsEveryFault loads the files in testdata/check.txt and compares all
// faults that Load reports.
func TestLoadReportsEveryFault(t *testing.T) {
	datadriven.RunTest(t, "testdata/check.txt", func(t *testing.T, d *datadriven.TestData) string {
		file := filepath.Join(t.TempDir(), "process.ini")
		if err := os.WriteFile(file, []byte(d.Input), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Load(file)
		if err == nil {
			return "ok\n"
		}
		if errors.Is(err, ErrUnreadable) {
			return "unreadable\n"
		}
		return strings.ReplaceAll(err.Error(), file, "FILE") + "\n"
	})
}

// TestExampleFilesLoad checks that the example files of processes have no faults.
func TestExampleFilesLoad(t *testing.T) {
	for role, file := range map[string]string{RoleEntry: "entry.ini", RoleTarget: "target.ini"} {
		process, err := Load(filepath.Join("..", "examples", file))
		if err != nil {
			t.Fatal(err)
		}
		if process.Role != role {
			t.Errorf("Load(%s).Role = %q, want the role in its file name", file, process.Role)
		}
	}
}

func FuzzLoad(f *testing.F) {
	f.Add([]byte("[process]\nrole = entry\n"))
	f.Add([]byte("[process\nrole"))
	f.Fuzz(func(t *testing.T, data []byte) {
		file := filepath.Join(t.TempDir(), "process.ini")
		if err := os.WriteFile(file, data, 0o600); err != nil {
			t.Fatal(err)
		}
		_, _ = Load(file)
	})
}
