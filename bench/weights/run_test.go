package weights

import (
	"reflect"
	"testing"
)

func TestTargetsHoldAtSmallSizes(t *testing.T) {
	for _, regions := range regionCounts {
		for _, hosts := range []int{8, 32} {
			jobs := timeJobs(hosts, regions, 7)[:2]
			if err := runAll(jobs); err != nil {
				t.Fatal(err)
			}
			calm, faulty := jobs[0].result, jobs[1].result
			if calm.Ratio > 1.25 || calm.OriginCopies > 1.1 || calm.RegionCopies > 1.05 {
				t.Errorf("%d targets, %d regions: %+v", hosts, regions, calm)
			}
			if faulty.Ratio > 1.6 {
				t.Errorf("%d targets, %d regions, faults: %+v", hosts, regions, faulty)
			}
		}
	}
}

func TestSameSeedGivesTheSameRun(t *testing.T) {
	p := DefaultParams(16, 2, 3)
	p.Killed, p.Corrupt = killedShare, corruptShare
	if a, b := RunSwarm(p), RunSwarm(p); !reflect.DeepEqual(a, b) {
		t.Errorf("%+v\n%+v", a, b)
	}
}
