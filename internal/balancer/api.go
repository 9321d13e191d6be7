// Package balancer makes the decisions of a reverse proxy that spreads requests over HTTP servers: which
// host takes a request, what is held, what is refused, what is tried again. It does no input or output of
// its own. A gateway hands events to a Balancer and carries out the Actions it answers with.
//
// This file is the whole interface; balancer.go ties the decisions together. internal/safety decides whether
// something may be sent or repeated now, and internal/staleness for how long a list of hosts may be used.
package balancer

import "tulipglade/internal/safety"

// Time is a point on the gateway's clock and Span a length of time, both in microseconds.
type (
	Time = int64
	Span = int64
)

// EndpointID, ReqID and Token are opaque to the module, but for being equal or not.
type (
	EndpointID uint64
	RequestID  uint64
	TimerID    uint64
)

// Idempotency says how often a request may run, and Scope which group of hosts drops the repeats of a ByKey
// request.
type (
	Idempotency = safety.Idempotency
	KeyScope    = safety.KeyScope
)

// The kinds of effect, and the groups of hosts.
const (
	Idempotent      = safety.Idempotent
	IdempotentByKey = safety.IdempotentByKey // repeats are dropped by the hosts of one Scope for Class.Window
	NonIdempotent   = safety.NonIdempotent   // must never run twice
	ScopeAll        = safety.ScopeAll
	ScopeZone       = safety.ScopeZone
	ScopeCell       = safety.ScopeCell
)

// Class is a kind of request.
type Class struct {
	LatencyObjective, Deadline, IdempotencyWindow Span // answer wanted within; given up after; repeats dropped for
	Idempotency                                   Idempotency
	KeyScope                                      KeyScope
	LateValue                                     float64 // worth of an answer past the aim, as a fraction
	PriorityWeight                                float64 // of one request beside one of another class; 0: 1
}

// Tenant is one of those who share the service.
type Tenant struct {
	QuotaFraction  float64 // fraction of the service
	QuotaPerSecond float64 // requests per second over all gateways, 0 if not told
}

// Config is what a gateway tells the module at start. Zero values are sound unless New says otherwise.
type Config struct {
	Zone, PeerCount    int // own zone; number of gateways
	PeerIndex          int // own number among them, from 0: it spreads them evenly over the hosts
	Classes            []Class
	Tenants            []Tenant // none: all requests belong to one tenant
	MaxAttempts        int      // 0: 1
	AllowHedging       bool     // two attempts of a request may be in flight together
	AllowCancel        bool
	AllowHealthChecks  bool
	PollDiscovery      bool    // the list of hosts comes only after Observe or Fetch
	PollInterval       Span    // longest silence towards discovery while not subscribed
	ListLease          Span    // requests are sent by a list for so long after a proof of it; 0: for ever
	TickInterval       Span    // least time between two rounds of events
	MaxRetryAfter      Span    // longest wait a refused client obeys; 0: no advice given
	SlowStartInitial   float64 // a host starts at this share of its capacity or more
	SlowStartDuration  Span    // and has all of it after this
	OverloadFactor     float64 // a cold host sent more than this multiple of its capacity
	OverloadWindow     Span    // for this long falls over; 0: no such limit
	CrossZoneCost      float64 // price of crossing zones; 0: none
	ClientsMarkRetries bool    // clients mark their repeats
	KeyAffinity        bool    // a host that has lately met a key does less work for it
	HealthCheckCost    float64 // price of a probe, in requests' worth
}

// Phase is what discovery says of a host.
type Phase uint8

// The phases of a host.
const (
	PhaseRemoved Phase = iota
	PhaseReady
	PhaseDraining
)

// Endpoint is one line of the list of hosts.
type Endpoint struct {
	ID         EndpointID
	StableKey  uint64 // the same at every gateway; 0: the ID is
	Phase      Phase
	Zone, Cell int
	Weight     float64 // nominal capacity, beside that of others; 0: not told
	StartedAt  Time    // 0: long ago
}

// ListKind says what a Members event carries.
type ListKind uint8

// NotificationDeadline is how long after discovery has a change, and can be reached, that counts as told to a gateway,
// whether or not it has arrived (protocol, figures). By then a gateway must have been answered.
const NotificationDeadline Span = 6_000_000

// The kinds of Members events.
const (
	ListDelta ListKind = iota
	ListFull
	ListCached
	ListFailed     // the call was refused, or broke off
	ListTimeout    // it was not answered at all: where it was a watch, others may still hear of changes
	ListOverloaded // it was turned away after it had stood in line: discovery has more callers than it can answer
)

// LoadReport is a host's own account of its load; a field not reported is negative.
type LoadReport struct{ Outstanding, Backlog, Utilization float64 }

// Outcome is how an attempt or a probe ended.
type Outcome uint8

// The outcomes. Full, ConnectFailed and Moot prove that the attempt never ran.
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
	AffinityKey   uint64 // what the request is about, the same at every gateway; 0: not told
	IsRetry       bool   // the client marked it as a repeat
	CostHint      Span   // of the work it takes on a core of the usual speed, roughly; 0: not told
}

// AttemptResult is the end of one attempt. Closed: the client has its answer.
type AttemptResult struct {
	ID          RequestID
	Attempt     int
	Endpoint    EndpointID
	Outcome     Outcome
	Latency     Span
	RequestDone bool
	Load        *LoadReport
}

// Commands is what a gateway does for the module. Attempts of a request are numbered from 0 in the order of
// Try. Calls come from within the event methods only, and must not call back.
type Commands interface {
	SendAttempt(id RequestID, host EndpointID, timeout Span) // timeout 0: until the client gives up
	CancelAttempt(id RequestID, attempt int)
	Reject(id RequestID, retryIn Span) // final: refused, trying again does no harm
	Fail(id RequestID)                 // final: failed, nothing promised
	CheckHealth(host EndpointID)
	SetTimer(token TimerID, delay Span)
	WatchEndpoints(on bool)
	PollEndpoints()
	Log(text string)
}
