package daemon

import (
	"errors"
	"fmt"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

var (
	// errNoAnswer reports a call without a complete answer before its timeout. It does not mean that discovery is
	// overloaded: a discovery service without capacity for a call rejects it with status 503 or a reset.
	errNoAnswer = errors.New("no answer in time")
	// errOverloaded reports a call that discovery queued, and then rejected or reset.
	errOverloaded = errors.New("discovery is overloaded")
	// errInvalidList reports an answer that is not a valid list or not valid HTTP, however long the call took.
	errInvalidList = errors.New("invalid list")
	// errUnreachable reports that the connection could not be opened, as it was refused or there is no route.
	errUnreachable = errors.New("unreachable")
	// errAddressChanged aborts a call to an address of discovery that is no longer configured.
	errAddressChanged = errors.New("address of discovery changed")
	// errConnectionEnded reports that discovery closed the connection before its answer was complete.
	errConnectionEnded = errors.New("connection closed before the answer was complete")
)

// statusError reports an answer of discovery with a status other than 200.
type statusError struct {
	status int
}

// Error returns a text with the status.
func (e *statusError) Error() string { return fmt.Sprintf("status %d", e.status) }

// checkStatus returns a statusError unless the status is 200.
func checkStatus(status int) error {
	if status == protocol.StatusOK {
		return nil
	}
	return &statusError{status: status}
}

// failureKind returns the kind of failure that the balancer distinguishes for the error of a call.
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
