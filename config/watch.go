package config

import (
	"bytes"
	"context"
	"os"
	"time"
)

// watchInterval is the time between two looks at a file that may change without a
// signal.
const watchInterval = 2 * time.Second

// Watch loads a file again when its contents have changed, or hup says so, until
// ctx ends. It passes each load to changed: either the settings, or why the file
// cannot be used, so that the former settings stay in force.
func Watch(ctx context.Context, file string, hup <-chan os.Signal, changed func(*Process, error)) {
	last, _ := os.ReadFile(file)
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			signalled = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(file)
		if err != nil {
			// A file that is being replaced is there at the next look.
			continue
		}
		if !signalled && bytes.Equal(data, last) {
			continue
		}
		last = data
		changed(Load(file))
	}
}
