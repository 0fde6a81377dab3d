package answers

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosastand.example/mimosastand/contract"
)

// past holds requests with an attempt that started here and whose record was
// given up, in a few bytes each. Requests are told apart by a hash of 64 bits.
type past struct {
	entries map[uint64]pastEntry
	// order holds the hashes in the order in which they came.
	order []uint64
}

type pastEntry struct {
	// n is the number of the newest attempt that started.
	n uint32
	// expires is in seconds of the Unix time.
	expires uint32
	broken  bool
}

func newPast() past {
	return past{entries: map[uint64]pastEntry{}}
}

func (p *past) add(id contract.AttemptID, expires time.Time, broken bool) {
	h := xxhash.Sum64String(string(id.Request))
	e := pastEntry{n: id.N, expires: uint32(expires.Unix()) + 1, broken: broken}
	former, there := p.entries[h]
	if there {
		e.n = max(e.n, former.n)
		e.expires = max(e.expires, former.expires)
	} else {
		p.order = append(p.order, h)
	}
	p.entries[h] = e
}

func (p *past) get(request contract.RequestID) (pastEntry, bool) {
	e, ok := p.entries[xxhash.Sum64String(string(request))]
	return e, ok
}

// expire drops old entries, in the order in which they came.
func (p *past) expire(now time.Time) {
	seconds := uint32(now.Unix())
	for len(p.order) > 0 && p.entries[p.order[0]].expires <= seconds {
		delete(p.entries, p.order[0])
		p.order = p.order[1:]
	}
}

func (p *past) next() (time.Time, bool) {
	if len(p.order) == 0 {
		return time.Time{}, false
	}
	return time.Unix(int64(p.entries[p.order[0]].expires), 0), true
}
