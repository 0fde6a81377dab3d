// Command bench runs the project's benchmarks and prints the measurements. Most parts
// compare the project with a baseline in the same run.
package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"mimosastand.example/mimosastand/bench/claims"
	"mimosastand.example/mimosastand/bench/gate"
	"mimosastand.example/mimosastand/bench/processes"
	"mimosastand.example/mimosastand/bench/serving"
	"mimosastand.example/mimosastand/bench/settings"
	"mimosastand.example/mimosastand/bench/through"
	"mimosastand.example/mimosastand/bench/weights"
)

// part is one group of benchmarks.
type part struct {
	name string
	run  func(w io.Writer, seed uint64) error
}

var parts = []part{
	{name: "serving", run: serving.Run},
	{name: "through", run: through.Run},
	{name: "gate", run: gate.Run},
	{name: "claims", run: claims.Run},
	{name: "weights", run: weights.Run},
	{name: "settings", run: settings.Run},
	{name: "processes", run: processes.Run},
}

const defaultSeed = 1

func main() {
	os.Exit(run())
}

func run() int {
	var only []string
	seed := uint64(defaultSeed)
	flaggy.SetName("bench")
	flaggy.SetDescription("print the measurements of all parts; example: bench --part weights --seed 7")
	flaggy.StringSlice(&only, "p", "part", "one part, such as weights; several may be given")
	flaggy.UInt64(&seed, "s", "seed", "seed of the random source")
	flaggy.Parse()

	if name, ok := firstUnknownPart(only); ok {
		fmt.Fprintf(os.Stderr, "bench: no part %q, want one of %s\n", name, strings.Join(partNames(), ", "))
		return 2
	}
	for _, p := range parts {
		if len(only) > 0 && !slices.Contains(only, p.name) {
			continue
		}
		if err := runPart(p, seed); err != nil {
			fmt.Fprintf(os.Stderr, "bench: %s: %v\n", p.name, err)
			return 1
		}
	}
	return 0
}

// runPart runs a part and prints how long it took.
func runPart(p part, seed uint64) error {
	fmt.Printf("\n== %s, seed %d\n", p.name, seed)
	start := time.Now()
	if err := p.run(os.Stdout, seed); err != nil {
		return err
	}
	fmt.Printf("== %s took %.1f s\n", p.name, time.Since(start).Seconds())
	return nil
}

func partNames() []string {
	list := make([]string, len(parts))
	for i, p := range parts {
		list[i] = p.name
	}
	return list
}

// firstUnknownPart returns the first of the names that no part has, if any.
func firstUnknownPart(only []string) (string, bool) {
	for _, name := range only {
		if !slices.Contains(partNames(), name) {
			return name, true
		}
	}
	return "", false
}
