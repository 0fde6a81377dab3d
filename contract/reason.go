package contract

import "net/http"

// Reason is the typed code for why a request was refused, retried or ended
// without an answer. Each reason has a counter on the metrics page.
type Reason string

// Reasons that concern what the caller sent. They never lead to a retry.
const (
	ReasonBadRequest     Reason = "bad_request"
	ReasonBodyTooLarge   Reason = "body_too_large"
	ReasonUnknownService Reason = "unknown_service"
	ReasonUnknownTeam    Reason = "unknown_team"
	ReasonUnauthorized   Reason = "unauthorized"
	ReasonMissingKey     Reason = "missing_key"
	ReasonKeyConflict    Reason = "key_conflict"
	ReasonDeadline       Reason = "deadline_expired"
	ReasonCallerGone     Reason = "caller_gone"
)

// Reasons that concern load. The caller may come back later.
const (
	ReasonQueueFull   Reason = "queue_full"
	ReasonTeamShare   Reason = "team_share"
	ReasonRetryBudget Reason = "retry_budget"
	ReasonColdStart   Reason = "cold_start"
	ReasonTargetFull  Reason = "target_full"
	ReasonNoTarget    Reason = "no_target"
)

// Reasons that concern machines, zones, settings and weights.
const (
	ReasonZoneOut          Reason = "zone_out"
	ReasonTargetLeaving    Reason = "target_leaving"
	ReasonShuttingDown     Reason = "shutting_down"
	ReasonStaleSettings    Reason = "stale_settings"
	ReasonSettingsNotReady Reason = "settings_not_ready"
	ReasonNoWeights        Reason = "no_weights"
	ReasonWeightsMismatch  Reason = "weights_mismatch"
	ReasonWeightsChanged   Reason = "weights_changed"
	ReasonBackendDown      Reason = "backend_down"
	ReasonBackendError     Reason = "backend_error"
)

// Reasons that concern attempts, keys and links.
const (
	ReasonDuplicateAttempt Reason = "duplicate_attempt"
	ReasonTombstone        Reason = "tombstone"
	ReasonKeyInProgress    Reason = "key_in_progress"
	ReasonKeyUnresolved    Reason = "key_unresolved"
	ReasonKeyExpired       Reason = "key_expired"
	ReasonLogUnavailable   Reason = "log_unavailable"
	ReasonLinkDown         Reason = "link_down"
	ReasonLinkSilent       Reason = "link_silent"
	ReasonBadFrame         Reason = "bad_frame"
	ReasonTruncatedAnswer  Reason = "cut_answer"
)

// HTTPStatus returns the status that a caller sees for a final refusal.
func (r Reason) HTTPStatus() int {
	switch r {
	case ReasonBadRequest, ReasonMissingKey:
		return http.StatusBadRequest
	case ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case ReasonUnknownService:
		return http.StatusNotFound
	case ReasonUnknownTeam:
		return http.StatusForbidden
	case ReasonUnauthorized:
		return http.StatusUnauthorized
	case ReasonKeyConflict:
		return http.StatusUnprocessableEntity
	case ReasonKeyInProgress, ReasonKeyUnresolved, ReasonKeyExpired:
		return http.StatusConflict
	case ReasonQueueFull, ReasonTeamShare, ReasonRetryBudget:
		return http.StatusTooManyRequests
	case ReasonDeadline:
		return http.StatusGatewayTimeout
	case ReasonBackendError, ReasonTruncatedAnswer, ReasonWeightsChanged, ReasonBadFrame:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// CallerFault reports whether the reason lies in what the caller sent, so that
// sending the same request again cannot help.
func (r Reason) CallerFault() bool {
	switch r {
	case ReasonBadRequest, ReasonBodyTooLarge, ReasonUnknownService, ReasonUnknownTeam,
		ReasonUnauthorized, ReasonMissingKey, ReasonKeyConflict, ReasonKeyExpired:
		return true
	default:
		return false
	}
}
