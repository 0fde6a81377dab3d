package upkeep

import (
	"math"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// toldBounds is for how many bounds a version's age is told to peers: from the first
// one on older versions may not begin, and a process that found the version at its
// start comes to that by itself.
const toldBounds = 2

// Versions remembers the named versions of all models. The zero value is empty.
type Versions struct {
	models map[string]*Named
}

// Record takes in that a version of a model was named, or was found at the start of the
// process, and reports whether it is newer than the newest. bound is how long after a
// version was named requests may begin on an older one.
func (v *Versions) Record(now time.Time, model string, number int64, found bool, bound time.Duration) bool {
	if v.models == nil {
		v.models = map[string]*Named{}
	}
	n, ok := v.models[model]
	if !ok {
		n = &Named{}
		v.models[model] = n
	}
	if found {
		return n.Find(now, number, bound)
	}
	return n.Add(now, number)
}

// Of returns what is known of a model; empty if nothing is.
func (v *Versions) Of(model string) *Named {
	if n, ok := v.models[model]; ok {
		return n
	}
	return &Named{}
}

// Told takes in what a peer's heartbeat tells and returns what of that was news.
func (v *Versions) Told(now time.Time, told []contract.NamedVersion) []contract.NamedVersion {
	var news []contract.NamedVersion
	for _, t := range told {
		if v.Of(t.Model).Told(now, t.Version, time.Duration(t.AgeMS)*time.Millisecond) {
			news = append(news, t)
		}
	}
	return news
}

// Recent lists, for heartbeats, the versions that were named a short time ago.
func (v *Versions) Recent(now time.Time, bound time.Duration) []contract.NamedVersion {
	var list []contract.NamedVersion
	for model, n := range v.models {
		for _, a := range n.Recent(now, toldBounds*bound) {
			ms := min(a.Age.Milliseconds(), math.MaxUint32)
			list = append(list, contract.NamedVersion{Model: model, Version: a.Number, AgeMS: uint32(ms)})
		}
	}
	return list
}
