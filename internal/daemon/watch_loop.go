package daemon

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"tulipglade/internal/protocol"
	"tulipglade/internal/staleness"
)

// callResult is what one call to discovery has brought.
type callResult struct {
	address string
	answer
	err   error
	start time.Time
	wait  time.Duration // how long discovery was allowed to wait for events
}

// run makes one call after the other until one fails. The first fetches what has been missed and does not wait, so that
// it shows at once whether discovery answers.
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
		time.Sleep(next.delay)
		result := next.execute()
		result.err = w.classify(result)
		w.calls.record(result, next.revision)
		if errors.Is(result.err, errAddressChanged) {
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

// finishAbandonedCall waits for the answer to a call that a change of address has ended: what the earlier address writes counts as
// notified. It proves nothing of the list at the new one, and of it only what it restricts holds.
func (w *watch) finishAbandonedCall(connection *discoveryConn) {
	received, err := connection.finishAbandonedCall(earlierAddressTimeout)
	if err != nil || !received.list.Full && len(received.list.Targets) == 0 {
		return
	}
	w.mutex.Lock()
	w.needsFullList = true // it says what the new address knows of endpoints that this list restricts
	w.mutex.Unlock()
	w.listener.UpdateEndpointsAsOf(received.list, time.Time{}, staleness.Behind)
}

// plannedCall is the next call of a watch.
type plannedCall struct {
	connection  *discoveryConn
	revision    int64
	fullList    bool          // the full list, and not the changes since revision
	wait, slack time.Duration // discovery may wait so long for events, and then take so long to answer
	delay       time.Duration // before the call
}

// execute makes the call.
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

// planCall plans the next call, on a new connection where the address has changed since the last. Discovery may wait for
// events where mayWait says that the last call was answered. It returns false where the watch has been ended.
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
	// A discovery that answers or fails at once must not be called in a tight loop, whoever restarts the watch.
	next.delay = w.minCallInterval - time.Since(w.lastCallStart)
	w.lastCallStart = time.Now().Add(max(next.delay, 0))
	return next, true
}

// countTimeouts counts calls in a row that do not wait and time out. A watch call that times out was lost, not slow.
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

// classify returns the error that a call's result stands for: a queued call that failed has met an overloaded discovery.
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

// endAfterFailure ends the watch, before the decision module learns of the failure and may restart it. It returns false
// where the address has changed in this moment.
func (w *watch) endAfterFailure(address string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if address != w.address {
		return false
	}
	w.loopRunning, w.active = false, false
	return true
}

// notifyListener passes a call's result to the listener.
func (w *watch) notifyListener(result callResult) {
	if result.err != nil {
		asOf := time.Now() // discovery rejected the call in this moment
		if errors.Is(result.err, errNoAnswer) || errors.Is(result.err, errOverloaded) {
			asOf = result.start // it let the call wait, and may have answered others meanwhile
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

// acceptRevision takes over the list's revision, and returns the time at which the list was current and how it relates to
// the answers before. Of an answer from an earlier address only what it restricts holds: its revision does not count at the
// new one, and it proves no time.
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

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
