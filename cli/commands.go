package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
)

// Output forms.
const (
	outputText = "text"
	outputJSON = "json"
)

// common holds the flags that every command has.
type common struct {
	servers   []string
	tokenFile string
	output    string
}

// mutation holds the flags of commands that change settings.
type mutation struct {
	id   string
	base int64
	note string
}

const noBase = -1

// command is one operators' command.
type command struct {
	parsed *flaggy.Subcommand
	// local commands call no server.
	local bool
	run   func(ctx context.Context, e *environment) error
}

// Set holds the commands attached to a parser.
type CommandSet struct {
	common   common
	commands []*command
}

// environment is what a running command works with.
type environment struct {
	common
	client   *client
	out, err io.Writer
}

// Register attaches the operators' commands to a parser.
func Register(p *flaggy.Parser) *CommandSet {
	s := &CommandSet{common: common{output: outputText}}
	s.registerRead(p)
	s.registerChange(p)
	s.registerDeploy(p)
	s.registerWeights(p)
	return s
}

// newCommand makes a subcommand with the common flags and an example.
func (s *CommandSet) newCommand(name, description, example string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	sub.AdditionalHelpAppend = "\n  Example: " + example
	return sub
}

// add gives a subcommand the common flags and its action.
func (s *CommandSet) add(sub *flaggy.Subcommand, run func(context.Context, *environment) error) {
	sub.StringSlice(&s.common.servers, "s", "server", "administration API of an entry host, such as http://10.0.0.1:7102; give several to fail over")
	sub.String(&s.common.tokenFile, "t", "token-file", "file that holds the bearer token")
	sub.String(&s.common.output, "o", "output", "text or json")
	s.commands = append(s.commands, &command{parsed: sub, run: run})
}

func (m *mutation) flags(sub *flaggy.Subcommand) {
	m.base = noBase
	sub.String(&m.id, "i", "id", "identifier that makes a resend harmless; made up if not given")
	sub.Int64(&m.base, "b", "base", "offset of the settings that the change is based on; the newest if not given")
	sub.String(&m.note, "n", "note", "a note for the history")
}

// Used reports whether the parser met one of the set's commands.
func (s *CommandSet) Used() bool {
	return s.used() != nil
}

func (s *CommandSet) used() *command {
	for _, c := range s.commands {
		if c.parsed.Used {
			return c
		}
	}
	return nil
}

// Run executes the command that the parser met and returns the exit code.
func (s *CommandSet) Run(ctx context.Context, out, errOut io.Writer) int {
	c := s.used()
	if c == nil {
		_, _ = fmt.Fprintln(errOut, "mimosastand: no command")
		return ExitUsage
	}
	err := s.execute(ctx, c, out, errOut)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "mimosastand:", err)
	}
	return exitCode(err)
}

func (s *CommandSet) execute(ctx context.Context, c *command, out, errOut io.Writer) error {
	if s.common.output != outputText && s.common.output != outputJSON {
		return errors.Mark(errors.New("--output must be text or json"), ErrUsage)
	}
	e := &environment{common: s.common, out: out, err: errOut}
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
