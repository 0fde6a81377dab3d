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
	sub := s.newSubcommand("publish", "store a version's chunks and manifest and print its digest",
		"mimosastand weights publish model.bin --store http://10.0.0.1:7001")
	sub.AddPositionalValue(&f.file, "file", 1, true, "the weights")
	sub.String(&f.store, "", "store", "address of the weight store or origin")
	sub.String(&f.name, "", "name", "name of the version, for people; the file's name if not given")
	sub.Int(&f.chunkBytes, "", "chunk-bytes", "size of a chunk")
	sub.String(&f.output, "o", "output", "text or json")
	s.commands = append(s.commands, &command{sub: sub, local: true, run: func(ctx context.Context, e *environment) error {
		return e.publish(ctx, &f)
	}})
	group.AttachSubcommand(sub, 1)
	p.AttachSubcommand(group, 1)
}

// publishResult is the output of weights publish as JSON.
type publishResult struct {
	Weights contract.Digest `json:"weights"`
	Name    string          `json:"name"`
	Bytes   int64           `json:"bytes"`
}

// publish stores the version in a file and prints its digest.
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
	reader := &progressReader{source: file, totalBytes: info.Size(), out: e.errOut, quiet: f.output == outputJSON}
	digest, err := weights.Publish(ctx, services.NewClient(f.store), reader, f.name, f.chunkBytes)
	if err != nil {
		return err
	}
	if f.output == outputJSON {
		return e.printJSON(publishResult{Weights: digest, Name: f.name, Bytes: info.Size()})
	}
	_, err = fmt.Fprintln(e.out, digest)
	return err
}

// progressReader prints how much of source has been read, in steps of a tenth.
type progressReader struct {
	source                io.Reader
	out                   io.Writer
	totalBytes, readBytes int64
	lastStep              int64
	quiet                 bool
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	const steps = 10
	n, err := r.source.Read(p)
	r.readBytes += int64(n)
	if step := r.readBytes * steps / max(r.totalBytes, 1); step > r.lastStep && !r.quiet {
		r.lastStep = step
		_, _ = fmt.Fprintf(r.out, "%s %d of %d bytes\n", progressBar(int(step), steps), r.readBytes, r.totalBytes)
	}
	return n, err
}
