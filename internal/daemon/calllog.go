package daemon

import (
	"errors"
	"log/slog"
	"slices"
	"time"

	"tulipglade/internal/protocol"
)

// callOutcome is how a call to discovery ended.
type callOutcome uint8

const (
	callAnswered    callOutcome = iota // with a list on which there are live endpoints, or with changes
	callEmpty                          // with a full list without live endpoints
	callInvalid                        // with what is not a list
	callUnreachable                    // no connection could be opened
	callRejected                       // 503, another status, a reset or an early end
	callOverloaded                     // the same, after a wait in discovery's queue
	callTimedOut                       // no complete answer in time
	callAbandoned                      // the address of discovery changed
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

// String names the outcome as logs do.
func (o callOutcome) String() string {
	if o < numCallOutcomes {
		return callOutcomeNames[o]
	}
	return "unknown"
}

// outcome returns how the call ended.
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

// callLog logs each call to discovery at debug level, and counts the calls by their outcome. The watch's goroutine uses it.
type callLog struct {
	log    *slog.Logger
	counts [numCallOutcomes]int
}

// record counts a call and logs it, with the revision that the watch had before.
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
