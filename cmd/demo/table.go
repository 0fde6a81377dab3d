package main

import (
	"fmt"
	"io"
	"text/tabwriter"
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

// explain prints how promises were broken.
func (d *demo) explain(out io.Writer) {
	for _, v := range d.ledger.Violations() {
		_, _ = fmt.Fprintf(out, "  %s: %s\n", v.Promise, v.Detail)
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
