package weightcache

import (
	"cmp"
	"slices"
	"time"
)

// arbitrationInterval is the time between two decisions on which version goes first: a few pieces
// arrive meanwhile.
const arbitrationInterval = 100 * time.Millisecond

// arbitrate decides for each model which of the announced versions that this entry gets goes first.
func (c *Cache) arbitrate() {
	if c.opts.VersionEnd == nil {
		return
	}
	byModel := map[string][]Contender{}
	for _, cv := range c.cachedVersions() {
		if end, ok := c.opts.VersionEnd(cv.id.Model, cv.id.Number); ok {
			byModel[cv.id.Model] = append(byModel[cv.id.Model], Contender{Version: cv.id, Transfer: &cv.transfer, Set: cv.currentSet(), End: end})
		}
	}
	for _, contenders := range byModel {
		slices.SortFunc(contenders, func(a, b Contender) int { return cmp.Compare(a.Version.Number, b.Version.Number) })
		Arbitrate(time.Now(), contenders, c.logTransferEvent)
	}
}

// cachedVersions returns the versions that are held or being fetched.
func (c *Cache) cachedVersions() []*cachedVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*cachedVersion
	for _, cv := range c.versions {
		list = append(list, cv)
	}
	return list
}

func (c *Cache) logTransferEvent(v Contender, e TransferEvent, preferred Version) {
	held := 0
	if v.Set != nil {
		held = v.Set.Count()
	}
	logger := c.opts.Log.WithField("version", v.Version.String()).WithField("preferred", preferred.String()).WithField("pieces", held)
	switch e {
	case TransferDeferred:
		logger.Info("weights deferred")
	case TransferResumed:
		logger.Info("weights resumed")
	case TransferSuperseded:
		logger.Info("weights superseded")
	}
	if c.opts.OnTransferEvent != nil {
		c.opts.OnTransferEvent(e)
	}
}
