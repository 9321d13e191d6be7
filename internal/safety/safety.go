// Package safety decides whether something may be done now: an attempt be sent, a request be repeated, a refusal be given, a
// connection be closed, a new request be taken. It is asked when a decision is made and again when it takes effect, since backends drain,
// clients leave and time passes in between. It does no input or output and keeps no state.
package safety

// Time is a point on the caller's monotonic clock and Span a length of time, both in microseconds.
type (
	Time = int64
	Span = int64
)

// Idempotency says how often a request may run.
type Idempotency uint8

// The kinds of effect.
const (
	Idempotent      Idempotency = iota
	IdempotentByKey             // repeats are dropped by the backends of one Scope for Rules.Window
	NonIdempotent               // must never run twice
)

// KeyScope is the group of backends that drops the repeats of a ByKey request.
type KeyScope uint8

// The groups of backends.
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
	RequestDone                     // it has its final answer, or its answer has begun
	ClientDisconnected              // its client has closed the connection or cancelled
	DeadlinePassed                  // its client no longer waits
	AttemptsUsed                    // it has had as many attempts as the settings allow
	AttemptInFlight                 // another attempt is out, and second copies are not allowed
	ListStale                       // the list of backends is not known to be current
	BackendDraining                 // the backend drains or is gone
	MayHaveExecuted                 // it may have run already, and must not run twice
	IdempotencyWindowExpired        // repeats of its key are not dropped any longer
	OutsideKeyScope                 // repeats of its key are not dropped there
	RequestInProgress               // the connection carries a request that has no answer yet
	UnreadInput                     // the connection holds input that nobody has read
	ShuttingDown                    // the process takes no more requests
	reasons
)

var reasonNames = [reasons]string{"allowed", "request over", "client gone", "deadline passed", "attempts used", "attempt in flight",
	"list stale", "backend leaving", "may have run", "window over", "outside scope", "request open", "input unread", "shutting down"}

// String names the reason as logs do.
func (r Reason) String() string {
	if r < reasons {
		return reasonNames[r]
	}
	return "unknown"
}

// Rules are what the settings say of a request's class.
type Rules struct {
	Idempotency Idempotency
	KeyScope    KeyScope
	Window      Span // repeats of a key are dropped for so long after the first attempt was sent
	Margin      Span // of the window, for what passes between a decision and the backend's clock
}

// Backend is where an attempt would go.
type Backend struct {
	InService  bool // by the last list heard of
	Zone, Cell int
}

// PriorAttempt is an attempt of the same request that has run, or may have.
type PriorAttempt struct {
	SentAt     Time
	Zone, Cell int
}

// MayRetry tells whether a request of which an earlier attempt may have run may be sent to a backend. Without an earlier attempt it may;
// without a backend the question is whether there could be one at all.
func MayRetry(now Time, rules Rules, earlier *PriorAttempt, at *Backend) Reason {
	switch {
	case earlier == nil || rules.Idempotency == Idempotent:
		return Allowed
	case rules.Idempotency == NonIdempotent:
		return MayHaveExecuted
	case now-earlier.SentAt+rules.Margin >= rules.Window:
		return IdempotencyWindowExpired
	case at == nil || rules.KeyScope == ScopeAll:
		return Allowed
	case rules.KeyScope == ScopeZone && earlier.Zone == at.Zone, rules.KeyScope == ScopeCell && earlier.Cell == at.Cell:
		return Allowed
	}
	return OutsideKeyScope
}

// MayReject tells whether a refusal, which promises that a repeat does no harm, would be true.
func MayReject(rules Rules, earlier *PriorAttempt) Reason {
	if earlier == nil || rules.Idempotency == Idempotent || rules.Idempotency == IdempotentByKey && rules.KeyScope == ScopeAll {
		return Allowed
	}
	return MayHaveExecuted
}

// Send is what the sending of an attempt depends on. It is checked as the attempt is decided on, and again at its first byte.
type Send struct {
	Now, Deadline      Time
	RequestDone        bool
	ClientDisconnected bool
	ListCurrent        bool // the list of backends is recent enough to send by
	Rules              Rules
	Prior              *PriorAttempt
	Backend            Backend
}

// Check tells whether the attempt may be sent.
func (s Send) Check() Reason {
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
	return MayRetry(s.Now, s.Rules, s.Prior, &s.Backend)
}

// Attempt is what a further attempt of a request depends on beyond Send: how many it has had.
type Attempt struct {
	Made, Max    int
	InFlight     int
	AllowHedging bool // two attempts may be in flight together
}

// Check tells whether the request may have one more attempt.
func (a Attempt) Check() Reason {
	switch {
	case a.Made >= a.Max:
		return AttemptsUsed
	case a.InFlight > 0 && !a.AllowHedging:
		return AttemptInFlight
	}
	return Allowed
}

// Close is what the closing of a client's connection depends on, whatever the close is for.
type Close struct {
	RequestInProgress bool // a request has been taken from it, or an answer is on its way out
	UnreadInput       bool // input has come that nobody has read
}

// Check tells whether the connection may be closed.
func (c Close) Check() Reason {
	switch {
	case c.RequestInProgress:
		return RequestInProgress
	case c.UnreadInput:
		return UnreadInput
	}
	return Allowed
}
