// Package safety decides whether something may be done now: an attempt be sent, a request be repeated, a refusal be given, a
// connection be closed, a new request be taken. It is asked when a decision is made and again when it takes effect, since backends drain,
// clients leave and time passes in between. It does no input or output and keeps no state.
package safety

// Time is a point on the caller's monotonic clock and Span a length of time, both in microseconds.
type (
	Time = int64
	Span = int64
)

// Effect says how often a request may run.
type Effect uint8

// The kinds of effect.
const (
	Repeatable Effect = iota
	ByKey             // repeats are dropped by the backends of one Scope for Rules.Window
	Once              // must never run twice
)

// Scope is the group of backends that drops the repeats of a ByKey request.
type Scope uint8

// The groups of backends.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Reason says why something may not be done. The zero value allows it.
type Reason uint8

// The reasons.
const (
	Allowed         Reason = iota
	RequestOver            // it has its final answer, or its answer has begun
	ClientGone             // its client has closed the connection or cancelled
	DeadlinePassed         // its client no longer waits
	AttemptsUsed           // it has had as many attempts as the settings allow
	AttemptInFlight        // another attempt is out, and second copies are not allowed
	ListStale              // the list of backends is not known to be current
	BackendLeaving         // the backend drains or is gone
	MayHaveRun             // it may have run already, and must not run twice
	WindowOver             // repeats of its key are not dropped any longer
	OutsideScope           // repeats of its key are not dropped there
	RequestOpen            // the connection carries a request that has no answer yet
	InputUnread            // the connection holds input that nobody has read
	ShuttingDown           // the process takes no more requests
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
	Effect Effect
	Scope  Scope
	Window Span // repeats of a key are dropped for so long after the first attempt was sent
	Spare  Span // of the window, for what passes between a decision and the backend's clock
}

// Backend is where an attempt would go.
type Backend struct {
	InService  bool // by the last list heard of
	Zone, Cell int
}

// Earlier is an attempt of the same request that has run, or may have.
type Earlier struct {
	SentAt     Time
	Zone, Cell int
}

// Repeat tells whether a request of which an earlier attempt may have run may be sent to a backend. Without an earlier attempt it may;
// without a backend the question is whether there could be one at all.
func Repeat(now Time, rules Rules, earlier *Earlier, at *Backend) Reason {
	switch {
	case earlier == nil || rules.Effect == Repeatable:
		return Allowed
	case rules.Effect == Once:
		return MayHaveRun
	case now-earlier.SentAt+rules.Spare >= rules.Window:
		return WindowOver
	case at == nil || rules.Scope == ScopeAll:
		return Allowed
	case rules.Scope == ScopeZone && earlier.Zone == at.Zone, rules.Scope == ScopeCell && earlier.Cell == at.Cell:
		return Allowed
	}
	return OutsideScope
}

// Refuse tells whether a refusal, which promises that a repeat does no harm, would be true.
func Refuse(rules Rules, earlier *Earlier) Reason {
	if earlier == nil || rules.Effect == Repeatable || rules.Effect == ByKey && rules.Scope == ScopeAll {
		return Allowed
	}
	return MayHaveRun
}

// Send is what the sending of an attempt depends on. It is checked as the attempt is decided on, and again at its first byte.
type Send struct {
	Now, Deadline Time
	RequestOver   bool
	ClientGone    bool
	ListCurrent   bool // the list of backends is recent enough to send by
	Rules         Rules
	Earlier       *Earlier
	To            Backend
}

// Check tells whether the attempt may be sent.
func (s Send) Check() Reason {
	switch {
	case s.RequestOver:
		return RequestOver
	case s.ClientGone:
		return ClientGone
	case s.Now >= s.Deadline:
		return DeadlinePassed
	case !s.ListCurrent:
		return ListStale
	case !s.To.InService:
		return BackendLeaving
	}
	return Repeat(s.Now, s.Rules, s.Earlier, &s.To)
}

// Attempt is what a further attempt of a request depends on beyond Send: how many it has had.
type Attempt struct {
	Had, Most    int
	InFlight     int
	MayDuplicate bool // two attempts may be in flight together
}

// Check tells whether the request may have one more attempt.
func (a Attempt) Check() Reason {
	switch {
	case a.Had >= a.Most:
		return AttemptsUsed
	case a.InFlight > 0 && !a.MayDuplicate:
		return AttemptInFlight
	}
	return Allowed
}

// Close is what the closing of a client's connection depends on, whatever the close is for.
type Close struct {
	RequestOpen bool // a request has been taken from it, or an answer is on its way out
	Unread      bool // input has come that nobody has read
}

// Check tells whether the connection may be closed.
func (c Close) Check() Reason {
	switch {
	case c.RequestOpen:
		return RequestOpen
	case c.Unread:
		return InputUnread
	}
	return Allowed
}
