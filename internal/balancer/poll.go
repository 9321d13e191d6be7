package balancer

// The poll schedule: when discovery is called for the endpoint list, and what a call shows of the list's age.

import (
	"math"

	"tulipglade/internal/staleness"
)

const (
	firstPollFraction         = 0.5       // of PollInterval may pass before the first call to discovery
	firstLeasedPollFraction   = 1.0 / 12  // of NotificationDeadline, if nothing is sent before the answer
	pollSpacingFraction       = 1.0 / 160 // of PollInterval for each other node, to spread their calls
	maxBackoffFraction        = 0.5       // of NotificationDeadline: longest backoff after a failed call
	maxTimeoutBackoffFraction = 0.1       // and after one that had no answer, or none that could be used
)

// pollSchedule is when discovery is called.
type pollSchedule struct {
	watching bool // a watch is open, so no call is needed
	failures int  // consecutive
	nextAt   Time
}

// startFromFirstList takes the first endpoint list, before which nothing is decided.
func (b *Balancer) startFromFirstList(listed int) {
	b.started = true
	b.lastControlAt = b.now
	b.poll.watching = !b.config.PollDiscovery
	b.meanInFlight = initialLimit * float64(listed) / float64(max(b.config.PeerCount, 1))
	b.listLease = staleness.NewLease(b.now, b.config.ListLease)
	b.commands.SetTimer(timerControl, b.controlPeriod)
	b.commands.SetTimer(timerPoll, Span(b.random.uniform()*b.firstPollSpread()))
}

// handlePollTimer calls discovery if no watch is open, and again if there is no answer.
func (b *Balancer) handlePollTimer() {
	if !b.poll.watching && b.now >= b.poll.nextAt {
		b.commands.WatchEndpoints(true)
		b.schedulePoll(float64(b.config.PollInterval) / 2)
	}
}

// schedulePoll sets the next call to discovery, at a random time, so that nodes do not call together.
func (b *Balancer) schedulePoll(maxDelay float64) {
	b.poll.nextAt = b.now + b.config.TickInterval + Span(maxDelay*(0.25+0.75*b.random.uniform()))
	b.commands.SetTimer(timerPoll, b.poll.nextAt-b.now)
}

// schedulePollAfterFailure sets the next call after one that has failed: exponential backoff, within bounds.
func (b *Balancer) schedulePollAfterFailure(kind ListKind) {
	b.poll.watching = false
	b.logf("discovery unavailable")
	first := max(float64(b.controlPeriod)/4, b.pollSpread())
	b.schedulePoll(min(first*math.Exp2(float64(b.poll.failures)), b.maxBackoff(kind)))
	b.poll.failures = min(b.poll.failures+1, maxBackoffExponent)
}

// maxBackoff keeps the node within NotificationDeadline of a change: what discovery has counts as notified by
// then.
func (b *Balancer) maxBackoff(kind ListKind) float64 {
	deadline := float64(NotificationDeadline)
	switch {
	case kind == ListTimeout || kind == ListInvalid:
		return maxTimeoutBackoffFraction * deadline
	case kind == ListFailed && b.listLease.CanExpire() && !b.listLease.Confirmed():
		// Nothing is sent until discovery answers, or has failed for long. Few nodes need not wait for each
		// other.
		return min(max(maxTimeoutBackoffFraction*deadline, b.pollSpread()), maxBackoffFraction*deadline)
	case kind == ListOverloaded && !b.listLease.CanExpire():
		// If all nodes called sooner, discovery could not answer them in time.
		return max(maxBackoffFraction*deadline, b.pollSpread())
	}
	return maxBackoffFraction * deadline // with a lease, the list would be too old to send by
}

// pollSpread is the time over which the nodes spread their calls to discovery. Discovery answers them in
// turn, and works in vain on those that have waited too long: if all nodes call at once, and soon again, it
// answers none.
func (b *Balancer) pollSpread() float64 {
	return float64(b.config.PollInterval) * float64(b.config.PeerCount-1) * pollSpacingFraction
}

// firstPollSpread is the time over which nodes that start together spread their first calls to discovery. If
// nothing is sent before the answer, it is short.
func (b *Balancer) firstPollSpread() float64 {
	spread := min(b.pollSpread(), firstPollFraction*float64(b.config.PollInterval))
	if b.listLease.CanExpire() {
		spread = min(spread, firstLeasedPollFraction*float64(NotificationDeadline))
	}
	return spread
}

// recordListEvidence records what a call to discovery shows of the list's age. A list from a configuration
// shows nothing.
func (b *Balancer) recordListEvidence(kind ListKind, asOf Time) {
	if asOf == NoEvidence && (kind == ListDelta || kind == ListFull) {
		b.listLease.Record(b.now, staleness.InvalidAnswer, b.now)
		return
	}
	switch kind {
	case ListDelta, ListFull:
		b.listLease.Record(b.now, staleness.Answered, asOf)
	case ListFailed, ListOverloaded:
		b.listLease.Record(b.now, staleness.Failed, asOf)
	case ListTimeout:
		b.listLease.Record(b.now, staleness.TimedOut, asOf)
	case ListInvalid:
		b.listLease.Record(b.now, staleness.InvalidAnswer, asOf)
	}
}

// HandleDiscoveryMoved takes a change of discovery's address. What the old address said shows nothing of the
// list at the new one, and counts for validity at most.
func (b *Balancer) HandleDiscoveryMoved(now Time, validity Span) {
	b.now = now
	b.listLease.HandleAddressChange(now, validity)
}

// ListCurrent tells whether requests are sent by the endpoint list, and until when the lease on it lasts.
func (b *Balancer) ListCurrent(now Time) (current bool, until Time) {
	return b.listLease.Valid(now), b.listLease.ExpiresAt(now)
}
