//go:build review

package review

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// Case is what a case gets: its record, the deployment to start, and whether the disruption is
// to happen.
type Case struct {
	Record  *Record
	Program string
	// Templates is the folder with the templates of the deploy file.
	Templates string
	Trouble   bool
}

// Main runs a case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run or was interrupted. play returns whether the rule was broken.
func Main(play func(c Case) (broken bool, err error)) {
	recordPath := flag.String("record", "record.txt", "file of the record")
	program := flag.String("program", "target/mimosastand", "program that the deploy file builds")
	templates := flag.String("templates", "deploy", "folder with the templates of the deploy file")
	flag.Parse()
	record, err := NewRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	go exitOnSignal()
	c := Case{Record: record, Program: *program, Templates: *templates, Trouble: os.Getenv("TROUBLE") != "0"}
	record.Announce("disruption: %v", c.Trouble)
	broken, err := play(c)
	code := exitHeld
	switch {
	case err != nil:
		record.Announce("the case could not run: %v", err)
		code = exitCannotRun
	case broken:
		record.Announce("the rule was broken")
		code = exitBroken
	default:
		record.Announce("the rule held")
	}
	record.Close()
	os.Exit(code)
}

// exitOnSignal ends the case, and the processes that it started, when it is interrupted.
func exitOnSignal() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	<-interrupted
	killStarted()
	os.Exit(exitCannotRun)
}
