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
	bigVersionBytes = 8 << 20
	bigChunkBytes   = 128 << 10
)

// TestTargetsKilledAndFrozenDuringDistribution kills one target and freezes
// another one while a version is drawn from a slow origin, and brings both back:
// all engines get the version, and the origin gives less than two copies.
func TestTargetsKilledAndFrozenDuringDistribution(t *testing.T) {
	t.Parallel()
	slow := spec()
	slow.OriginOptions = map[string]string{"rate": fmt.Sprint(2 << 20)}
	s := startSpec(t, slow)
	before := s.originBytes()
	digest := s.publishBig()
	_, err := s.RunOperator(context.Background(), "deploy", string(modelService), "--weights", string(digest))
	s.must(err)
	s.awaitOrigin(before + bigVersionBytes/4)
	killed, frozen := s.modelTargets()[0], s.modelTargets()[2]
	killed.Process.Kill()
	s.must(frozen.Process.Signal(syscall.SIGSTOP))
	s.awaitOrigin(before + bigVersionBytes/2)
	s.must(frozen.Process.Signal(syscall.SIGCONT))
	s.must(s.StartTarget(killed))
	s.must(harness.WaitFor(context.Background(), hangLimit, func() error { return s.allRun(digest) }))
	drawn := s.originBytes() - before
	t.Logf("the origin sent %.2f copies", drawn/bigVersionBytes)
	if drawn >= 2*bigVersionBytes {
		t.Errorf("the origin sent %.0f bytes for a version of %d", drawn, bigVersionBytes)
	}
}

func (s *system) publishBig() contract.Digest {
	s.t.Helper()
	rnd := rand.New(rand.NewPCG(9, 9))
	data := make([]byte, bigVersionBytes)
	for i := range data {
		data[i] = byte(rnd.Uint32())
	}
	origin := services.NewClient("http://" + s.OriginAddress)
	digest, err := weights.Publish(context.Background(), origin, bytes.NewReader(data), "big", bigChunkBytes)
	s.must(err)
	return digest
}

// originBytes is how many bytes of chunks the origin has sent.
func (s *system) originBytes() float64 {
	s.t.Helper()
	stats, err := s.Stats(s.OriginAddress)
	s.must(err)
	return stats["chunk_bytes"]
}

func (s *system) awaitOrigin(sent float64) {
	s.t.Helper()
	s.must(harness.WaitFor(context.Background(), hangLimit, func() error {
		if got := s.originBytes(); got < sent {
			return fmt.Errorf("the origin sent %.0f bytes of chunks, want %.0f", got, sent)
		}
		return nil
	}))
}

func (s *system) modelTargets() []*harness.Target {
	var out []*harness.Target
	for _, t := range s.Targets {
		if t.Service.Model {
			out = append(out, t)
		}
	}
	return out
}

// allRun checks that every engine runs a version.
func (s *system) allRun(digest contract.Digest) error {
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
			return fmt.Errorf("%s runs %s", t.Machine, stats.Digest.Short())
		}
	}
	return nil
}
