// Package staleness bounds the age of the list of backends that a node sends requests by.
//
// A node hears of drains and removals from discovery alone. A list carries a version and no age, so a node that has not heard for a while, or
// has just started with the list of its configuration, can't tell whether the list is current. A Lease is what it may go by: each proof
// that the list was current at some time lets requests be sent for a fixed time after that. It does no input or output; times are
// monotonic, in microseconds.
package staleness

// Time is a point on a monotonic clock and Span a length of time, both in microseconds.
type (
	Time = int64
	Span = int64
)

// Evidence is what a call to discovery has shown of the list that is held.
type Evidence uint8

// The kinds of evidence.
const (
	Answered Evidence = iota // a sound answer: the list was current when it was written
	Rejected                 // refused, reset, turned away, or no sound list: nothing newer could be had at that time
	NoAnswer                 // not answered at all: the news may have been lost on the way
)

// maxUnanswered is how many calls in a row may go unanswered before discovery counts as unreachable. The first may be a watch whose connection was
// lost; the second was made on a new connection.
const maxUnanswered = 2

// Lease allows requests to be sent by the list until it ends. The zero value never ends.
type Lease struct {
	length     Span
	until      Time
	unanswered int
}

// New returns a lease that has ended: nothing is known of the list's age yet. A proof that the list was current at some time holds for length
// after that. The first call is made on a new connection: no watch can have been lost before it.
func New(now Time, length Span) Lease {
	return Lease{length: length, until: now, unanswered: maxUnanswered - 1}
}

// Record takes in what a call has shown: that the list was current, or that nothing newer could be had, as of a time. For an answer that is the time at
// which it arrived, and no later than the call was to wait; for a refusal, that at which it came; where nothing came, that at which the call began.
func (l *Lease) Record(evidence Evidence, asOf Time) {
	if evidence == NoAnswer {
		if l.unanswered++; l.unanswered < maxUnanswered {
			return
		}
	} else {
		l.unanswered = 0
	}
	l.until = max(l.until, asOf+l.length)
}

// Shorten ends the lease at a time at the latest: from then on only what is heard later counts.
func (l *Lease) Shorten(at Time) { l.until = min(l.until, at) }

// Valid tells whether requests may be sent by the list.
func (l *Lease) Valid(now Time) bool { return l.length <= 0 || now < l.until }

// Until is when the lease ends; it means nothing for one that never does.
func (l *Lease) Until() Time { return l.until }

// Bounded tells whether the lease can end at all.
func (l *Lease) Bounded() bool { return l.length > 0 }
