package agent

import (
	"testing"
	"time"
)

func TestMeterTellsLiveTrafficFromWeights(t *testing.T) {
	var m meter
	m.sent.Store(9 << 20)
	if _, _, ok := m.measure(time.Millisecond, 0, 0); ok {
		t.Error("measured over no time")
	}
	up, down := 0, 0
	for i := range uint64(20) {
		m.sent.Add(1 << 20)
		up, down, _ = m.measure(time.Duration(i+1)*time.Second, 9<<20+(i+1)*(1<<20+5000), (i+1)*300)
	}
	if up < 4900 || up > 5100 || down < 290 || down > 310 {
		t.Errorf("live traffic %d up, %d down, want 5000 and 300", up, down)
	}
	if up, _, _ := m.measure(30*time.Second, 0, 0); up < 0 {
		t.Errorf("a counter that fell gives %d", up)
	}
}
