// Command mimosastand runs the processes of the system and its operators' tools.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"mimosastand.example/mimosastand/cli"
)

// Exit codes of the commands that this file runs; the operators' commands
// document theirs.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// version is set at build time.
var version = "dev"

func main() {
	os.Exit(run())
}

// hangup gets SIGHUP from before main begins: until somebody listens the signal ends
// the process.
var hangup = listenForHangup()

func listenForHangup() chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()

	flaggy.SetName("mimosastand")
	flaggy.SetDescription("weight distribution and routing for bursts")
	flaggy.SetVersion(version)
	commands := []command{newEntryCommand(), newTargetCommand(), newCheckCommand(), newExplainCommand()}
	for _, c := range commands {
		flaggy.AttachSubcommand(c.sub, 1)
	}
	operators := cli.Register(flaggy.DefaultParser)
	flaggy.Parse()

	if operators.Used() {
		signal.Reset(syscall.SIGHUP)
		return operators.Run(ctx, os.Stdout, os.Stderr)
	}
	for _, c := range commands {
		if c.sub.Used {
			return c.run(ctx)
		}
	}
	flaggy.ShowHelp("")
	return exitUsage
}

// command is one subcommand and what it does; run returns the exit code.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context) int
}

// newSubcommand returns a subcommand whose help shows an example.
func newSubcommand(name, description, example string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	sub.AdditionalHelpPrepend = "Example:\n  " + example
	return sub
}

// fail prints err for a person and returns the code of a failure.
func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return exitFailure
}
