package contract

import "net/http"

// Reason is the code that states why a request was refused, retried or ended without
// an answer. Metrics count requests by reason.
type Reason string

// Reasons that concern the caller: its request, its deadline or its connection. Those
// for which CallerFault returns true never lead to a retry.
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

// Reasons that concern load. The caller may retry later.
const (
	ReasonQueueFull   Reason = "queue_full"
	ReasonTeamShare   Reason = "team_share"
	ReasonRetryBudget Reason = "retry_budget"
	ReasonColdStart   Reason = "cold_start"
	ReasonTargetFull  Reason = "target_full"
	ReasonTargetLimit Reason = "target_limit"
	// ReasonTargetBackoff requests find only targets that want none for a while.
	ReasonTargetBackoff Reason = "target_backoff"
	ReasonNoTarget      Reason = "no_target"
	// ReasonPoisonedPrompt requests crash targets, or have a part in their prompt that does.
	ReasonPoisonedPrompt Reason = "poisoned_prompt"
)

// Reasons that concern hosts, zones, settings and weights.
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
	ReasonInternalError    Reason = "internal_error"
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

// HTTPStatus returns the HTTP status of the response to a request that ends with this
// reason.
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

// CallerFault reports whether the reason lies in the request that the caller sent, so
// that the same request would fail again.
func (r Reason) CallerFault() bool {
	switch r {
	case ReasonBadRequest, ReasonBodyTooLarge, ReasonUnknownService, ReasonUnknownTeam,
		ReasonUnauthorized, ReasonMissingKey, ReasonKeyConflict, ReasonKeyExpired:
		return true
	default:
		return false
	}
}
