package boottime

import (
	"testing"
	"time"
)

func TestNowAdvances(t *testing.T) {
	const pause = 20 * time.Millisecond
	start := Now()
	time.Sleep(pause)
	if passed := Now() - start; passed < pause || passed > time.Minute {
		t.Errorf("%v passed in a pause of %v", passed, pause)
	}
}
