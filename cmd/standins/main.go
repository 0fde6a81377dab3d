// Command standins runs small stand-ins for the platform and for back ends in one
// process, for tests and benchmarks. It prints "ready" once all of them listen, and exits
// on SIGTERM or SIGINT, or when one of them fails.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

const example = `
Example: standins --config standins.ini

  [log]
  listen = 127.0.0.1:7001
  append_rate = 400
  [engine alpha]
  listen = 127.0.0.1:7101
  warm_limit = 8`

func main() {
	var file string
	flaggy.SetName("standins")
	flaggy.SetDescription("Runs stand-ins of the platform's services and of back ends.")
	flaggy.DefaultParser.AdditionalHelpAppend = example
	flaggy.String(&file, "c", "config", "INI file with a section for each stand-in")
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, file, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run serves the stand-ins in file until ctx ends or one of them fails. It writes "ready"
// to stdout once all of them listen, so that a parent process can wait for the line.
func run(ctx context.Context, file string, stdout io.Writer) error {
	list, err := loadConfig(file)
	if err != nil {
		return err
	}
	g, err := listenAll(list)
	if err != nil {
		return err
	}
	fmt.Fprintln(stdout, "ready")
	return g.serve(ctx)
}
