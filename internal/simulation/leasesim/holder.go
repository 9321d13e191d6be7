package leasesim

import (
	"time"

	"tulipglade/internal/lease"
)

const (
	// requestIDsPerProcess is the distance between the first request IDs of consecutive processes, so that no process
	// reuses an ID of an earlier one.
	requestIDsPerProcess = 1000
	longestStartDelay    = time.Second
)

// holder is a simulated holder, which acquires the lease whenever it can, renews it, sends actions under it, and
// releases it from time to time.
type holder struct {
	schedule     *schedule
	name         string
	clockRate    float64
	stoppedUntil time.Duration
	guard        lease.Guard
	requestID    uint64
	incarnation  int     // number of its processes so far
	leader       *member // member that it believes to be the leader; nil if it knows none
}

func (h *holder) clock() time.Duration {
	return time.Duration(float64(h.schedule.now) * h.clockRate)
}

// run calls a function in a process of the holder: now, or as soon as the process is no longer stopped. It does
// nothing if the process has ended.
func (h *holder) run(incarnation int, f func()) {
	s := h.schedule
	switch {
	case incarnation != h.incarnation:
	case s.now < h.stoppedUntil:
		s.callAfter(h.stoppedUntil-s.now, func() { h.run(incarnation, f) })
	default:
		f()
	}
}

// start starts a process without any state. Its request IDs differ from those of all earlier processes.
func (h *holder) start() {
	s := h.schedule
	h.incarnation++
	h.requestID += requestIDsPerProcess
	h.guard = lease.Guard{Terms: lease.Terms{Interval: tickInterval, Drift: drift}}
	incarnation := h.incarnation
	s.callAfter(s.randomDuration(0, longestStartDelay), func() { h.run(incarnation, h.keepLease) })
	s.callAfter(s.randomDuration(0, longestStartDelay), func() { h.run(incarnation, h.startAction) })
}

// crash ends the process and schedules the start of the next. Messages that it has sent are still delivered.
func (h *holder) crash() {
	s := h.schedule
	if grant, ok := h.guard.Grant(); ok {
		s.outcome.Kills++
		s.lostHolders[grant.Slot] = lostHolder{grant.Token, s.now}
	}
	h.incarnation++
	h.stoppedUntil = 0
	s.callAfter(s.randomDuration(500*time.Millisecond, 4*time.Second), h.start)
}

// keepLease acquires or renews the lease, and sometimes releases it. It schedules itself for the next request.
func (h *holder) keepLease() {
	s, incarnation := h.schedule, h.incarnation
	if s.faults.Kills && s.faultsActive() && s.chance(0.05) {
		h.crash()
		return
	}
	grant, granted := h.guard.Grant()
	command := lease.Command{Kind: lease.Renew, Name: leaseName, Token: grant.Token, Ticks: grantTicks}
	if !granted {
		h.requestID++
		command = lease.Command{Kind: lease.Acquire, Name: leaseName, Holder: h.name, RequestID: h.requestID, Ticks: grantTicks}
	}
	requestedAt := h.clock()
	s.request(h, command, func(response lease.Grant, err error) {
		h.run(incarnation, func() {
			if s.without.Clock {
				requestedAt = h.clock()
			}
			h.handleResponse(command, response, err, requestedAt)
		})
	})
	// A holder releases the lease only after all its actions have ended.
	if granted && s.chance(0.1) && (h.guard.ActionsEnded(h.clock()) || s.without.ReleaseWait) {
		h.guard.DropGrant()
		release := lease.Command{Kind: lease.Release, Name: leaseName, Token: grant.Token}
		s.request(h, release, func(lease.Grant, error) {})
	}
	s.callAfter(s.randomDuration(300*time.Millisecond, 600*time.Millisecond), func() { h.run(incarnation, h.keepLease) })
}

// handleResponse records a grant, or drops the current one if its renewal was rejected.
func (h *holder) handleResponse(command lease.Command, response lease.Grant, err error, requestedAt time.Duration) {
	if err == nil {
		h.guard.RecordGrant(response, grantTicks, requestedAt)
		return
	}
	current, granted := h.guard.Grant()
	if command.Kind == lease.Renew && granted && current.Token == command.Token {
		h.guard.DropGrant()
	}
}

// startAction checks the lease and sends an action, and schedules the next one. The longest duration of an action
// includes its delivery.
func (h *holder) startAction() {
	s, incarnation := h.schedule, h.incarnation
	s.callAfter(s.randomDuration(100*time.Millisecond, 400*time.Millisecond), func() { h.run(incarnation, h.startAction) })
	believed, granted := h.guard.Grant()
	if !granted {
		return
	}
	grant, certain := h.guard.BeginAction(h.clock(), longestAction)
	if s.without.Guard {
		grant = believed
	} else if !certain {
		s.outcome.Withheld++
		return
	}
	if s.faults.Stops && s.faultsActive() && s.chance(0.1) {
		h.stoppedUntil = s.now + s.randomDuration(time.Second, 6*time.Second)
	}
	h.run(incarnation, func() {
		s.send(s.faults.Late, func() { s.handleAction(grant) })
	})
}
