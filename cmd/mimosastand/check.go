package main

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/settings/tree"
)

func newCheckCommand() command {
	sub := newSubcommand("check", "check a process's file or a tree of settings and print every fault", "mimosastand check entry.ini")
	file := ""
	sub.AddPositionalValue(&file, "FILE", 1, true, "INI file")
	return command{sub: sub, run: func(context.Context) int { return runCheck(file) }}
}

// runCheck prints every fault of a file and returns the exit code.
func runCheck(file string) int {
	if err := checkFile(file); err != nil {
		return reportError(err)
	}
	fmt.Println(file + ": ok")
	return exitOK
}

// checkFile validates a file. A file with a section [process] is the file of a process;
// any other file is a tree of settings.
func checkFile(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "check")
	}
	if isProcessFile(data) {
		_, err = config.Load(file)
		return err
	}
	_, err = tree.ParseINI(file, data)
	return err
}

// isProcessFile reports whether data is an INI file with a section [process].
func isProcessFile(data []byte) bool {
	source, err := ini.LoadSources(ini.LoadOptions{Loose: true, AllowNonUniqueSections: true}, data)
	return err == nil && source.HasSection("process")
}
