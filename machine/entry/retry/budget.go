package retry

import "mimosastand.example/mimosastand/contract"

// Burst is how many retries an account holds initially, and at most.
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

// RecordFirstAttempt records a first attempt. The shares are the retries allowed per first
// attempt.
func (b *Budget) RecordFirstAttempt(service contract.ServiceName, team contract.TeamName, serviceShare, teamShare float64) {
	key := teamAccount{service: service, team: team}
	b.services[service] = deposit(b.serviceBalance(service), serviceShare)
	b.teams[key] = deposit(b.teamBalance(key), teamShare)
}

// CanRetry reports whether both accounts hold at least one retry.
func (b *Budget) CanRetry(service contract.ServiceName, team contract.TeamName) bool {
	return b.serviceBalance(service) >= 1 && b.teamBalance(teamAccount{service: service, team: team}) >= 1
}

// TryAcquire withdraws one retry from both accounts. It returns false and withdraws nothing
// if either holds less than one.
func (b *Budget) TryAcquire(service contract.ServiceName, team contract.TeamName) bool {
	key := teamAccount{service: service, team: team}
	if !b.CanRetry(service, team) {
		return false
	}
	b.services[service] = b.serviceBalance(service) - 1
	b.teams[key] = b.teamBalance(key) - 1
	return true
}

func (b *Budget) serviceBalance(name contract.ServiceName) float64 {
	if v, ok := b.services[name]; ok {
		return v
	}
	return Burst
}

func (b *Budget) teamBalance(key teamAccount) float64 {
	if v, ok := b.teams[key]; ok {
		return v
	}
	return Burst
}

// deposit returns the balance of an account after a first attempt; a negative share counts
// as 0.
func deposit(balance, share float64) float64 {
	return min(Burst, balance+max(0, share))
}
