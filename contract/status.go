package contract

import "net/http"

// maxFinalStatus is the highest HTTP status that the protocol defines a class for.
const maxFinalStatus = 599

// IsFinalStatus reports whether an HTTP status may be that of a final response: 200 to 599. Parsers let other
// numbers of three digits through, such as 000.
func IsFinalStatus(status int) bool {
	return status >= http.StatusOK && status <= maxFinalStatus
}

// IsInformationalStatus reports whether an HTTP status is that of a response that another one follows on the
// same connection. After StatusSwitchingProtocols none follows.
func IsInformationalStatus(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}
