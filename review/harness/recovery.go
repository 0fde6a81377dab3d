//go:build review

package harness

import (
	"fmt"
	"time"
)

// Recovery are the times of a final fault, after which all machines come back.
type Recovery struct {
	// CountedFrom is from when on requests are counted, FaultAt when the fault struck and BackAt when all
	// machines were back.
	CountedFrom, FaultAt, BackAt time.Time
}

// CountedAfterBound is for how long requests are counted later than RecoverTime after the machines are back.
const CountedAfterBound = 8 * time.Second

// Await waits until all requests have been sent that are counted.
func (r Recovery) Await() { time.Sleep(time.Until(r.BackAt.Add(RecoverTime + CountedAfterBound))) }

// Judge returns how the answers break RECOVER: "Of the requests sent later than `recover_s` after the machines
// are back, less than a quarter is served, though a quarter or more was before the final fault."
func (r Recovery) Judge(record *Record, answers []Answer) (broken []string) {
	boundAt := r.BackAt.Add(RecoverTime)
	sentBefore, servedBefore := CountServed(answers, r.CountedFrom, r.FaultAt)
	sentAfter, servedAfter := CountServed(answers, boundAt, boundAt.Add(CountedAfterBound))
	record.Printf("before the final fault: %d requests, %d served", sentBefore, servedBefore)
	record.Printf("later than %v after the machines were back: %d requests, %d served", RecoverTime, sentAfter, servedAfter)
	for _, a := range answers {
		if a.SentAt.After(boundAt) && !a.IsServed() {
			record.Printf("not served: %v", a)
		}
	}
	if sentBefore == 0 || sentAfter == 0 || 4*servedBefore < sentBefore || 4*servedAfter >= sentAfter {
		return nil
	}
	return []string{fmt.Sprintf("RECOVER: %d of %d requests served, %d of %d before the final fault", servedAfter, sentAfter, servedBefore, sentBefore)}
}
