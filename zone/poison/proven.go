package poison

import (
	"container/list"
	"time"
)

// maxProven bounds the parts that are remembered as proven.
const maxProven = 4096

// provenParts holds the parts of which an attempt was proven last.
type provenParts struct {
	byPart map[Part]*list.Element
	// order has the part that was proven last in front.
	order *list.List
}

// provenPart is an element of provenParts.order.
type provenPart struct {
	part Part
	at   time.Time
}

func newProvenParts() *provenParts {
	return &provenParts{byPart: map[Part]*list.Element{}, order: list.New()}
}

// add records that an attempt with a part was proven.
func (pp *provenParts) add(p Part, at time.Time) {
	if e := pp.byPart[p]; e != nil {
		e.Value = provenPart{p, at}
		pp.order.MoveToFront(e)
		return
	}
	if pp.order.Len() >= maxProven {
		last := pp.order.Back()
		delete(pp.byPart, last.Value.(provenPart).part)
		pp.order.Remove(last)
	}
	pp.byPart[p] = pp.order.PushFront(provenPart{p, at})
}

// last returns when a part was proven last, or the zero time if that is not known.
func (pp *provenParts) last(p Part) time.Time {
	if e := pp.byPart[p]; e != nil {
		return e.Value.(provenPart).at
	}
	return time.Time{}
}
