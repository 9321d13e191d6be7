// Package staleness bounds the age of the endpoint list that a node uses to send requests.
//
// Discovery is a node's only source of information about draining and removed endpoints. A list has a revision but no
// age, so a node that has received no answer for a while, or has just started with the list from its configuration,
// can't know whether the list is current. A Lease solves this: each piece of evidence that the list was current at some
// time allows requests to be sent for a fixed duration from that time. The package performs no input or output.
package staleness

// Time is a point on a monotonic clock, in microseconds.
type Time = int64

// Span is a length of time, in microseconds.
type Span = int64

// CallOutcome is how a call to discovery ended, as far as it is evidence of the age of the list in use.
type CallOutcome uint8

// The call outcomes.
const (
	// Answered means that discovery sent a valid answer: the list was current when the answer was written.
	Answered CallOutcome = iota
	// Failed means that the call was refused, reset or rejected: discovery may be down, or only this call failed.
	Failed
	// TimedOut means that the call had no answer in time: discovery may be down, or a newer list was lost in transit.
	TimedOut
	// InvalidAnswer means that discovery sent an answer that can't be used, or that is no evidence of when the list was
	// current: discovery is up, and may have a newer list.
	InvalidAnswer
)

// While discovery is down, no change counts as notified (STANDING.md), so the list stays in use. One failed call
// doesn't show that discovery is down: a change counts as notified 6 s after discovery had it and could be reached,
// whatever the outcome of a call.
const (
	// minOutageCalls is how many consecutive calls must have failed before discovery is considered down.
	minOutageCalls = 2
	// minOutageDuration is the least time from the end of the first of these failed calls to the end of the last one.
	minOutageDuration Span = 2_000_000
	// minUnconfirmedOutage is how long discovery must have answered no call before a list that no answer has confirmed
	// is used. The list of a configuration may be of any age, and after a change of discovery's address, changes of the
	// list count as notified 4 s later.
	minUnconfirmedOutage Span = 5_000_000
)

// Lease allows the endpoint list to be used for sending requests until the lease expires. The zero value never expires.
type Lease struct {
	duration  Span // 0 or less: the lease never expires
	expiresAt Time // extended by answers and, for a confirmed list, by failed calls in an outage

	unconfirmed      bool // discovery has not answered since unconfirmedSince
	unconfirmedSince Time
	outageExpiresAt  Time // extended by failed calls while unconfirmed; counts once an unconfirmed list may be used

	failures     int  // consecutive calls that failed or timed out
	failingSince Time // when the first of these calls ended
}

// NewLease returns a lease that has expired, since nothing is known about the list's age yet. Evidence that the list
// was current at some time extends the lease to that time plus duration.
func NewLease(now Time, duration Span) Lease {
	return Lease{duration: duration, expiresAt: now, unconfirmed: true, unconfirmedSince: now, outageExpiresAt: now}
}

// Record updates the lease with the outcome of a call that ends now. At asOf the list was current, or no newer one was
// available. For an answer, asOf is the time of its arrival, but no later than the end of the wait that the call asked
// for; for a failure, it is the time of the failure, or the start of the call if discovery queued it; for a timeout, it
// is the start of the call. An invalid answer doesn't extend the lease.
func (l *Lease) Record(now Time, outcome CallOutcome, asOf Time) {
	switch outcome {
	case Answered:
		l.failures, l.unconfirmed = 0, false
		l.expiresAt = max(l.expiresAt, asOf+l.duration)
	case InvalidAnswer:
		l.failures = 0
	case Failed, TimedOut:
		l.recordFailure(now, outcome, asOf)
	}
}

func (l *Lease) recordFailure(now Time, outcome CallOutcome, asOf Time) {
	if l.failures == 0 {
		l.failingSince = now
	}
	l.failures++
	switch {
	case l.unconfirmed:
		// While calls time out, one of them is always waiting for an answer. After a failure, there may be no call in
		// flight, so a failure counts only once the list has been unconfirmed for minUnconfirmedOutage.
		if outcome == TimedOut || now-l.unconfirmedSince >= minUnconfirmedOutage {
			l.outageExpiresAt = max(l.outageExpiresAt, asOf+l.duration)
		}
	case l.failures >= minOutageCalls && now-l.failingSince >= minOutageDuration:
		l.expiresAt = max(l.expiresAt, asOf+l.duration)
	}
}

// HandleAddressChange makes the lease expire at now plus validity at the latest, since an answer from an earlier address
// of discovery is no evidence of the age of the list at the new one. The list is unconfirmed until the new address
// answers.
func (l *Lease) HandleAddressChange(now Time, validity Span) {
	l.expiresAt = min(l.expiresAt, now+validity)
	if !l.unconfirmed { // otherwise unconfirmedSince stays: no address has answered since then
		l.unconfirmed, l.unconfirmedSince = true, now
	}
	l.outageExpiresAt, l.failures = now, 0
}

// Confirmed reports whether discovery has sent a valid answer since the start, or since its address last changed.
func (l *Lease) Confirmed() bool { return !l.unconfirmed }

// Valid reports whether the list may be used for sending requests.
func (l *Lease) Valid(now Time) bool { return l.duration <= 0 || now < l.ExpiresAt(now) }

// ExpiresAt returns when the lease expires, going by the evidence recorded so far. The result has no meaning if
// CanExpire is false.
func (l *Lease) ExpiresAt(now Time) Time {
	if l.unconfirmed && now-l.unconfirmedSince >= minUnconfirmedOutage {
		return max(l.expiresAt, l.outageExpiresAt)
	}
	return l.expiresAt
}

// CanExpire reports whether the lease can expire at all, which requires a positive duration.
func (l *Lease) CanExpire() bool { return l.duration > 0 }
