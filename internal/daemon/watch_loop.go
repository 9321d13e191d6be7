package daemon

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"tulipglade/internal/protocol"
	"tulipglade/internal/staleness"
)

// callResult is the outcome of one call to discovery: an answer or an error.
type callResult struct {
	address string
	answer
	err   error
	start time.Time
	wait  time.Duration // the time for which the call asked discovery to wait for events
}

// run makes one call after another until one fails or Watch ends the watch. The first call fetches the changes that
// were missed and does not wait for events, so that it shows immediately whether discovery answers.
func (w *watch) run() {
	connection := &discoveryConn{}
	defer func() { connection.close() }()
	mayWait, failing := false, false
	for {
		next, ok := w.planCall(connection, mayWait)
		if !ok {
			return
		}
		connection = next.connection
		if !w.pause(next.delay) {
			return
		}
		result := next.execute()
		result.err = w.classify(result)
		w.calls.record(result, next.revision)
		if errors.Is(result.err, errAddressChanged) {
			if w.isStopped() {
				return
			}
			go w.finishAbandonedCall(connection)
			connection = &discoveryConn{}
			continue
		}
		w.countTimeouts(result)
		if w.onPushFailure != nil && result.err != nil {
			if !failing {
				w.onPushFailure(result.err)
			}
			failing, mayWait = true, false
			continue
		}
		failing = false
		if result.err != nil && !w.endAfterFailure(result.address) {
			continue
		}
		w.notifyListener(result)
		if result.err != nil {
			return
		}
		mayWait = true
	}
}

// finishAbandonedCall waits for the answer to a call that was abandoned because the address of discovery changed, since
// the node counts as notified of what the old address still sends. Such an answer is no evidence that the list at the
// new address is current, and only its restrictions apply.
func (w *watch) finishAbandonedCall(connection *discoveryConn) {
	received, err := connection.finishAbandonedCall(earlierAddressTimeout)
	if err != nil || !received.list.Full && len(received.list.Targets) == 0 {
		return
	}
	w.mutex.Lock()
	w.needsFullList = true // shows the state at the new address of the endpoints that this list restricts
	w.mutex.Unlock()
	w.listener.UpdateEndpointsAsOf(received.list, time.Time{}, staleness.Behind)
}

// plannedCall holds the parameters of the next call of a watch.
type plannedCall struct {
	connection  *discoveryConn
	revision    int64
	fullList    bool          // request the full list instead of the changes since revision
	wait, slack time.Duration // time that discovery may wait for events, and then take to answer
	delay       time.Duration // time to wait before the call
}

// execute makes the call and returns its result. The caller must wait for p.delay first.
func (p plannedCall) execute() callResult {
	start := time.Now()
	received, err := p.connection.roundTrip(p.request(), p.wait+p.slack)
	return callResult{address: p.connection.address, answer: received, err: err, start: start, wait: p.wait}
}

func (p plannedCall) request() []byte {
	if p.fullList {
		return protocol.AppendListRequest(nil, p.connection.address)
	}
	return protocol.AppendWatchRequest(nil, p.connection.address, p.revision, p.wait.Milliseconds())
}

// planCall plans the next call. The call uses the connection last, or a new one if the address has changed. It asks
// discovery to wait for events only if mayWait is set, which means that the previous call was answered. planCall
// returns false if the watch has been ended.
func (w *watch) planCall(last *discoveryConn, mayWait bool) (plannedCall, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.active {
		w.loopRunning = false
		return plannedCall{}, false
	}
	next := plannedCall{connection: last, revision: w.revision, fullList: w.needsFullList, slack: w.callTimeout}
	if last.address != w.address {
		last.close()
		next.connection = newDiscoveryConn(w.address, w.addressChanged)
		mayWait = false
	}
	if w.onPushFailure == nil {
		next.slack <<= min(w.consecutiveTimeouts, maxTimeoutDoublings)
	}
	if mayWait && !w.needsFullList {
		next.wait = w.maxWait - rand.N(w.waitJitter+1)
		next.slack = w.watchSlack
	}
	// A discovery service that answers or fails immediately must not be called in a tight loop, whoever restarts the
	// watch.
	next.delay = w.minCallInterval - time.Since(w.lastCallStart)
	w.lastCallStart = time.Now().Add(max(next.delay, 0))
	return next, true
}

// countTimeouts counts the calls in a row that do not wait for events and time out. It does not count a watch call that
// times out, as the reason is a lost call and not a slow discovery service.
func (w *watch) countTimeouts(result callResult) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case !errors.Is(result.err, errNoAnswer):
		w.consecutiveTimeouts = 0
	case result.wait == 0:
		w.consecutiveTimeouts++
	}
}

// classify returns the error of a call. It wraps the error in errOverloaded if discovery had queued the call before it
// failed.
func (w *watch) classify(result callResult) error {
	err := result.err
	if err == nil {
		return nil
	}
	if errors.Is(err, errNoAnswer) || errors.Is(err, errInvalidList) || errors.Is(err, errAddressChanged) {
		return err
	}
	if queued := result.wait == 0 && time.Since(result.start) >= w.queueingThreshold; queued {
		return fmt.Errorf("%w: %w", errOverloaded, err)
	}
	return err
}

// endAfterFailure ends the watch after a failed call to address. It must be called before the balancer is notified of
// the failure, upon which it may restart the watch. It returns false, and the watch goes on, if the address has changed
// meanwhile.
func (w *watch) endAfterFailure(address string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if address != w.address {
		return false
	}
	w.loopRunning, w.active = false, false
	return true
}

// notifyListener passes the result of a call to the listener.
func (w *watch) notifyListener(result callResult) {
	if result.err != nil {
		asOf := time.Now() // discovery has just rejected the call
		if errors.Is(result.err, errNoAnswer) || errors.Is(result.err, errOverloaded) {
			asOf = result.start // discovery held the call, and may have answered others meanwhile
		}
		w.listener.DiscoveryCallFailed(result.err, failureKind(result.err), asOf)
		return
	}
	if len(result.invalid) > 0 {
		w.calls.log.Warn("endpoint list has invalid entries", "rev", result.list.Revision, "entries", len(result.invalid), "first", result.invalid[0])
	}
	asOf, order := w.acceptRevision(result)
	w.listener.UpdateEndpointsAsOf(result.list, asOf, order)
}

// acceptRevision records the revision of the list for the next call. It returns the time at which the list was current
// and how its revision relates to those of earlier answers. An answer from an earlier address is Behind, so that only
// its restrictions apply: its revision has no meaning at the new address, and the time at which it was current is
// unknown.
func (w *watch) acceptRevision(result callResult) (asOf time.Time, order staleness.RevisionOrder) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	list := result.list
	if result.address != w.address {
		w.needsFullList = true
		return time.Time{}, staleness.Behind
	}
	now := time.Since(w.startedAt).Microseconds()
	order = w.revisions.Observe(now, list.Revision, list.Full)
	w.revision = list.Revision
	w.needsFullList = w.needsFullList && !list.Full || w.revisions.NeedsFullList(now)
	return earlierOf(time.Now(), result.start.Add(result.wait+answerLatencyTolerance)), order
}

// earlierOf returns the earlier one of two times.
func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
