// Command mimosastand runs the processes of the system and provides the tools for its
// operators.
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

// Exit codes of the commands in this package; package cli documents those of the
// operators' commands.
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

// hangups receives SIGHUP. It is set up before main starts, since the signal ends a
// process that does not handle it.
var hangups = notifyHangups()

// notifyHangups returns a channel that receives SIGHUP.
func notifyHangups() chan os.Signal {
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
	explain := newExplainCommand()
	commands := []command{newEntryCommand(), newTargetCommand(), newCheckCommand()}
	operators := cli.Register(flaggy.DefaultParser)
	if isExplainPlacement(os.Args) {
		explain = newExplainGroup()
		operators.RegisterExplainPlacement(explain.sub)
	}
	commands = append(commands, explain)
	for _, c := range commands {
		flaggy.AttachSubcommand(c.sub, 1)
	}
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

// command is one subcommand and its action; run returns the exit code.
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

// reportError prints err to standard error and returns exitFailure.
func reportError(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return exitFailure
}
