package gate

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

// senders holds the entry hosts that are connected, with what each has here.
type senders map[contract.MachineID]sender

type sender struct {
	// heard is when the sender was last heard, worked when it last sent an
	// attempt; worked is zero for one that has been idle.
	heard, worked time.Time
	// held counts its attempts that are queued or run towards it.
	held int
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
	if m == "" {
		return
	}
	v := s[m]
	v.heard, v.worked = now, now
	s[m] = v
}

// hold counts an attempt of a sender that was taken (1) or is closed (-1).
func (s senders) hold(m contract.MachineID, change int) {
	v, ok := s[m]
	if !ok {
		return
	}
	v.held += change
	s[m] = v
}

func (s senders) expire(now time.Time, silence time.Duration) {
	for m, v := range s {
		if now.Sub(v.heard) > silence && v.held == 0 {
			delete(s, m)
			continue
		}
		if now.Sub(v.worked) > silence && v.held == 0 {
			v.worked = time.Time{}
			s[m] = v
		}
	}
}

// credits returns how many attempts a sender may have here at once, at most
// limit: what it has, and its part of the free places among the senders that
// work. While the limit allows work at all nobody gets less than 1.
func (s senders) credits(m contract.MachineID, limit, free int) int {
	if limit == 0 {
		return 0
	}
	working := 0
	for _, v := range s {
		if !v.worked.IsZero() {
			working++
		}
	}
	part := max(0, free) / max(1, working)
	if free > 0 {
		part = max(1, part)
	}
	return min(limit, max(1, s[m].held+part))
}
