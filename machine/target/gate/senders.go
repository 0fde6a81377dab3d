package gate

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

// senders holds the entry hosts that are connected, with the times at which
// each was last heard and last sent an attempt.
type senders map[contract.MachineID]sender

type sender struct {
	heard, worked time.Time
}

func (s senders) heard(m contract.MachineID, now time.Time) {
	if m == "" {
		return
	}
	v := s[m]
	v.heard = now
	s[m] = v
}

func (s senders) worked(m contract.MachineID, now time.Time) {
	if m != "" {
		s[m] = sender{heard: now, worked: now}
	}
}

func (s senders) expire(now time.Time, silence time.Duration) {
	for m, v := range s {
		if now.Sub(v.heard) > silence {
			delete(s, m)
			continue
		}
		if now.Sub(v.worked) > silence {
			v.worked = time.Time{}
			s[m] = v
		}
	}
}

// credits returns how many attempts a sender may have here at once, at most
// limit. The senders that work share total; an idle one gets its part of limit
// among all senders. While the limit allows work at all nobody gets less than 1.
func (s senders) credits(m contract.MachineID, limit, total int) int {
	if limit == 0 {
		return 0
	}
	working := 0
	for _, v := range s {
		if !v.worked.IsZero() {
			working++
		}
	}
	share := limit / max(1, len(s))
	if !s[m].worked.IsZero() {
		share = total / working
	}
	return min(limit, max(1, share))
}
