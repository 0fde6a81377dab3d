package gate

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

// senders holds the connected entry hosts and the use that each makes of this target.
type senders map[contract.MachineID]sender

type sender struct {
	// seenAt is when the last message of the sender arrived, attemptAt when its last attempt
	// did; attemptAt is zero for a sender that has been idle.
	seenAt, attemptAt time.Time
	// held is the number of its attempts that are queued, or run and have not ended.
	held int
}

func (s senders) seen(m contract.MachineID, now time.Time) {
	if m == "" {
		return
	}
	v := s[m]
	v.seenAt = now
	s[m] = v
}

func (s senders) attemptArrived(m contract.MachineID, now time.Time) {
	if m == "" {
		return
	}
	v := s[m]
	v.seenAt, v.attemptAt = now, now
	s[m] = v
}

// addHeld changes the number of a sender's attempts by 1 when one is queued and by -1 when
// a queued one is refused or a running one ends.
func (s senders) addHeld(m contract.MachineID, change int) {
	v, ok := s[m]
	if !ok {
		return
	}
	v.held += change
	s[m] = v
}

func (s senders) expire(now time.Time, timeout time.Duration) {
	for m, v := range s {
		if now.Sub(v.seenAt) > timeout && v.held == 0 {
			delete(s, m)
			continue
		}
		if now.Sub(v.attemptAt) > timeout && v.held == 0 {
			v.attemptAt = time.Time{}
			s[m] = v
		}
	}
}

// credits returns how many attempts a sender may have here at once: those that it has, and
// an equal share of the free places among the senders that are not idle. The result is at
// most limit. While the limit is above 0, every sender gets at least 1.
func (s senders) credits(m contract.MachineID, limit, free int) int {
	if limit == 0 {
		return 0
	}
	active := 0
	for _, v := range s {
		if !v.attemptAt.IsZero() {
			active++
		}
	}
	share := max(0, free) / max(1, active)
	if free > 0 {
		share = max(1, share)
	}
	return min(limit, max(1, s[m].held+share))
}
