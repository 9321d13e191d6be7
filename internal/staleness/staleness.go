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
	Rejected                 // refused or reset: nothing newer could be had at that time
	NoAnswer                 // timed out: a newer list may have been lost on its way
	Unusable                 // answered with what can't be used: discovery is there, and may have a newer list
)

// maxUnanswered is how many consecutive calls may time out before discovery counts as unreachable. The first may be
// a watch whose connection was lost; the second was made on a new connection.
const maxUnanswered = 2

// Lease allows requests to be sent by the endpoint list until it expires. The zero value never expires.
type Lease struct {
	length     Span
	until      Time
	unanswered int // consecutive calls that timed out
}

// New returns a lease that has expired, since nothing is known of the list's age yet. Evidence that the list was
// current at some time extends it to length after that time. The first call is made on a new connection, so no
// watch can have been lost before it: one timeout is enough.
func New(now Time, length Span) Lease {
	return Lease{length: length, until: now, unanswered: maxUnanswered - 1}
}

// Record takes what a call has shown: that as of a time the list was current, or nothing newer could be had. For an
// answer that is the time of its arrival, and no later than the call was to wait; for a rejection the time of the
// rejection; for a timeout the time when the call began. An answer that can't be used extends nothing.
func (l *Lease) Record(evidence Evidence, asOf Time) {
	switch evidence {
	case Answered, Rejected:
		l.unanswered = 0
	case Unusable:
		l.unanswered = 0
		return
	case NoAnswer:
		l.unanswered++
		if l.unanswered < maxUnanswered {
			return
		}
	}
	l.until = max(l.until, asOf+l.length)
}

// Shorten has the lease expire no later than at. Later evidence extends it again.
func (l *Lease) Shorten(at Time) { l.until = min(l.until, at) }

// Valid tells whether requests may be sent by the list.
func (l *Lease) Valid(now Time) bool { return l.length <= 0 || now < l.until }

// Until is when the lease expires. It means nothing for a lease that is not Bounded.
func (l *Lease) Until() Time { return l.until }

// Bounded tells whether the lease can expire at all.
func (l *Lease) Bounded() bool { return l.length > 0 }
