package peers

import (
	"time"

	"mimosastand.example/mimosastand/link"
)

// newsInterval is the least time between two times at which news are sent to all linked entries:
// each entry that learns of something new sends it on, and much may change at the same time.
const newsInterval = 100 * time.Millisecond

// newsPacing holds when news were last sent, and whether the next time has been scheduled.
type newsPacing struct {
	sentAt      time.Time
	isScheduled bool
}

// SendNews sends a heartbeat on every link to an entry at once, or newsInterval after the last time.
func (p *Peers) SendNews() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.news.isScheduled {
		return
	}
	wait := newsInterval - time.Since(p.news.sentAt)
	if wait <= 0 {
		p.sendNews()
		return
	}
	p.news.isScheduled = true
	time.AfterFunc(wait, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.news.isScheduled = false
		p.sendNews()
	})
}

// sendNews is SendNews at once. p.mu must be held.
func (p *Peers) sendNews() {
	p.news.sentAt = time.Now()
	for id, c := range p.conns {
		if p.members[id].Role == link.RoleEntry {
			c.SendHeartbeat()
		}
	}
}

// NewsDelay returns about how long news take until most entries of this process's zone have them.
func (p *Peers) NewsDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(stepsAcross(len(p.zoneEntries[p.opts.Self.Zone]))) * newsInterval
}
