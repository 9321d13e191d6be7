package daemon

import (
	"errors"
	"log/slog"
	"slices"
	"time"

	"tulipglade/internal/protocol"
)

// callOutcome is the way in which a call to discovery ended, as the debug log names and counts it.
type callOutcome uint8

const (
	callAnswered    callOutcome = iota // answered with changes, or with a full list that has live endpoints
	callEmpty                          // answered with a full list that has no live endpoints
	callInvalid                        // the answer was not a valid list
	callUnreachable                    // the connection could not be opened
	callRejected                       // answered with 503 or another status, reset, or closed early
	callOverloaded                     // as callRejected, but after the call had waited in discovery's queue
	callTimedOut                       // no complete answer before the timeout
	callAbandoned                      // given up as the address of discovery had changed
	numCallOutcomes
)

var callOutcomeNames = [numCallOutcomes]string{
	callAnswered:    "answered",
	callEmpty:       "empty",
	callInvalid:     "invalid",
	callUnreachable: "unreachable",
	callRejected:    "rejected",
	callOverloaded:  "overloaded",
	callTimedOut:    "timed out",
	callAbandoned:   "abandoned",
}

// String returns the name of the outcome in the log.
func (o callOutcome) String() string {
	if o < numCallOutcomes {
		return callOutcomeNames[o]
	}
	return "unknown"
}

// outcome classifies the result by its error and its list.
func (r callResult) outcome() callOutcome {
	switch {
	case r.err == nil && r.list.Full && !hasLiveEndpoint(r.list):
		return callEmpty
	case r.err == nil:
		return callAnswered
	case errors.Is(r.err, errAddressChanged):
		return callAbandoned
	case errors.Is(r.err, errInvalidList):
		return callInvalid
	case errors.Is(r.err, errNoAnswer):
		return callTimedOut
	case errors.Is(r.err, errOverloaded):
		return callOverloaded
	case errors.Is(r.err, errUnreachable):
		return callUnreachable
	}
	return callRejected
}

func hasLiveEndpoint(list protocol.List) bool {
	return slices.ContainsFunc(list.Targets, func(target protocol.Target) bool {
		return target.State != protocol.Terminated
	})
}

// callLog logs each call to discovery at debug level and counts the calls by outcome. Only the goroutine of watch.run
// records calls.
type callLog struct {
	log    *slog.Logger
	counts [numCallOutcomes]int
}

// record counts a call and logs it. revisionBefore is the revision that the watch had before the call.
func (l *callLog) record(result callResult, revisionBefore int64) {
	outcome := result.outcome()
	l.counts[outcome]++
	attributes := []any{
		"outcome", outcome.String(), "count", l.counts[outcome], "address", result.address,
		"took_us", time.Since(result.start).Microseconds(), "rev_before", revisionBefore,
	}
	if result.err != nil {
		attributes = append(attributes, "err", result.err)
	} else {
		attributes = append(attributes, "rev", result.list.Revision, "all", result.list.Full, "entries", len(result.list.Targets))
	}
	l.log.Debug("discovery call", attributes...)
}
