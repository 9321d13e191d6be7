// Package balancer makes the decisions of a reverse proxy that spreads requests over HTTP backends: which
// endpoint takes a request, what is queued, what is rejected, what is retried. It does no input or output of
// its own. A node hands events to a Balancer and carries out the Commands that it answers with.
//
// This file is the whole interface. balancer.go dispatches the events; each other file decides on the one
// subject that it is named after. internal/safety decides whether something may be sent or retried now, and
// internal/staleness for how long an endpoint list may be used. The mechanism follows Katsalis, Tassioulas
// and Viniotis; docs/design.md says what was kept of the paper and where the package departs from it.
package balancer

import "tulipglade/internal/safety"

// Time is a point on the node's monotonic clock, in microseconds.
type Time = int64

// Span is a length of time, in microseconds.
type Span = int64

// EndpointID identifies an endpoint. The package only compares it.
type EndpointID uint64

// RequestID identifies a request among those that are open.
type RequestID uint64

// TimerID identifies a timer; the node hands it back as it got it.
type TimerID uint64

// Idempotency says how often a request may run.
type Idempotency = safety.Idempotency

// KeyScope is the group of endpoints that drops repeats of a request with an idempotency key.
type KeyScope = safety.KeyScope

// The kinds of idempotency, and the scopes of idempotency keys.
const (
	Idempotent      = safety.Idempotent
	IdempotentByKey = safety.IdempotentByKey // repeats are dropped within KeyScope for the window
	NonIdempotent   = safety.NonIdempotent   // must never run twice
	ScopeAll        = safety.ScopeAll
	ScopeZone       = safety.ScopeZone
	ScopeCell       = safety.ScopeCell
)

// Class is a kind of request.
type Class struct {
	LatencyObjective  Span // an answer within this time has its full value
	Deadline          Span // clients give up after this time
	IdempotencyWindow Span // repeats of a key are dropped for this long
	Idempotency       Idempotency
	KeyScope          KeyScope
	LateValue         float64 // value of an answer past the objective, as a fraction
	PriorityWeight    float64 // of one request beside one of another class; 0: 1
}

// Tenant is one of those who share the service.
type Tenant struct {
	QuotaFraction  float64 // of the service's capacity
	QuotaPerSecond float64 // requests per second over all nodes, 0 if not known
}

// Config is what a node tells the balancer at its start. Zero values are valid unless New says otherwise.
type Config struct {
	Zone               int // the node's own
	PeerCount          int // number of nodes
	PeerIndex          int // the node's number among them, from 0: it spreads nodes evenly over the endpoints
	Classes            []Class
	Tenants            []Tenant // none: all requests belong to one tenant
	MaxAttempts        int      // 0: 1
	AllowHedging       bool     // two attempts of a request may be in flight together
	AllowCancel        bool     // attempts may be canceled
	AllowHealthChecks  bool
	PollDiscovery      bool    // the endpoint list comes only after WatchEndpoints or PollEndpoints
	PollInterval       Span    // longest time between two calls to discovery while no watch is open
	ListLease          Span    // requests are sent for so long after proof of a current list; 0: always
	TickInterval       Span    // shortest time between two rounds of events
	MaxRetryAfter      Span    // longest Retry-After that clients obey; 0: none is given
	SlowStartInitial   float64 // an endpoint starts with at least this part of its capacity
	SlowStartDuration  Span    // and has all of it after this time
	OverloadFactor     float64 // a warming endpoint that is sent more than this multiple of its capacity
	OverloadWindow     Span    // for this long becomes overloaded; 0: no such limit
	CrossZoneCost      float64 // price of sending to another zone; 0: none
	ClientsMarkRetries bool    // clients mark their retries
	KeyAffinity        bool    // an endpoint that has lately seen a key does less work for it
	HealthCheckCost    float64 // price of a health check, as a part of a request's value
}

// Phase is the state of an endpoint by the endpoint list.
type Phase uint8

// The phases of an endpoint.
const (
	PhaseRemoved Phase = iota
	PhaseReady
	PhaseDraining
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID         EndpointID
	StableKey  uint64 // the same at every node; 0: use the ID
	Phase      Phase
	Zone, Cell int
	Weight     float64 // nominal capacity, beside that of others; 0: not known
	StartedAt  Time    // 0: long ago
}

// NoEvidence stands for the time at which a list was current, where it proves nothing of what is current.
const NoEvidence Time = -1 << 63

// ListKind says what a HandleEndpoints event carries.
type ListKind uint8

// NotificationDeadline is the time after which a change that discovery has, and that can be fetched, counts
// as notified to a node, whether or not it has arrived (protocol, figures).
const NotificationDeadline Span = 6_000_000

// The kinds of HandleEndpoints events.
const (
	ListDelta      ListKind = iota // changes since an earlier list
	ListFull                       // all endpoints
	ListCached                     // all endpoints, from the configuration or an earlier process
	ListFailed                     // the call was refused, or its connection broke
	ListTimeout                    // the call had no answer; other nodes' watches may still get changes
	ListOverloaded                 // the call was rejected after a wait: discovery has too many callers
	ListInvalid                    // discovery answered, but with nothing that can be used as a list
	listKindCount
)

var listKindNames = [listKindCount]string{
	ListDelta:      "changes",
	ListFull:       "full list",
	ListCached:     "cached list",
	ListFailed:     "failed",
	ListTimeout:    "timed out",
	ListOverloaded: "overloaded",
	ListInvalid:    "invalid",
}

// String names the kind as logs do.
func (k ListKind) String() string {
	if k < listKindCount {
		return listKindNames[k]
	}
	return "unknown"
}

// LoadReport is an endpoint's own account of its load; a field that is not reported is negative.
type LoadReport struct{ Outstanding, Backlog, Utilization float64 }

// Outcome is how an attempt or a health check ended.
type Outcome uint8

// The outcomes. OutcomeRejected, OutcomeConnectFailed and OutcomeNotSent prove that the attempt never ran.
const (
	OutcomeOK            Outcome = 10
	OutcomeServerError   Outcome = 20
	OutcomeRejected      Outcome = 30
	OutcomeTimeout       Outcome = 40
	OutcomeConnectFailed Outcome = 50
	OutcomeReset         Outcome = 60
	OutcomeCanceled      Outcome = 70
	OutcomeNotSent       Outcome = 80
)

// Request is a client's request.
type Request struct {
	ID            RequestID
	Class, Tenant int
	Deadline      Time   // when this client gives up
	AffinityKey   uint64 // what the request is about, the same at every node; 0: not known
	IsRetry       bool   // the client marked it as a retry
	CostHint      Span   // rough time that it takes on a core of usual speed; 0: not known
}

// AttemptResult is the end of one attempt.
type AttemptResult struct {
	ID          RequestID
	Attempt     int
	Endpoint    EndpointID
	Outcome     Outcome
	Latency     Span
	RequestDone bool // the client has its answer
	Load        *LoadReport
}

// Commands is what a node does for the balancer. The attempts of a request are numbered from 0 in the order
// of SendAttempt. Commands are called from within the event methods only, and must not call back.
type Commands interface {
	SendAttempt(id RequestID, endpoint EndpointID, timeout Span) // timeout 0: until the client gives up
	CancelAttempt(id RequestID, attempt int)
	Reject(id RequestID, retryAfter Span) // final: a retry by the client does no harm
	Fail(id RequestID)                    // final: the request may have run
	CheckHealth(endpoint EndpointID)
	SetTimer(id TimerID, delay Span)
	WatchEndpoints(on bool)
	PollEndpoints()
	Log(text string)
}
