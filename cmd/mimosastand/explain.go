package main

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/internal/explain"
)

// maxLogFiles is how many log files the explain command accepts.
const maxLogFiles = 8

// placementWord is the word behind "explain" that asks an entry instead of logs. A log file of that name
// is given as ./placement.
const placementWord = "placement"

// isExplainPlacement reports whether a command line is that of "explain placement". A command of the
// parser has either log files or further commands.
func isExplainPlacement(args []string) bool {
	return len(args) > 2 && args[1] == "explain" && args[2] == placementWord
}

// newExplainGroup returns the command "explain" to which "placement" is attached.
func newExplainGroup() command {
	sub := newSubcommand("explain", "say where a request would go now", "mimosastand explain placement --help")
	return command{sub: sub, run: func(context.Context) int { return exitUsage }}
}

func newExplainCommand() command {
	sub := newSubcommand("explain", "say from logs what happened to a request and why; \"explain placement\" says where one would go now",
		"mimosastand explain entry-1.log entry-2.log --request 9c41d07be2a35f68")
	request := ""
	sub.String(&request, "r", "request", "the request's identifier")
	files := make([]string, maxLogFiles)
	for i := range files {
		sub.AddPositionalValue(&files[i], "LOG", i+1, i == 0, "log file, - for standard input")
	}
	return command{sub: sub, run: func(context.Context) int { return runExplain(files, request) }}
}

// runExplain prints what the files say about a request and returns the exit code.
func runExplain(files []string, request string) int {
	if request == "" {
		return reportError(errors.New("explain: --request is missing"))
	}
	var lines []explain.Line
	for _, file := range files {
		if file == "" {
			continue
		}
		fileLines, err := readLog(file)
		if err != nil {
			return reportError(err)
		}
		lines = append(lines, fileLines...)
	}
	if err := explain.Request(os.Stdout, lines, request); err != nil {
		return reportError(err)
	}
	return exitOK
}

// readLog reads the lines of a log file, or of standard input for "-".
func readLog(file string) ([]explain.Line, error) {
	var r io.Reader = os.Stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, errors.Wrap(err, "explain")
		}
		defer func() { _ = f.Close() }()
		r = f
	}
	return explain.ReadLines(r)
}
