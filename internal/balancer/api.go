// Package balancer makes the decisions of a reverse proxy that distributes requests over HTTP backends: to
// which endpoint a request is sent, and whether it is queued, rejected or retried. The package does no input
// or output of its own. A node passes events to a Balancer, which calls the node's Commands in response.
//
// This file declares the types that a node and a Balancer exchange. balancer.go handles the events; each
// other file is responsible for the subject that it is named after. internal/safety decides whether a request
// may be sent or retried now, and internal/staleness decides how long an endpoint list may be used. The
// mechanism follows Katsalis, Tassioulas and Viniotis; docs/design.md states which parts of the paper are
// implemented and where the package departs from it.
package balancer

import "tulipglade/internal/safety"

// Time is a point in time on the node's monotonic clock, in microseconds.
type Time = int64

// Span is a duration in microseconds.
type Span = int64

// EndpointID identifies an endpoint. The package uses it for comparison only.
type EndpointID uint64

// RequestID identifies a request among the open requests of a node.
type RequestID uint64

// TimerID identifies a timer. The node passes it back unchanged when the timer expires.
type TimerID uint64

// Idempotency states how often a request may be executed.
type Idempotency = safety.Idempotency

// KeyScope is the group of endpoints within which repeats of a request with an idempotency key are dropped.
type KeyScope = safety.KeyScope

// The idempotency of requests, and the scopes of idempotency keys.
const (
	Idempotent      = safety.Idempotent
	IdempotentByKey = safety.IdempotentByKey // endpoints in KeyScope drop repeats during IdempotencyWindow
	NonIdempotent   = safety.NonIdempotent   // must never be executed twice
	ScopeAll        = safety.ScopeAll
	ScopeZone       = safety.ScopeZone
	ScopeCell       = safety.ScopeCell
)

// Class is the configuration of a class of requests, which share objectives and idempotency.
type Class struct {
	LatencyObjective  Span // an answer within this time has its full value
	Deadline          Span // the time after which clients give up
	IdempotencyWindow Span // endpoints drop repeats of an idempotency key for this long
	Idempotency       Idempotency
	KeyScope          KeyScope
	LateValue         float64 // value of an answer after the objective, as a fraction of its full value
	PriorityWeight    float64 // value of a request relative to those of other classes; 0 means 1
}

// Tenant is the quota of a tenant, one of those that share the capacity of the service.
type Tenant struct {
	QuotaFraction  float64 // part of the service's capacity, relative to the fractions of other tenants
	QuotaPerSecond float64 // requests per second over all nodes, 0 if unknown; not used by the balancer
}

// Config is the configuration of a Balancer. A zero value is valid for each field except Classes and the
// deadlines of its classes: New returns an error if one of these is missing.
type Config struct {
	Zone               int // the zone of the node
	PeerCount          int // number of nodes, including this one
	PeerIndex          int // index of this node, from 0; spreads the nodes evenly over the endpoints
	Classes            []Class
	Tenants            []Tenant // if empty, all requests belong to one tenant
	MaxAttempts        int      // attempts per request, the first included; 0 means 1
	AllowHedging       bool     // two attempts of a request may be in flight; not used by the balancer
	AllowCancel        bool     // attempts in flight may be canceled
	AllowHealthChecks  bool     // endpoints may be asked for their load
	PollDiscovery      bool     // endpoint lists arrive only after WatchEndpoints or PollEndpoints
	PollInterval       Span     // longest interval between calls to discovery while no watch is open
	ListLease          Span     // how long requests are sent after evidence of a current list; 0: no limit
	TickInterval       Span     // shortest interval at which the node handles events
	MaxRetryAfter      Span     // Retry-After of rejections, the longest that clients obey; 0: not sent
	SlowStartInitial   float64  // fraction of its capacity that an endpoint has at least when it starts
	SlowStartDuration  Span     // time after its start at which an endpoint has its full capacity
	OverloadFactor     float64  // a warming endpoint becomes overloaded if it is sent more than this
	OverloadWindow     Span     // multiple of its capacity for this long; 0 for either: no limit
	CrossZoneCost      float64  // cost of an attempt in another zone; not used by the balancer
	ClientsMarkRetries bool     // clients mark their retries as such
	KeyAffinity        bool     // an endpoint does less work for an affinity key that it has seen recently
	HealthCheckCost    float64  // cost of a health check, as a fraction of a request's value
}

// Phase is the state of an endpoint according to the endpoint list.
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
	StableKey  uint64 // identifies the endpoint at every node; 0: the ID does
	Phase      Phase
	Zone, Cell int
	Weight     float64 // nominal capacity, relative to other endpoints; 0: unknown
	StartedAt  Time    // start of the endpoint's process; 0: long ago
}

// NoEvidence replaces the time as of which a list was current if the list is no evidence of being current.
const NoEvidence Time = -1 << 63

// ListKind is the kind of a HandleEndpoints event: a list, or the way in which a call for one failed.
type ListKind uint8

// NotificationDeadline is the time after which a node is considered notified of a change, whether or not the
// change has reached it. The time starts when discovery has the change and the node can fetch it (protocol,
// figures).
const NotificationDeadline Span = 6_000_000

// The kinds of HandleEndpoints events.
const (
	ListDelta      ListKind = iota // the changes since an earlier list
	ListFull                       // all endpoints, from discovery
	ListCached                     // all endpoints, from the configuration or an earlier process
	ListFailed                     // the call was refused, or its connection was broken
	ListTimeout                    // the call had no answer; watches of other nodes may still receive changes
	ListOverloaded                 // the call was rejected after a wait, as discovery has too many callers
	ListInvalid                    // discovery answered, but not with a usable list
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

// String returns the name of the kind that is used in logs.
func (k ListKind) String() string {
	if k < listKindCount {
		return listKindNames[k]
	}
	return "unknown"
}

// LoadReport is the load that an endpoint reports: the requests that it holds, those of them that wait, and
// the used fraction of its capacity. A field that is not reported is negative.
type LoadReport struct{ Outstanding, Backlog, Utilization float64 }

// Outcome is the result of an attempt or a health check.
type Outcome uint8

// The outcomes. OutcomeRejected, OutcomeConnectFailed and OutcomeNotSent prove that the attempt was never
// executed.
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

// Request is the description of a client's request.
type Request struct {
	ID            RequestID
	Class, Tenant int
	Deadline      Time   // time at which this client gives up
	AffinityKey   uint64 // hash of the request's subject, the same at every node; 0: unknown
	IsRetry       bool   // the client has marked it as a retry
	CostHint      Span   // client's estimate of its time on a core of usual speed; 0: unknown
}

// AttemptResult is the result of one attempt.
type AttemptResult struct {
	ID          RequestID
	Attempt     int
	Endpoint    EndpointID
	Outcome     Outcome
	Latency     Span
	RequestDone bool        // the client has received its final answer
	Load        *LoadReport // sent with the answer; nil if there was none
}

// Commands is the interface through which a Balancer acts on its node. The attempts of a request are numbered
// from 0 in the order of SendAttempt. A Balancer calls its Commands only while it handles an event, and they
// must not call the Balancer.
type Commands interface {
	SendAttempt(id RequestID, endpoint EndpointID, timeout Span) // timeout 0: none but the client's deadline
	CancelAttempt(id RequestID, attempt int)
	Reject(id RequestID, retryAfter Span) // final answer: it is safe for the client to retry
	Fail(id RequestID)                    // final answer: the request may have been executed
	CheckHealth(endpoint EndpointID)
	SetTimer(id TimerID, delay Span)
	WatchEndpoints(on bool)
	PollEndpoints()
	Log(text string)
}
