// Package staleness bounds the age of the endpoint list by which a node sends requests.
//
// A node learns of draining and removed endpoints from discovery alone. A list has a revision but no age, so a node
// that has had no answer for a while, or has just started with the list of its configuration, can't tell whether
// the list is current. A Lease settles that: each piece of evidence that the list was current at some time lets
// requests be sent for a fixed time after it. The package does no input or output.
package staleness

// Time is a point on a monotonic clock, in microseconds.
type Time = int64

// Span is a length of time, in microseconds.
type Span = int64

// CallOutcome is what a call to discovery shows of the age of the list in use.
type CallOutcome uint8

// The kinds of evidence.
const (
	Answered      CallOutcome = iota // a valid answer: the list was current when it was written
	Failed                           // refused, reset or turned away: discovery may be down, or this call alone had no luck
	TimedOut                         // timed out: discovery may be down, or a newer list was lost on its way
	InvalidAnswer                    // answered with what can't be used: discovery is there, and may have a newer list
)

// While discovery is down nothing is notified (STANDING.md), so the list stays in use. One failed call doesn't show that: a
// change counts as notified 6 s after discovery had it and could be reached, whatever became of a call.
const (
	// minOutageCalls is how many calls in a row must have failed until discovery counts as down.
	minOutageCalls = 2
	// minOutageDuration is the least time from the end of the first to the end of the last of them.
	minOutageDuration Span = 2_000_000
	// minUnconfirmedOutage is for how long no call may have been answered until a list that no answer has confirmed is used:
	// that of a configuration may be of any age, and after a change of address discovery's changes count 4 s later.
	minUnconfirmedOutage Span = 5_000_000
)

// Lease allows requests to be sent by the endpoint list until it expires. The zero value never expires.
type Lease struct {
	duration  Span
	expiresAt Time

	unconfirmed      bool // discovery has not answered since unconfirmedSince
	unconfirmedSince Time
	outageExpiresAt  Time // to when failed calls extend the lease, once an unconfirmed list may be used

	failures     int  // consecutive calls that failed or had no answer
	failingSince Time // when the first of them had ended
}

// NewLease returns a lease that has expired, since nothing is known of the list's age yet. Evidence that the list was
// current at some time extends it to length after that time.
func NewLease(now Time, duration Span) Lease {
	return Lease{duration: duration, expiresAt: now, unconfirmed: true, unconfirmedSince: now, outageExpiresAt: now}
}

// Record takes what a call that has ended now has shown: that as of a time the list was current, or nothing newer could be
// had. For an answer that is the time of its arrival, and no later than the call was to wait; for a failure the time of the
// failure, or when the call began if discovery has let it wait; for a timeout the time when the call began. An answer that
// can't be used extends nothing.
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
		// After a timeout another call waits for its answer all the time, but after a failure none may be in flight.
		if outcome == TimedOut || now-l.unconfirmedSince >= minUnconfirmedOutage {
			l.outageExpiresAt = max(l.outageExpiresAt, asOf+l.duration)
		}
	case l.failures >= minOutageCalls && now-l.failingSince >= minOutageDuration:
		l.expiresAt = max(l.expiresAt, asOf+l.duration)
	}
}

// HandleAddressChange has what is known count for no longer than validity: what an earlier address of discovery has answered
// shows nothing of the list at the new one.
func (l *Lease) HandleAddressChange(now Time, validity Span) {
	l.expiresAt = min(l.expiresAt, now+validity)
	if !l.unconfirmed { // else nobody has answered since before
		l.unconfirmed, l.unconfirmedSince = true, now
	}
	l.outageExpiresAt, l.failures = now, 0
}

// Confirmed tells whether discovery has answered since the start, or since its address changed.
func (l *Lease) Confirmed() bool { return !l.unconfirmed }

// Valid tells whether requests may be sent by the list.
func (l *Lease) Valid(now Time) bool { return l.duration <= 0 || now < l.ExpiresAt(now) }

// ExpiresAt is when the lease expires, as is known now. It means nothing for a lease that is not Bounded.
func (l *Lease) ExpiresAt(now Time) Time {
	if l.unconfirmed && now-l.unconfirmedSince >= minUnconfirmedOutage {
		return max(l.expiresAt, l.outageExpiresAt)
	}
	return l.expiresAt
}

// CanExpire tells whether the lease can expire at all.
func (l *Lease) CanExpire() bool { return l.duration > 0 }
