// Package safety decides whether something may be done now: an attempt be sent, a request be retried, a rejection
// be given, a connection be closed. It is asked when a decision is made and again when it takes effect, since in
// between backends drain, clients disconnect and time passes. It does no input or output and keeps no state.
package safety

// Time is a point on the caller's monotonic clock, in microseconds.
type Time = int64

// Span is a length of time, in microseconds.
type Span = int64

// Idempotency says how often a request may run.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota
	IdempotentByKey             // backends of one KeyScope drop repeats of a key for Rules.Window
	NonIdempotent               // must never run twice
)

// KeyScope is the group of backends that drops repeats of an idempotency key.
type KeyScope uint8

// The key scopes: all backends, those of a zone, those of a cell.
const (
	ScopeAll KeyScope = iota
	ScopeZone
	ScopeCell
)

// Reason says why something may not be done. The zero value allows it.
type Reason uint8

// The reasons.
const (
	Allowed                  Reason = iota
	RequestDone                     // it has its final answer, or its response has started
	ClientDisconnected              // its client has closed the connection or canceled the request
	DeadlinePassed                  // its client no longer waits
	AttemptsUsed                    // it has had as many attempts as the configuration allows
	AttemptInFlight                 // another attempt is in flight, and hedging is not allowed
	ListStale                       // the endpoint list is not known to be current
	BackendDraining                 // the backend is draining or removed
	MayHaveExecuted                 // it may have run already, and must not run twice
	IdempotencyWindowExpired        // repeats of its key are not dropped any longer
	OutsideKeyScope                 // repeats of its key are not dropped there
	RequestInProgress               // the connection carries a request without an answer
	UnreadInput                     // the connection has input that was not read
	ShuttingDown                    // the process takes no more requests
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

// String names the reason as logs do.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return "unknown"
}

// IdempotencyPolicy are what the configuration says of a request's class.
type IdempotencyPolicy struct {
	Idempotency Idempotency
	KeyScope    KeyScope
	Window      Span // repeats of a key are dropped for this long after the first attempt was sent
	Margin      Span // part of the window that is kept for the time until the backend has the request
}

// Backend is where an attempt would be sent.
type Backend struct {
	InService  bool // by the last endpoint list
	Zone, Cell int
}

// PriorAttempt is an attempt of the same request that has run, or may have.
type PriorAttempt struct {
	SentAt     Time
	Zone, Cell int
}

// MayRetry tells whether a request may be sent to a backend although an earlier attempt may have run. Without such
// an attempt it may. With a nil backend the question is whether there could be one at all.
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

// MayReject tells whether a rejection, which promises that a retry does no harm, would be true.
func MayReject(policy IdempotencyPolicy, prior *PriorAttempt) Reason {
	droppedEverywhere := policy.Idempotency == IdempotentByKey && policy.KeyScope == ScopeAll
	if prior == nil || policy.Idempotency == Idempotent || droppedEverywhere {
		return Allowed
	}
	return MayHaveExecuted
}

// SendConditions is what the sending of an attempt depends on. It is checked when the attempt is decided on, and again at its
// first byte.
type SendConditions struct {
	Now, Deadline      Time
	RequestDone        bool
	ClientDisconnected bool
	ListCurrent        bool // there is recent evidence that the endpoint list is current
	IdempotencyPolicy  IdempotencyPolicy
	Prior              *PriorAttempt // nil if no attempt may have run
	Backend            Backend
}

// Check tells whether the attempt may be sent.
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

// AttemptLimits is what one more attempt of a request depends on beyond Send: how many it has had.
type AttemptLimits struct {
	Made, Max    int
	InFlight     int
	AllowHedging bool // two attempts may be in flight together
}

// Check tells whether the request may have one more attempt.
func (a AttemptLimits) Check() Reason {
	switch {
	case a.Made >= a.Max:
		return AttemptsUsed
	case a.InFlight > 0 && !a.AllowHedging:
		return AttemptInFlight
	}
	return Allowed
}

// CloseConditions is what the closing of a client's connection depends on, whatever it is closed for.
type CloseConditions struct {
	RequestInProgress bool // a request was read from it, or an answer is being written
	UnreadInput       bool // it has input that was not read
}

// Check tells whether the connection may be closed.
func (c CloseConditions) Check() Reason {
	switch {
	case c.RequestInProgress:
		return RequestInProgress
	case c.UnreadInput:
		return UnreadInput
	}
	return Allowed
}
