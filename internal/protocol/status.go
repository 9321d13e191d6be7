package protocol

import "errors"

// Status codes of responses. They are declared here because the node does not link net/http, which would cost it
// memory.
const (
	StatusSwitchingProtocols   = 101
	StatusOK                   = 200
	StatusNoContent            = 204
	StatusNotModified          = 304
	StatusBadRequest           = 400
	StatusNotFound             = 404
	StatusMethodNotAllowed     = 405
	StatusRequestTimeout       = 408
	StatusConflict             = 409
	StatusContentTooLarge      = 413
	StatusHeaderFieldsTooLarge = 431
	StatusBadGateway           = 502
	StatusServiceUnavailable   = 503
	StatusGatewayTimeout       = 504
)

// reasonPhrase returns the reason phrase for the status line of a response, or "Answer" for a status without one here.
func reasonPhrase(status int) string {
	switch status {
	case StatusOK:
		return "OK"
	case StatusBadRequest:
		return "Bad Request"
	case StatusNotFound:
		return "Not Found"
	case StatusMethodNotAllowed:
		return "Method Not Allowed"
	case StatusRequestTimeout:
		return "Request Timeout"
	case StatusConflict:
		return "Conflict"
	case StatusContentTooLarge:
		return "Content Too Large"
	case StatusHeaderFieldsTooLarge:
		return "Request Header Fields Too Large"
	case StatusBadGateway:
		return "Bad Gateway"
	case StatusServiceUnavailable:
		return "Service Unavailable"
	case StatusGatewayTimeout:
		return "Gateway Timeout"
	}
	return "Answer"
}

// RejectionStatus returns the status of the response to a request that ParseRequest has rejected with err.
func RejectionStatus(err error) int {
	switch {
	case errors.Is(err, ErrHeadTooLarge):
		return StatusHeaderFieldsTooLarge
	case errors.Is(err, ErrBodyTooLarge):
		return StatusContentTooLarge
	}
	return StatusBadRequest
}
