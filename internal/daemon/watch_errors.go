package daemon

import (
	"errors"
	"fmt"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

var (
	// errNoAnswer is a call that had no complete answer in time. A discovery without capacity for a call rejects it, with 503 or a reset.
	errNoAnswer = errors.New("no answer in time")
	// errOverloaded is a call that was queued by discovery, and then rejected or reset.
	errOverloaded = errors.New("too many callers")
	// errInvalidList is an answer that is not a valid list, or not valid HTTP, whenever it came.
	errInvalidList = errors.New("invalid list")
	// errUnreachable is a call whose connection could not be opened: refused, or no route.
	errUnreachable = errors.New("unreachable")
	// errAddressChanged ends a call to an address of discovery that is no longer configured.
	errAddressChanged = errors.New("address of discovery changed")
	// errConnectionEnded is a connection that discovery closed before its answer was complete.
	errConnectionEnded = errors.New("connection closed before the answer was complete")
)

// statusError is an answer of discovery with a status other than 200.
type statusError struct {
	status int
}

// Error gives the status.
func (e *statusError) Error() string { return fmt.Sprintf("status %d", e.status) }

// checkStatus returns a statusError unless the status is 200.
func checkStatus(status int) error {
	if status == protocol.StatusOK {
		return nil
	}
	return &statusError{status: status}
}

// failureKind is what a failed call means to the decision module.
func failureKind(err error) balancer.ListKind {
	switch {
	case errors.Is(err, errInvalidList):
		return balancer.ListInvalid
	case errors.Is(err, errNoAnswer):
		return balancer.ListTimeout
	case errors.Is(err, errOverloaded):
		return balancer.ListOverloaded
	}
	return balancer.ListFailed
}
