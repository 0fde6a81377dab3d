package weights

import (
	"os"
	"strconv"
	"testing"
	"time"
)

func env(k string, d int) int {
	if v, err := strconv.Atoi(os.Getenv(k)); err == nil {
		return v
	}
	return d
}

func TestExplore(t *testing.T) {
	for _, regions := range []int{1, 3} {
		if env("R", regions) != regions {
			continue
		}
		p := DefaultParams(env("N", 100), regions, uint64(env("SEED", 1)))
		p.ChunkBytes = env("CHUNK", 512) << 10
		p.Swarm.Slots = env("SLOTS", 0)
		p.Swarm.Offsets = env("OFF", 0)
		p.Swarm.Downloads = env("DOWN", 0)
		p.Swarm.PerPeer = env("PER", 0)
		p.Swarm.Uploads = env("UP", 0)
		p.Swarm.UploadQueue = env("Q", 0)
		p.Swarm.SlotDraws = env("SD", 0)
		p.Swarm.ControlBytes = env("CTL", 0)
		p.Swarm.HaveInterval = time.Duration(env("HI", 0)) * time.Millisecond
		p.Killed, p.Corrupt = float64(env("KILL", 0))/100, float64(env("CORR", 0))/100
		t0 := time.Now()
		if env("TRACE", 0) == 1 {
			Trace = func(at time.Duration, mean, least, most, up float64, seen int) {
				t.Logf("ratio %v mean %.3f least %.3f most %.3f uplinks %.3f", at, mean, least, most, up)
			}
		}
		r := RunSwarm(p)
		t.Logf("r=%d ratio %.3f done=%v origin %.3f region %.3f/%.3f control %.0f notes %v %v", regions, r.Ratio, r.Done, r.OriginCopies, r.RegionCopies, r.RegionTotal, r.Control, r.Notes, time.Since(t0))
	}
}
