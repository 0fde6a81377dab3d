package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"testing"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/harness"
	"mimosastand.example/mimosastand/services"
	"mimosastand.example/mimosastand/weights"
)

const (
	largeVersionBytes = 8 << 20
	largeChunkBytes   = 128 << 10
)

// TestWeightsReachEnginesWhenTargetsAreKilledAndPaused kills one target and pauses another while
// a version is downloaded from a slow origin, and then brings both back. It checks that all
// engines get the version and that the origin sends less than two copies.
func TestWeightsReachEnginesWhenTargetsAreKilledAndPaused(t *testing.T) {
	t.Parallel()
	slowOrigin := defaultSpec()
	slowOrigin.OriginOptions = map[string]string{"rate": fmt.Sprint(2 << 20)}
	s := startSystemWith(t, slowOrigin)
	bytesBefore := s.originBytes()
	digest := s.publishLargeVersion()
	_, err := s.RunOperator(context.Background(), "deploy", string(modelService), "--weights", string(digest))
	s.must(err)
	s.waitForOriginBytes(bytesBefore + largeVersionBytes/4)
	killed, paused := s.modelTargets()[0], s.modelTargets()[2]
	killed.Process.Kill()
	s.must(paused.Process.Signal(syscall.SIGSTOP))
	s.waitForOriginBytes(bytesBefore + largeVersionBytes/2)
	s.must(paused.Process.Signal(syscall.SIGCONT))
	s.must(s.StartTarget(killed))
	s.must(harness.WaitFor(context.Background(), hangTimeout, func() error { return s.checkAllEnginesRun(digest) }))
	downloaded := s.originBytes() - bytesBefore
	t.Logf("the origin sent %.2f copies", downloaded/largeVersionBytes)
	if downloaded >= 2*largeVersionBytes {
		t.Errorf("the origin sent %.0f bytes for a version of %d bytes, want less than two copies", downloaded, largeVersionBytes)
	}
}

// publishLargeVersion publishes a version of random weights that takes the slow origin seconds to
// send.
func (s *system) publishLargeVersion() contract.Digest {
	s.t.Helper()
	rng := rand.New(rand.NewPCG(9, 9))
	data := make([]byte, largeVersionBytes)
	for i := range data {
		data[i] = byte(rng.Uint32())
	}
	origin := services.NewClient("http://" + s.OriginAddress)
	digest, err := weights.Publish(context.Background(), origin, bytes.NewReader(data), "big", largeChunkBytes)
	s.must(err)
	return digest
}

// originBytes returns how many bytes of chunks the origin has sent.
func (s *system) originBytes() float64 {
	s.t.Helper()
	stats, err := s.Stats(s.OriginAddress)
	s.must(err)
	return stats["chunk_bytes"]
}

// waitForOriginBytes waits until the origin has sent so many bytes of chunks.
func (s *system) waitForOriginBytes(sent float64) {
	s.t.Helper()
	s.must(harness.WaitFor(context.Background(), hangTimeout, func() error {
		if got := s.originBytes(); got < sent {
			return fmt.Errorf("the origin sent %.0f bytes of chunks, want at least %.0f", got, sent)
		}
		return nil
	}))
}

// modelTargets returns the targets of all model services.
func (s *system) modelTargets() []*harness.Target {
	var targets []*harness.Target
	for _, t := range s.Targets {
		if t.Service.Model {
			targets = append(targets, t)
		}
	}
	return targets
}

// checkAllEnginesRun returns nil if every engine runs the version with the digest.
func (s *system) checkAllEnginesRun(digest contract.Digest) error {
	for _, t := range s.modelTargets() {
		resp, err := http.Get("http://" + t.Backend + "/stats")
		if err != nil {
			return err
		}
		var stats struct {
			Digest contract.Digest `json:"digest"`
		}
		err = json.NewDecoder(resp.Body).Decode(&stats)
		_ = resp.Body.Close()
		if err != nil {
			return err
		}
		if stats.Digest != digest {
			return fmt.Errorf("%s runs version %s, want the published one", t.Machine, stats.Digest.Short())
		}
	}
	return nil
}
