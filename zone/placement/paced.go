package placement

import "time"

// SetPaced tells whether the targets of the service report how long work takes on their machines.
func (p *Pool) SetPaced(paced bool) { p.paced = paced }

// IsPaced reports whether the targets of the service report how long work takes on their machines.
func (p *Pool) IsPaced(time.Time) bool { return p.paced }
