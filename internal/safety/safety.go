// Package safety decides whether an action is allowed now: sending an attempt, retrying a request, rejecting a
// request, or closing a client's connection. Callers check when they decide on an action and again when it takes
// effect, since in between backends may drain, clients may disconnect and deadlines may pass. The package performs no
// input or output and keeps no state.
package safety

// Time is a point on the caller's monotonic clock, in microseconds.
type Time = int64

// Span is a length of time, in microseconds.
type Span = int64

// Idempotency states whether a request may be executed more than once.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may be executed any number of times
	IdempotentByKey                    // backends in one KeyScope drop repeats of a key within the policy's Window
	NonIdempotent                      // must never be executed twice
)

// KeyScope is the group of backends within which repeats of an idempotency key are dropped.
type KeyScope uint8

// The key scopes.
const (
	ScopeAll  KeyScope = iota // all backends
	ScopeZone                 // the backends of one zone
	ScopeCell                 // the backends of one cell
)

// Reason is why an action is not allowed. The zero value means that it is allowed.
type Reason uint8

// The reasons.
const (
	Allowed                  Reason = iota
	RequestDone                     // the request has its final answer, or its response has started
	ClientDisconnected              // the client has closed the connection or canceled the request
	DeadlinePassed                  // the request's deadline has passed, so the client no longer waits
	AttemptsUsed                    // the request has had as many attempts as the configuration allows
	AttemptInFlight                 // another attempt of the request is in flight, and hedging is not allowed
	ListStale                       // the endpoint list is not known to be current
	BackendDraining                 // the backend is draining or removed
	MayHaveExecuted                 // an attempt may have been executed, and the request must not be executed twice
	IdempotencyWindowExpired        // backends no longer drop repeats of the request's idempotency key
	OutsideKeyScope                 // the backend is outside the group that drops repeats of the request's idempotency key
	RequestInProgress               // the connection carries a request that has not been answered
	UnreadInput                     // the connection has received input that has not been read
	ShuttingDown                    // the process accepts no more requests
	reasonCount
)

var reasonNames = [reasonCount]string{
	Allowed:                  "allowed",
	RequestDone:              "request done",
	ClientDisconnected:       "client disconnected",
	DeadlinePassed:           "deadline passed",
	AttemptsUsed:             "attempts used",
	AttemptInFlight:          "attempt in flight",
	ListStale:                "list stale",
	BackendDraining:          "backend draining",
	MayHaveExecuted:          "may have executed",
	IdempotencyWindowExpired: "idempotency window expired",
	OutsideKeyScope:          "outside key scope",
	RequestInProgress:        "request in progress",
	UnreadInput:              "unread input",
	ShuttingDown:             "shutting down",
}

// String returns the text of the reason that is used in logs.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return "unknown"
}

// IdempotencyPolicy holds the configured idempotency rules of a request's class.
type IdempotencyPolicy struct {
	Idempotency Idempotency
	KeyScope    KeyScope
	Window      Span // backends drop repeats of a key for this long after the first attempt was sent
	Margin      Span // reserved at the end of the window for the time until the request reaches the backend
}

// Backend describes the backend that an attempt would be sent to.
type Backend struct {
	InService  bool // the last endpoint list has the backend in service: neither draining nor removed
	Zone, Cell int
}

// PriorAttempt is an earlier attempt of the same request that was or may have been executed.
type PriorAttempt struct {
	SentAt     Time
	Zone, Cell int
}

// MayRetry checks whether a request may be sent to a backend although the prior attempt may have been executed. A nil
// prior means that no attempt can have been executed; the request may then always be sent. With a nil backend MayRetry
// checks whether the request could be sent to any backend at all.
func MayRetry(now Time, policy IdempotencyPolicy, prior *PriorAttempt, backend *Backend) Reason {
	switch {
	case prior == nil || policy.Idempotency == Idempotent:
		return Allowed
	case policy.Idempotency == NonIdempotent:
		return MayHaveExecuted
	case now-prior.SentAt+policy.Margin >= policy.Window:
		return IdempotencyWindowExpired
	case backend == nil || policy.KeyScope == ScopeAll:
		return Allowed
	case policy.KeyScope == ScopeZone && prior.Zone == backend.Zone:
		return Allowed
	case policy.KeyScope == ScopeCell && prior.Cell == backend.Cell:
		return Allowed
	}
	return OutsideKeyScope
}

// MayReject checks whether a request may be rejected. A rejection promises the client that a retry does no harm. This
// does not hold for a request that may have been executed, unless it is idempotent or all backends drop its repeats.
func MayReject(policy IdempotencyPolicy, prior *PriorAttempt) Reason {
	droppedEverywhere := policy.Idempotency == IdempotentByKey && policy.KeyScope == ScopeAll
	if prior == nil || policy.Idempotency == Idempotent || droppedEverywhere {
		return Allowed
	}
	return MayHaveExecuted
}

// SendConditions holds the state that decides whether an attempt may be sent. It is checked when the attempt is decided
// on, and again right before its first byte is written.
type SendConditions struct {
	Now, Deadline      Time
	RequestDone        bool
	ClientDisconnected bool
	ListCurrent        bool // the endpoint list was recently shown to be current
	IdempotencyPolicy  IdempotencyPolicy
	Prior              *PriorAttempt // nil if no attempt can have been executed
	Backend            Backend
}

// Check returns Allowed if the attempt may be sent, and otherwise the first reason against it.
func (s SendConditions) Check() Reason {
	switch {
	case s.RequestDone:
		return RequestDone
	case s.ClientDisconnected:
		return ClientDisconnected
	case s.Now >= s.Deadline:
		return DeadlinePassed
	case !s.ListCurrent:
		return ListStale
	case !s.Backend.InService:
		return BackendDraining
	}
	return MayRetry(s.Now, s.IdempotencyPolicy, s.Prior, &s.Backend)
}

// AttemptLimits holds the attempt counts of a request and their limits, which apply to a further attempt in addition to
// SendConditions.
type AttemptLimits struct {
	Made, Max    int
	InFlight     int
	AllowHedging bool // several attempts of the request may be in flight at the same time
}

// Check returns Allowed if one more attempt may be made, and otherwise the reason against it.
func (a AttemptLimits) Check() Reason {
	switch {
	case a.Made >= a.Max:
		return AttemptsUsed
	case a.InFlight > 0 && !a.AllowHedging:
		return AttemptInFlight
	}
	return Allowed
}

// CloseConditions holds the state that decides whether a client's connection may be closed. The same conditions apply
// whatever the reason for closing it.
type CloseConditions struct {
	RequestInProgress bool // a request was read from the connection, or an answer is being written to it
	UnreadInput       bool // the connection has received input that has not been read
}

// Check returns Allowed if the connection may be closed, and otherwise the reason against it.
func (c CloseConditions) Check() Reason {
	switch {
	case c.RequestInProgress:
		return RequestInProgress
	case c.UnreadInput:
		return UnreadInput
	}
	return Allowed
}
