package main

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/internal/logs"
	"mimosastand.example/mimosastand/machine/entry"
	"mimosastand.example/mimosastand/machine/target"
)

func newEntryCommand() command {
	sub := newSubcommand("entry", "run the process of an entry host", "mimosastand entry --config entry.ini")
	file := "entry.ini"
	sub.String(&file, "c", "config", "INI file of the process")
	return command{sub: sub, run: func(ctx context.Context) int {
		return runDaemon(ctx, file, config.RoleEntry, runEntry)
	}}
}

func newTargetCommand() command {
	sub := newSubcommand("target", "run the process of a target host", "mimosastand target --config target.ini")
	file := "target.ini"
	sub.String(&file, "c", "config", "INI file of the process")
	return command{sub: sub, run: func(ctx context.Context) int {
		return runDaemon(ctx, file, config.RoleTarget, runTarget)
	}}
}

// runDaemon loads file, which must be for role, and runs the process until ctx ends.
func runDaemon(ctx context.Context, file, role string, serve func(context.Context, *config.Process) error) int {
	process, err := config.Load(file)
	if err != nil {
		return fail(err)
	}
	if process.Role != role {
		return fail(errors.Newf("%s: [process] role = %q: must be %s", file, process.Role, role))
	}
	if err := logs.Setup(os.Stderr, process.LogLevel); err != nil {
		return fail(err)
	}
	if err := serve(ctx, process); err != nil {
		return fail(err)
	}
	return exitOK
}

func runEntry(ctx context.Context, process *config.Process) error {
	e, err := entry.New(process, entry.Options{})
	if err != nil {
		return err
	}
	return e.Run(ctx)
}

func runTarget(ctx context.Context, process *config.Process) error {
	t, err := target.New(process)
	if err != nil {
		return err
	}
	t.BoundMemory()
	return t.Run(ctx)
}
