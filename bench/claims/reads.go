package claims

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/claims"
	"mimosastand.example/mimosastand/services"
	"mimosastand.example/mimosastand/standin/logservice"
)

// printReads prints the processor time of a read of the log that brings one
// record, at both ends together.
func printReads(w io.Writer) error {
	const reads = 4000
	server := httptest.NewServer(logservice.New(logservice.Config{}))
	defer server.Close()
	client := services.NewClient(server.URL)
	ctx := context.Background()
	records, _, err := stream(reads, 200, 2)
	if err != nil {
		return err
	}
	for _, data := range records {
		if _, err := client.Append(ctx, claims.Stream, data); err != nil {
			return err
		}
	}
	before, err := processorTime()
	if err != nil {
		return err
	}
	newest := contract.Offset(len(records))
	for range reads {
		if _, err := client.Read(ctx, claims.Stream, newest-1, 0); err != nil {
			return err
		}
	}
	after, err := processorTime()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "one read of the log that brings one record, processor time of both ends: %d µs\n",
		((after - before) / reads).Microseconds())
	return err
}

// processorTime returns the processor time that this process has used.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, errors.Wrap(err, "bench")
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
