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

// flushTimeout bounds the wait until the last log lines are written.
const flushTimeout = 200 * time.Millisecond

// runDaemon loads file, which must be of a process with the role, runs the process with
// serve until ctx ends and returns the exit code.
func runDaemon(ctx context.Context, file, role string, serve func(context.Context, string, *config.Process) error) int {
	process, err := config.Load(file)
	if err != nil {
		return reportError(err)
	}
	if process.Role != role {
		return reportError(errors.Newf("%s: [process] role = %q: must be %s", file, process.Role, role))
	}
	out := os.Stderr
	if process.Fleet != nil {
		out = os.Stdout
	}
	logHandler, err := logs.Setup(out, process.LogLevel)
	if err != nil {
		return reportError(err)
	}
	defer logHandler.Close(flushTimeout)
	if err := serve(ctx, file, process); err != nil {
		return reportError(err)
	}
	return exitOK
}

// reloader applies settings that change while the process runs.
type reloader interface{ Reload(*config.Process, error) }

// watchFile passes the settings to r whenever the process's file changes, until ctx ends.
// SIGHUP makes it reload the file at once.
func watchFile(ctx context.Context, file string, r reloader) {
	go config.Watch(ctx, file, hangups, r.Reload)
}

// defaultFile returns the file of a process for which the command line names none: the
// one in the environment, otherwise name.
func defaultFile(name string) string {
	if file := os.Getenv(config.FileEnv); file != "" {
		return file
	}
	return name
}

// runEntry runs an entry process until ctx ends, in a fleet or outside one.
func runEntry(ctx context.Context, file string, process *config.Process) error {
	if process.Fleet != nil {
		e, err := entrydirect.New(process)
		if err != nil {
			return err
		}
		watchFile(ctx, file, e)
		return e.Run(ctx)
	}
	e, err := entry.New(process, entry.Options{})
	if err != nil {
		return err
	}
	return e.Run(ctx)
}

// runTarget runs a target process until ctx ends, in a fleet or outside one.
func runTarget(ctx context.Context, file string, process *config.Process) error {
	if process.Fleet != nil {
		t, err := targetdirect.New(process)
		if err != nil {
			return err
		}
		watchFile(ctx, file, t)
		return t.Run(ctx)
	}
	t, err := target.New(process)
	if err != nil {
		return err
	}
	t.EnableMemoryLimit()
	return t.Run(ctx)
}
