package balancer

// The poll schedule: when discovery is called for the endpoint list, and which evidence of the list's age a
// call provides.

import (
	"math"

	"tulipglade/internal/staleness"
)

const (
	// firstPollFraction is the longest delay of the first call to discovery, as a fraction of PollInterval.
	firstPollFraction = 0.5
	// firstLeasedPollFraction is the same as a fraction of NotificationDeadline, for a node that sends
	// nothing before discovery answers.
	firstLeasedPollFraction = 1.0 / 12
	// pollSpacingFraction is the time that pollSpread allows for the call of each other node, as a fraction
	// of PollInterval.
	pollSpacingFraction = 1.0 / 160
	// maxBackoffFraction is the longest backoff after a failed call, as a fraction of NotificationDeadline.
	maxBackoffFraction = 0.5
	// maxTimeoutBackoffFraction is the same after a call that had no answer, or no usable one.
	maxTimeoutBackoffFraction = 0.1
)

// pollSchedule is the state of the calls to discovery.
type pollSchedule struct {
	watching bool // a watch is open, so no call is needed
	failures int  // consecutive failed calls, up to maxBackoffExponent
	nextAt   Time // time of the next call
}

// startFromFirstList starts the control periods and the calls to discovery when the first endpoint list
// arrives.
func (b *Balancer) startFromFirstList(listed int) {
	b.started = true
	b.lastControlAt = b.now
	b.poll.watching = !b.config.PollDiscovery
	b.meanInFlight = initialLimit * float64(listed) / float64(max(b.config.PeerCount, 1))
	b.listLease = staleness.NewLease(b.now, b.config.ListLease)
	b.commands.SetTimer(timerControl, b.controlPeriod)
	b.commands.SetTimer(timerPoll, Span(b.random.uniform()*b.firstPollSpread()))
}

// handlePollTimer calls discovery if no watch is open, and schedules the next call in case there is no
// answer.
func (b *Balancer) handlePollTimer() {
	if !b.poll.watching && b.now >= b.poll.nextAt {
		b.commands.WatchEndpoints(true)
		b.schedulePoll(float64(b.config.PollInterval) / 2)
	}
}

// schedulePoll schedules the next call to discovery after a tick and a random delay between a quarter of
// maxDelay and maxDelay, so that the nodes do not call at the same time.
func (b *Balancer) schedulePoll(maxDelay float64) {
	b.poll.nextAt = b.now + b.config.TickInterval + Span(maxDelay*(0.25+0.75*b.random.uniform()))
	b.commands.SetTimer(timerPoll, b.poll.nextAt-b.now)
}

// schedulePollAfterFailure schedules the next call after a failed one, with exponential backoff up to
// maxBackoff.
func (b *Balancer) schedulePollAfterFailure(kind ListKind) {
	b.poll.watching = false
	b.logf("discovery unavailable")
	first := max(float64(b.controlPeriod)/4, b.pollSpread())
	b.schedulePoll(min(first*math.Exp2(float64(b.poll.failures)), b.maxBackoff(kind)))
	b.poll.failures = min(b.poll.failures+1, maxBackoffExponent)
}

// maxBackoff returns the longest backoff after a failed call. Unless discovery is overloaded and there is no
// lease, it lets the node receive a change within NotificationDeadline, after which the node is considered
// notified of it.
func (b *Balancer) maxBackoff(kind ListKind) float64 {
	deadline := float64(NotificationDeadline)
	switch {
	case kind == ListTimeout || kind == ListInvalid:
		return maxTimeoutBackoffFraction * deadline
	case kind == ListFailed && b.listLease.CanExpire():
		// The list ages until discovery answers, whether this call alone was broken or discovery is down.
		// Where there are few nodes, their calls need not be spread over a long time.
		return min(max(maxTimeoutBackoffFraction*deadline, b.pollSpread()), maxBackoffFraction*deadline)
	case kind == ListOverloaded && !b.listLease.CanExpire():
		// If all nodes called earlier, discovery could not answer them in time.
		return max(maxBackoffFraction*deadline, b.pollSpread())
	}
	return maxBackoffFraction * deadline // with a lease, the list would expire during a longer backoff
}

// pollSpread returns the time over which the nodes spread their calls to discovery. Discovery answers calls
// in turn, and spends the same time on calls that have already timed out: if all nodes call at once and call
// again soon, it answers none of them in time.
func (b *Balancer) pollSpread() float64 {
	return float64(b.config.PollInterval) * float64(b.config.PeerCount-1) * pollSpacingFraction
}

// firstPollSpread returns the time over which nodes that start together spread their first calls to
// discovery. The time is short with a lease, as then no request is sent before discovery answers.
func (b *Balancer) firstPollSpread() float64 {
	spread := min(b.pollSpread(), firstPollFraction*float64(b.config.PollInterval))
	if b.listLease.CanExpire() {
		spread = min(spread, firstLeasedPollFraction*float64(NotificationDeadline))
	}
	return spread
}

// recordListEvidence records the evidence of the list's age that a call to discovery provides. A list from a
// configuration is no evidence.
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

// HandleDiscoveryMoved handles a change of discovery's address. Answers of the old address are no evidence of
// the list at the new one, so the lease that they have given lasts for validity at most.
func (b *Balancer) HandleDiscoveryMoved(now Time, validity Span) {
	b.now = now
	b.listLease.HandleAddressChange(now, validity)
}

// ListCurrent reports whether requests may be sent by the endpoint list, and when the lease on it expires.
func (b *Balancer) ListCurrent(now Time) (current bool, until Time) {
	return b.listLease.Valid(now), b.listLease.ExpiresAt(now)
}
