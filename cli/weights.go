package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/services"
	"mimosastand.example/mimosastand/weights"
)

// publishFlags holds the arguments of weights publish.
type publishFlags struct {
	file, store, name, output string
	chunkBytes                int
}

func (s *CommandSet) registerWeights(p *flaggy.Parser) {
	group := flaggy.NewSubcommand("weights")
	group.Description = "publish versions of models"
	group.AdditionalHelpAppend = "\n  Example: mimosastand weights publish model.bin --store http://10.0.0.1:7001"
	f := publishFlags{chunkBytes: weights.DefaultChunkBytes, output: outputText}
	sub := s.newCommand("publish", "store a version's chunks and manifest and print its digest",
		"mimosastand weights publish model.bin --store http://10.0.0.1:7001")
	sub.AddPositionalValue(&f.file, "file", 1, true, "the weights")
	sub.String(&f.store, "", "store", "address of the weight store or origin")
	sub.String(&f.name, "", "name", "name of the version, for people; the file's name if not given")
	sub.Int(&f.chunkBytes, "", "chunk-bytes", "size of a chunk")
	sub.String(&f.output, "o", "output", "text or json")
	s.commands = append(s.commands, &command{parsed: sub, local: true, run: func(ctx context.Context, e *environment) error {
		return e.publish(ctx, &f)
	}})
	group.AttachSubcommand(sub, 1)
	p.AttachSubcommand(group, 1)
}

// published is the result of weights publish.
type published struct {
	Weights contract.Digest `json:"weights"`
	Name    string          `json:"name"`
	Bytes   int64           `json:"bytes"`
}

func (e *environment) publish(ctx context.Context, f *publishFlags) error {
	if f.store == "" {
		return errors.Mark(errors.New("--store is missing"), ErrUsage)
	}
	file, err := os.Open(f.file)
	if err != nil {
		return errors.Mark(err, ErrUsage)
	}
	defer func() { _ = file.Close() }()
	info, err := file.Stat()
	if err != nil {
		return errors.Mark(err, ErrUsage)
	}
	if f.name == "" {
		f.name = filepath.Base(f.file)
	}
	reader := &meter{from: file, total: info.Size(), to: e.err, quiet: f.output == outputJSON}
	digest, err := weights.Publish(ctx, services.NewClient(f.store), reader, f.name, f.chunkBytes)
	if err != nil {
		return err
	}
	if f.output == outputJSON {
		return e.printJSON(published{Weights: digest, Name: f.name, Bytes: info.Size()})
	}
	_, err = fmt.Fprintln(e.out, digest)
	return err
}

// meter shows how much of a file has been read, in tenths.
type meter struct {
	from        io.Reader
	to          io.Writer
	total, done int64
	shown       int64
	quiet       bool
}

// Read implements io.Reader.
func (m *meter) Read(p []byte) (int, error) {
	const steps = 10
	n, err := m.from.Read(p)
	m.done += int64(n)
	if step := m.done * steps / max(m.total, 1); step > m.shown && !m.quiet {
		m.shown = step
		_, _ = fmt.Fprintf(m.to, "%s %d of %d bytes\n", bar(int(step), steps), m.done, m.total)
	}
	return n, err
}
