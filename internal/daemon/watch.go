package daemon

import (
	"errors"
	"log/slog"
	"sync"
	"time"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
	"tulipglade/internal/staleness"
)

// endpointListener is notified of the results of calls to discovery. The node implements it.
type endpointListener interface {
	// UpdateEndpointsAsOf receives an answer, the time at which it was current, and how its revision relates to those
	// of earlier answers. The zero time says that it is not known when the answer was current.
	UpdateEndpointsAsOf(list protocol.List, asOf time.Time, order staleness.RevisionOrder)
	// DiscoveryCallFailed receives the error of a failed call, its kind, and the latest time at which the call shows
	// that no newer list was available.
	DiscoveryCallFailed(err error, kind balancer.ListKind, asOf time.Time)
	// DiscoveryAddressChanged limits the time for which lists received from the old address remain valid.
	DiscoveryAddressChanged(validity time.Duration)
}

// watch calls discovery: Poll fetches the full endpoint list once, and Watch starts calls that wait for changes. Each
// call of Watch(true) or Poll leads to at least one list or failure for the listener. SetAddress may be called at any
// time.
type watch struct {
	listener          endpointListener
	maxWait           time.Duration // maximum time for which a watch call asks discovery to wait for events
	callTimeout       time.Duration // timeout of a call that does not wait for events
	queueingThreshold time.Duration // a call that does not wait and fails after this time was queued by discovery
	watchSlack        time.Duration // time after its wait at which a watch call is given up
	waitJitter        time.Duration // each watch call shortens maxWait by a random time up to this
	minCallInterval   time.Duration // minimum time from the start of one call of run to the next
	// onPushFailure is set if lists are pushed to an agent. A failure then does not end the watch; the first one of
	// several in a row is passed to this function.
	onPushFailure func(error)

	calls     callLog   // its counts are used by the goroutine of run alone
	startedAt time.Time // the origin of the times that are passed to revisions

	mutex               sync.Mutex
	address             string
	addressChanged      chan struct{} // closed and replaced when address changes
	revision            int64         // revision of the last answer
	revisions           staleness.RevisionTracker
	needsFullList       bool      // the next call fetches the full list: changes since revision would not do
	loopRunning         bool      // the goroutine of run exists
	active              bool      // run goes on with another call; a failure resets it
	watchRequested      bool      // the argument of the last call of Watch; a failure does not reset it
	lastCallStart       time.Time // when the latest call was scheduled to start
	consecutiveTimeouts int       // number of calls in a row that did not wait for events and timed out

	stopped chan struct{} // closed by Stop
}

func newWatch(address string, revision int64, log *slog.Logger) *watch {
	return &watch{
		calls:             callLog{log: log},
		address:           address,
		revision:          revision,
		revisions:         staleness.NewRevisionTracker(revision),
		startedAt:         time.Now(),
		addressChanged:    make(chan struct{}),
		stopped:           make(chan struct{}),
		maxWait:           maxWatchWait,
		callTimeout:       immediateCallTimeout,
		queueingThreshold: queueingThreshold,
		watchSlack:        watchTimeoutSlack,
		waitJitter:        maxWatchWait / 2,
		minCallInterval:   minCallInterval,
	}
}

// startPushed starts to watch an agent, which receives the pushed lists and answers calls at no cost. The watch runs
// until the process exits. The node counts as notified of a change as soon as the agent has it. The watch therefore
// continues after a failure without waiting for the balancer to call Watch again, and a call that the agent does not
// answer is given up well within drainGrace, which is in microseconds.
func (w *watch) startPushed(drainGrace int64, onFailure func(error)) {
	w.waitJitter = 0 // no jitter is needed: the agent is on this machine and serves this node alone
	w.onPushFailure = onFailure
	w.setDrainGrace(drainGrace)
	w.Watch(true)
}

// setDrainGrace sets the wait and the timeout of calls to an agent, from the next call on. Each is a quarter of
// drainGrace, in microseconds, within bounds, as the node must be notified of a draining endpoint within drainGrace.
func (w *watch) setDrainGrace(drainGrace int64) {
	quarter := time.Duration(drainGrace) * time.Microsecond / 4
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.maxWait = min(max(quarter, w.minCallInterval), maxWatchWait)
	w.callTimeout = min(max(quarter, w.minCallInterval), immediateCallTimeout)
	w.watchSlack = w.callTimeout
}

// Watch starts the watch if on is true. Otherwise it ends the watch once the call in flight has returned.
func (w *watch) Watch(on bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.watchRequested = on
	w.setActive(on)
}

// setActive sets active, and starts the goroutine of run if it is needed. The caller holds w.mutex.
func (w *watch) setActive(active bool) {
	w.active = active && !w.isStopped()
	if w.active && !w.loopRunning {
		w.loopRunning = true
		go w.run()
	}
}

// SetAddress changes the address of discovery. It aborts the call in flight, and the watch continues at the new address
// immediately. A watch that has failed is restarted too, as the balancer would restart it only after its backoff.
func (w *watch) SetAddress(address string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if address == w.address || w.isStopped() {
		return
	}
	w.address, w.needsFullList = address, true
	w.listener.DiscoveryAddressChanged(listValidityAfterAddressChange)
	close(w.addressChanged)
	w.addressChanged = make(chan struct{})
	if w.watchRequested {
		w.setActive(true)
	}
}

// Stop ends all calls for good: the one in flight is aborted, and none begins after it.
func (w *watch) Stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.isStopped() {
		return
	}
	close(w.stopped)
	w.active = false
	close(w.addressChanged) // aborts the call in flight
}

// isStopped reports whether Stop has been called.
func (w *watch) isStopped() bool {
	select {
	case <-w.stopped:
		return true
	default:
		return false
	}
}

// pause waits for the delay before a call. It returns false if Stop is called meanwhile.
func (w *watch) pause(delay time.Duration) bool {
	select {
	case <-time.After(max(delay, 0)):
		return !w.isStopped()
	case <-w.stopped:
		return false
	}
}

// Poll fetches the full list once, in the background. It repeats the call if the address changes meanwhile.
func (w *watch) Poll() {
	go func() {
		for done := false; !done; {
			done = w.pollOnce()
		}
	}()
}

// pollOnce makes one call for the full list. It returns false if the address changed during the call, which must then
// be repeated.
func (w *watch) pollOnce() bool {
	w.mutex.Lock()
	connection, timeout := newDiscoveryConn(w.address, w.addressChanged), w.callTimeout
	w.mutex.Unlock()
	defer connection.close()
	start := time.Now()
	received, err := connection.roundTrip(protocol.AppendListRequest(nil, connection.address), timeout)
	if errors.Is(err, errAddressChanged) {
		return w.isStopped()
	}
	w.notifyListener(callResult{address: connection.address, answer: received, err: err, start: start})
	return true
}
