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

// HostID, ReqID and Token are opaque to the module, but for being equal or not.
type (
	HostID uint64
	ReqID  uint64
	Token  uint64
)

// Effect says how often a request may run, and Scope which group of hosts drops the repeats of a ByKey
// request.
type (
	Effect = safety.Effect
	Scope  = safety.Scope
)

// The kinds of effect, and the groups of hosts.
const (
	Repeatable = safety.Repeatable
	ByKey      = safety.ByKey // repeats are dropped by the hosts of one Scope for Class.Window
	Once       = safety.Once  // must never run twice
	ScopeAll   = safety.ScopeAll
	ScopeZone  = safety.ScopeZone
	ScopeCell  = safety.ScopeCell
)

// Class is a kind of request.
type Class struct {
	Aim, Deadline, Window Span // answer wanted within; given up after; repeats dropped for
	Effect                Effect
	Scope                 Scope
	LateShare             float64 // worth of an answer past the aim, as a fraction
	Worth                 float64 // of one request beside one of another class; 0: 1
}

// Tenant is one of those who share the service.
type Tenant struct {
	Share float64 // fraction of the service
	Quota float64 // requests per second over all gateways, 0 if not told
}

// Config is what a gateway tells the module at start. Zero values are sound unless New says otherwise.
type Config struct {
	Zone, Peers   int // own zone; number of gateways
	Self          int // own number among them, from 0: it spreads them evenly over the hosts
	Classes       []Class
	Tenants       []Tenant // none: all requests belong to one tenant
	MaxAttempts   int      // 0: 1
	MayDuplicate  bool     // two attempts of a request may be in flight together
	MayCancel     bool
	MayProbe      bool
	AskDiscovery  bool    // the list of hosts comes only after Observe or Fetch
	AskEvery      Span    // longest silence towards discovery while not subscribed
	ListLease     Span    // requests are sent by a list for so long after a proof of it; 0: for ever
	Tick          Span    // least time between two rounds of events
	MaxRetryAfter Span    // longest wait a refused client obeys; 0: no advice given
	ColdFrom      float64 // a host starts at this share of its capacity or more
	ColdRamp      Span    // and has all of it after this
	ColdMultiple  float64 // a cold host sent more than this multiple of its capacity
	ColdWindow    Span    // for this long falls over; 0: no such limit
	CrossZone     float64 // price of crossing zones; 0: none
	Marked        bool    // clients mark their repeats
	WarmKeys      bool    // a host that has lately met a key does less work for it
	Probe         float64 // price of a probe, in requests' worth
}

// Phase is what discovery says of a host.
type Phase uint8

// The phases of a host.
const (
	PhaseGone Phase = iota
	PhaseReady
	PhaseDraining
)

// Host is one line of the list of hosts.
type Host struct {
	ID         HostID
	Key        uint64 // the same at every gateway; 0: the ID is
	Phase      Phase
	Zone, Cell int
	Weight     float64 // nominal capacity, beside that of others; 0: not told
	Started    Time    // 0: long ago
}

// ListKind says what a Members event carries.
type ListKind uint8

// ToldWithin is how long after discovery has a change, and can be reached, that counts as told to a gateway,
// whether or not it has arrived (protocol, figures). By then a gateway must have been answered.
const ToldWithin Span = 6_000_000

// The kinds of Members events.
const (
	ListDelta ListKind = iota
	ListFull
	ListCached
	ListFailed // the call was refused, or broke off
	ListSilent // it was not answered at all: where it was a watch, others may still hear of changes
	ListBusy   // it was turned away after it had stood in line: discovery has more callers than it can answer
)

// Report is a host's own account of its load; a field not reported is negative.
type Report struct{ Outstanding, Backlog, Utilization float64 }

// Outcome is how an attempt or a probe ended.
type Outcome uint8

// The outcomes. Full, ConnectFailed and Moot prove that the attempt never ran.
const (
	OK            Outcome = 10
	HostError     Outcome = 20
	Full          Outcome = 30
	TimedOut      Outcome = 40
	ConnectFailed Outcome = 50
	Reset         Outcome = 60
	Cancelled     Outcome = 70
	Moot          Outcome = 80
)

// Arrival is a client's request.
type Arrival struct {
	ID            ReqID
	Class, Tenant int
	Deadline      Time   // when this client gives up
	Key           uint64 // what the request is about, the same at every gateway; 0: not told
	Repeat        bool   // the client marked it as a repeat
	Hint          Span   // of the work it takes on a core of the usual speed, roughly; 0: not told
}

// Settlement is the end of one attempt. Closed: the client has its answer.
type Settlement struct {
	ID      ReqID
	Attempt int
	Host    HostID
	Outcome Outcome
	Took    Span
	Closed  bool
	Report  *Report
}

// Actions is what a gateway does for the module. Attempts of a request are numbered from 0 in the order of
// Try. Calls come from within the event methods only, and must not call back.
type Actions interface {
	Try(id ReqID, host HostID, timeout Span) // timeout 0: until the client gives up
	Cancel(id ReqID, attempt int)
	Decline(id ReqID, retryIn Span) // final: refused, trying again does no harm
	Fail(id ReqID)                  // final: failed, nothing promised
	Probe(host HostID)
	WakeAt(token Token, delay Span)
	Observe(on bool)
	Fetch()
	Log(text string)
}
