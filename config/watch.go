package config

import (
	"bytes"
	"context"
	"os"
	"time"
)

// watchInterval is the interval at which Watch reads the file to detect a change that
// no signal announces.
const watchInterval = 2 * time.Second

// Watch reloads a file when its contents have changed or hup receives a signal, until
// ctx ends. It passes the result of each load to changed: the new settings, or the error
// that makes the file unusable, in which case the caller keeps its present settings.
func Watch(ctx context.Context, file string, hup <-chan os.Signal, changed func(*Process, error)) {
	lastData, _ := os.ReadFile(file)
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
			// The file may be missing while it is being replaced; the next tick reads it.
			continue
		}
		if !signalled && bytes.Equal(data, lastData) {
			continue
		}
		lastData = data
		changed(Load(file))
	}
}
