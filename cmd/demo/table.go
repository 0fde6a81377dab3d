package main

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// row is one line of the table; a promise that was not kept is marked.
type row struct {
	name  string
	value string
	kept  bool
}

// report prints the table and returns the exit code.
func (d *demo) report(out io.Writer) int {
	code := 0
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\nwhat\tfigure\t")
	for _, r := range d.rows {
		mark := ""
		if !r.kept {
			mark = "BROKEN"
			code = 1
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", r.name, r.value, mark)
	}
	_ = w.Flush()
	if code != 0 {
		d.printViolations(out)
	}
	return code
}

// printViolations prints how promises were broken.
func (d *demo) printViolations(out io.Writer) {
	for _, v := range d.checker.Violations() {
		_, _ = fmt.Fprintf(out, "  %s: %s\n", v.Promise, v.Detail)
	}
}

// addFigure adds a row with a figure that no promise covers.
func (d *demo) addFigure(name, format string, args ...any) {
	d.rows = append(d.rows, row{name: name, value: fmt.Sprintf(format, args...), kept: true})
}

// addPromise adds a row with the figure of a promise and whether it was kept.
func (d *demo) addPromise(kept bool, name, format string, args ...any) {
	d.rows = append(d.rows, row{name: name, value: fmt.Sprintf(format, args...), kept: kept})
}
