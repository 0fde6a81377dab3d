package main

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"

	"mimosastand.example/mimosastand/internal/load"
)

// row is one line of the table; a promise that did not hold is marked.
type row struct {
	name  string
	value string
	held  bool
}

// report prints the table and returns the exit code.
func (d *demo) report(out io.Writer) int {
	code := 0
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\nwhat\tfigure\t")
	for _, r := range d.rows {
		mark := ""
		if !r.held {
			mark = "BROKEN"
			code = 1
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", r.name, r.value, mark)
	}
	_ = w.Flush()
	if code != 0 {
		d.explain(out)
	}
	return code
}

// explain prints the first calls that did not get a whole answer.
func (d *demo) explain(out io.Writer) {
	for _, t := range []*load.Tally{d.traffic.Models, d.traffic.Effects} {
		for _, line := range t.Details() {
			_, _ = fmt.Fprintln(out, "  ", line)
		}
	}
}

// fact adds a row that promises nothing.
func (d *demo) fact(name, format string, args ...any) {
	d.rows = append(d.rows, row{name: name, value: fmt.Sprintf(format, args...), held: true})
}

// promise adds a row that must hold.
func (d *demo) promise(held bool, name, format string, args ...any) {
	d.rows = append(d.rows, row{name: name, value: fmt.Sprintf(format, args...), held: held})
}

func reasonsText(counts map[string]int) string {
	if len(counts) == 0 {
		return "none"
	}
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	text := ""
	for i, name := range names {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%s: %d", name, counts[name])
	}
	return text
}
