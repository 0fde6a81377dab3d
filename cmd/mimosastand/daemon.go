package main

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/internal/logs"
	"mimosastand.example/mimosastand/machine/entry"
	entrydirect "mimosastand.example/mimosastand/machine/entry/direct"
	"mimosastand.example/mimosastand/machine/target"
	targetdirect "mimosastand.example/mimosastand/machine/target/direct"
)

func newEntryCommand() command {
	sub := newSubcommand("entry", "run the process of an entry host", "mimosastand entry --config entry.ini")
	file := defaultFile("entry.ini")
	sub.String(&file, "c", "config", "INI file of the process")
	return command{sub: sub, run: func(ctx context.Context) int {
		return runDaemon(ctx, file, config.RoleEntry, runEntry)
	}}
}

func newTargetCommand() command {
	sub := newSubcommand("target", "run the process of a target host", "mimosastand target --config target.ini")
	file := defaultFile("target.ini")
	sub.String(&file, "c", "config", "INI file of the process")
	return command{sub: sub, run: func(ctx context.Context) int {
		return runDaemon(ctx, file, config.RoleTarget, runTarget)
	}}
}

// flushTime bounds the wait for the last log lines to be read.
const flushTime = 200 * time.Millisecond

// runDaemon loads file, which must be for role, and runs the process until ctx ends.
func runDaemon(ctx context.Context, file, role string, serve func(context.Context, string, *config.Process) error) int {
	process, err := config.Load(file)
	if err != nil {
		return fail(err)
	}
	if process.Role != role {
		return fail(errors.Newf("%s: [process] role = %q: must be %s", file, process.Role, role))
	}
	out := os.Stderr
	if process.Fleet != nil {
		out = os.Stdout
	}
	lines, err := logs.Setup(out, process.LogLevel)
	if err != nil {
		return fail(err)
	}
	defer lines.Close(flushTime)
	if err := serve(ctx, file, process); err != nil {
		return fail(err)
	}
	return exitOK
}

// reloader takes in settings that have changed while the process runs.
type reloader interface{ Reload(*config.Process, error) }

// watch passes changes of a process's file on until ctx ends. SIGHUP asks to look
// at once.
func watch(ctx context.Context, file string, to reloader) {
	go config.Watch(ctx, file, hangup, to.Reload)
}

// defaultFile is the file of a process when the command line names none.
func defaultFile(name string) string {
	if file := os.Getenv(config.FileEnv); file != "" {
		return file
	}
	return name
}

func runEntry(ctx context.Context, file string, process *config.Process) error {
	if process.Fleet != nil {
		e, err := entrydirect.New(process)
		if err != nil {
			return err
		}
		watch(ctx, file, e)
		return e.Run(ctx)
	}
	e, err := entry.New(process, entry.Options{})
	if err != nil {
		return err
	}
	return e.Run(ctx)
}

func runTarget(ctx context.Context, file string, process *config.Process) error {
	if process.Fleet != nil {
		t, err := targetdirect.New(process)
		if err != nil {
			return err
		}
		watch(ctx, file, t)
		return t.Run(ctx)
	}
	t, err := target.New(process)
	if err != nil {
		return err
	}
	t.BoundMemory()
	return t.Run(ctx)
}
