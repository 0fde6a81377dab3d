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
	return command{sub: sub, run: func(context.Context) int { return check(file) }}
}

// check prints every fault of a file.
func check(file string) int {
	if err := checkFile(file); err != nil {
		return fail(err)
	}
	fmt.Println(file + ": ok")
	return exitOK
}

// checkFile tells the file of a process by its section [process]; any other
// file is a tree of settings.
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

func isProcessFile(data []byte) bool {
	source, err := ini.LoadSources(ini.LoadOptions{Loose: true, AllowNonUniqueSections: true}, data)
	return err == nil && source.HasSection("process")
}
