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

// Evidence is what a call to discovery shows of the age of the list in use.
type Evidence uint8

// The kinds of evidence.
const (
	Answered Evidence = iota // a valid answer: the list was current when it was written
	Failed                   // refused, reset or turned away: discovery may be down, or this call alone had no luck
	NoAnswer                 // timed out: discovery may be down, or a newer list was lost on its way
	Unusable                 // answered with what can't be used: discovery is there, and may have a newer list
)

// While discovery is down nothing is notified (STANDING.md), so the list stays in use. One failed call doesn't show that: a
// change counts as notified 6 s after discovery had it and could be reached, whatever became of a call.
const (
	// minOutageCalls is how many calls in a row must have failed until discovery counts as down.
	minOutageCalls = 2
	// minOutageSpan is the least time from the end of the first to the end of the last of them.
	minOutageSpan Span = 2_000_000
	// minUnconfirmedOutage is for how long no call may have been answered until a list that no answer has confirmed is used:
	// that of a configuration may be of any age, and after a change of address discovery's changes count 4 s later.
	minUnconfirmedOutage Span = 5_000_000
)

// Lease allows requests to be sent by the endpoint list until it expires. The zero value never expires.
type Lease struct {
	length Span
	until  Time

	unconfirmed      bool // discovery has not answered since unconfirmedSince
	unconfirmedSince Time
	outageUntil      Time // to when failed calls extend the lease, once an unconfirmed list may be used

	failures     int  // consecutive calls that failed or had no answer
	failingSince Time // when the first of them had ended
}

// New returns a lease that has expired, since nothing is known of the list's age yet. Evidence that the list was
// current at some time extends it to length after that time.
func New(now Time, length Span) Lease {
	return Lease{length: length, until: now, unconfirmed: true, unconfirmedSince: now, outageUntil: now}
}

// Record takes what a call that has ended now has shown: that as of a time the list was current, or nothing newer could be
// had. For an answer that is the time of its arrival, and no later than the call was to wait; for a failure the time of the
// failure, or when the call began if discovery has let it wait; for a timeout the time when the call began. An answer that
// can't be used extends nothing.
func (l *Lease) Record(now Time, evidence Evidence, asOf Time) {
	switch evidence {
	case Answered:
		l.failures, l.unconfirmed = 0, false
		l.until = max(l.until, asOf+l.length)
	case Unusable:
		l.failures = 0
	case Failed, NoAnswer:
		l.recordFailure(now, evidence, asOf)
	}
}

func (l *Lease) recordFailure(now Time, evidence Evidence, asOf Time) {
	if l.failures == 0 {
		l.failingSince = now
	}
	l.failures++
	switch {
	case l.unconfirmed:
		// After a timeout another call waits for its answer all the time, but after a failure none may be in flight.
		if evidence == NoAnswer || now-l.unconfirmedSince >= minUnconfirmedOutage {
			l.outageUntil = max(l.outageUntil, asOf+l.length)
		}
	case l.failures >= minOutageCalls && now-l.failingSince >= minOutageSpan:
		l.until = max(l.until, asOf+l.length)
	}
}

// ChangeAddress has what is known count for no longer than validity: what an earlier address of discovery has answered
// shows nothing of the list at the new one.
func (l *Lease) ChangeAddress(now Time, validity Span) {
	l.until = min(l.until, now+validity)
	if !l.unconfirmed { // else nobody has answered since before
		l.unconfirmed, l.unconfirmedSince = true, now
	}
	l.outageUntil, l.failures = now, 0
}

// Confirmed tells whether discovery has answered since the start, or since its address changed.
func (l *Lease) Confirmed() bool { return !l.unconfirmed }

// Valid tells whether requests may be sent by the list.
func (l *Lease) Valid(now Time) bool { return l.length <= 0 || now < l.Until(now) }

// Until is when the lease expires, as is known now. It means nothing for a lease that is not Bounded.
func (l *Lease) Until(now Time) Time {
	if l.unconfirmed && now-l.unconfirmedSince >= minUnconfirmedOutage {
		return max(l.until, l.outageUntil)
	}
	return l.until
}

// Bounded tells whether the lease can expire at all.
func (l *Lease) Bounded() bool { return l.length > 0 }
