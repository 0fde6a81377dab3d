package retry

import "mimosastand.example/mimosastand/contract"

// Burst is how many retries an account holds at first and at most.
const Burst = 10.0

// Budget bounds retries as a share of first attempts.
type Budget struct {
	services map[contract.ServiceName]float64
	teams    map[teamAccount]float64
}

type teamAccount struct {
	service contract.ServiceName
	team    contract.TeamName
}

// NewBudget returns a budget whose accounts are full.
func NewBudget() *Budget {
	return &Budget{
		services: map[contract.ServiceName]float64{},
		teams:    map[teamAccount]float64{},
	}
}

// First records a first attempt. The shares are retries per first attempt.
func (b *Budget) RecordFirstAttempt(service contract.ServiceName, team contract.TeamName, serviceShare, teamShare float64) {
	key := teamAccount{service: service, team: team}
	b.services[service] = deposit(b.service(service), serviceShare)
	b.teams[key] = deposit(b.team(key), teamShare)
}

// Allows reports whether both accounts could pay for a retry.
func (b *Budget) CanRetry(service contract.ServiceName, team contract.TeamName) bool {
	return b.service(service) >= 1 && b.team(teamAccount{service: service, team: team}) >= 1
}

// Take draws one retry and reports whether both accounts could pay for it.
func (b *Budget) TryAcquire(service contract.ServiceName, team contract.TeamName) bool {
	key := teamAccount{service: service, team: team}
	if !b.CanRetry(service, team) {
		return false
	}
	b.services[service] = b.service(service) - 1
	b.teams[key] = b.team(key) - 1
	return true
}

func (b *Budget) service(name contract.ServiceName) float64 {
	if v, ok := b.services[name]; ok {
		return v
	}
	return Burst
}

func (b *Budget) team(key teamAccount) float64 {
	if v, ok := b.teams[key]; ok {
		return v
	}
	return Burst
}

func deposit(balance, share float64) float64 {
	return min(Burst, balance+max(0, share))
}
