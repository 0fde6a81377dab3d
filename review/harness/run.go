//go:build review

package harness

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// maxRunTime bounds a case.
const maxRunTime = 115 * time.Second

// Case plays a scenario, with the disruption or without it, and returns how the rule was broken: one line
// for each time; none if it held.
type Case func(record *Record, isTroubled bool) (broken []string, err error)

// Main runs a case and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
func Main(play Case) {
	path := flag.String("record", "record.txt", "file to write down what happens")
	flag.Parse()
	record, err := NewRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	time.AfterFunc(maxRunTime, func() {
		record.Printf("not run: the case took longer than %v", maxRunTime)
		record.Close()
		os.Exit(exitNotRun)
	})
	code := runCase(record, play)
	record.Close()
	os.Exit(code)
}

func runCase(record *Record, play Case) int {
	isTroubled := os.Getenv("TROUBLE") != "0"
	record.Printf("disruption: %v", isTroubled)
	broken, err := play(record, isTroubled)
	if err != nil {
		record.Printf("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	if len(broken) == 0 {
		record.Printf("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
	for _, line := range broken {
		record.Printf("BROKEN: %s", line)
	}
	fmt.Printf("the rule was broken: %d times, first: %s\n", len(broken), broken[0])
	return exitBroken
}
