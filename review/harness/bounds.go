//go:build review

package harness

import "time"

// Bounds of the deployments that the scripts start: those of the sheet of klaa-accounts.
const (
	StableWindow = 3 * time.Second
	ConfigApply  = 2 * time.Second
	RecoverTime  = 12 * time.Second
)

// settings are the fields with which the platform fills in a template, except those of one machine.
var settings = map[string]string{
	"bounds.grace_s": "8", "bounds.retry_budget_ratio": "0.2", "bounds.retry_budget_burst": "106",
	"bounds.budget_window_s": "10", "bounds.cold_rate_factor": "1.5", "bounds.cold_slack": "5",
	"bounds.version_ms": "8000", "beat_interval_ms": "1200",
}
