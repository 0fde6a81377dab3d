package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
)

// Output formats.
const (
	outputText = "text"
	outputJSON = "json"
)

// commonFlags holds the flags that every command has that calls a server.
type commonFlags struct {
	servers   []string
	tokenFile string
	output    string
}

// changeFlags holds the flags of commands that change settings.
type changeFlags struct {
	id   string
	base int64
	note string
}

// noBase is the value of --base if it is not given.
const noBase = -1

// command is one operators' command.
type command struct {
	sub *flaggy.Subcommand
	// local means that the command does not call the administration API and needs no
	// token.
	local bool
	run   func(ctx context.Context, e *environment) error
}

// CommandSet holds the commands attached to a parser.
type CommandSet struct {
	common   commonFlags
	commands []*command
}

// environment holds what a running command uses: the flags, the client and the outputs.
type environment struct {
	commonFlags
	client      *client
	out, errOut io.Writer
}

// Register attaches the operators' commands to a parser.
func Register(p *flaggy.Parser) *CommandSet {
	s := &CommandSet{common: commonFlags{output: outputText}}
	s.registerRead(p)
	s.registerChange(p)
	s.registerDeploy(p)
	s.registerWeights(p)
	return s
}

// newSubcommand returns a subcommand whose help shows an example.
func (s *CommandSet) newSubcommand(name, description, example string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	sub.AdditionalHelpAppend = "\n  Example: " + example
	return sub
}

// addCommand adds a subcommand with the common flags and its action to the set.
func (s *CommandSet) addCommand(sub *flaggy.Subcommand, run func(context.Context, *environment) error) {
	sub.StringSlice(&s.common.servers, "s", "server", "administration API of an entry host, such as http://10.0.0.1:7102; give several to fail over")
	sub.String(&s.common.tokenFile, "t", "token-file", "file that holds the bearer token")
	sub.String(&s.common.output, "o", "output", "text or json")
	s.commands = append(s.commands, &command{sub: sub, run: run})
}

// register adds the flags to a subcommand.
func (f *changeFlags) register(sub *flaggy.Subcommand) {
	f.base = noBase
	sub.String(&f.id, "i", "id", "identifier that makes a resend harmless; made up if not given")
	sub.Int64(&f.base, "b", "base", "offset of the settings that the change is based on; the newest if not given")
	sub.String(&f.note, "n", "note", "a note for the history")
}

// Used reports whether the command line named one of the set's commands.
func (s *CommandSet) Used() bool {
	return s.usedCommand() != nil
}

// usedCommand returns the command that the command line named, or nil.
func (s *CommandSet) usedCommand() *command {
	for _, c := range s.commands {
		if c.sub.Used {
			return c
		}
	}
	return nil
}

// Run executes the command that the command line named and returns the exit code.
func (s *CommandSet) Run(ctx context.Context, out, errOut io.Writer) int {
	c := s.usedCommand()
	if c == nil {
		_, _ = fmt.Fprintln(errOut, "mimosastand: no command given")
		return ExitUsage
	}
	err := s.execute(ctx, c, out, errOut)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "mimosastand:", err)
	}
	return exitCode(err)
}

// execute checks the common flags, creates the client and runs the command.
func (s *CommandSet) execute(ctx context.Context, c *command, out, errOut io.Writer) error {
	if s.common.output != outputText && s.common.output != outputJSON {
		return errors.Mark(errors.New("--output must be text or json"), ErrUsage)
	}
	e := &environment{commonFlags: s.common, out: out, errOut: errOut}
	if !c.local {
		token, err := readToken(s.common.tokenFile)
		if err != nil {
			return err
		}
		if len(s.common.servers) == 0 {
			return errors.Mark(errors.New("--server is missing"), ErrUsage)
		}
		e.client = newClient(s.common.servers, token)
	}
	return c.run(ctx, e)
}
