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

// endpointListener receives what calls to discovery bring.
type endpointListener interface {
	// UpdateEndpointsAsOf is an answer, the time at which it was current, and how it relates to those before.
	UpdateEndpointsAsOf(list protocol.List, asOf time.Time, order staleness.RevisionOrder)
	// DiscoveryCallFailed is a failed call, and the time as of which nothing newer could be had.
	DiscoveryCallFailed(err error, kind balancer.ListKind, asOf time.Time)
	// DiscoveryAddressChanged limits for how long the list received so far stays valid.
	DiscoveryAddressChanged(validity time.Duration)
}

// watch polls discovery for the endpoint list, watches it for changes, or both. Each Watch and each Poll leads to at least
// one list or failure at the listener. SetAddress may be called at any time.
type watch struct {
	listener          endpointListener
	maxWait           time.Duration // a watch call waits for events for so long at most
	callTimeout       time.Duration // of a call that does not wait
	queueingThreshold time.Duration // a call that does not wait and fails after so long was queued by discovery
	watchSlack        time.Duration // a watch call is given up so long after its wait
	waitJitter        time.Duration // a watch call waits up to so much less than maxWait
	minCallInterval   time.Duration
	onPushFailure     func(error) // where lists are pushed: the watch never ends, and the first of failures in a row is passed to this

	calls     callLog   // of run's goroutine
	startedAt time.Time // the origin of the times that revisions gets

	mutex               sync.Mutex
	address             string
	addressChanged      chan struct{} // closed, and replaced, as address changes
	revision            int64         // of the last answer
	revisions           staleness.RevisionTracker
	needsFullList       bool // the next call fetches the full list: revisions of another address may mean nothing here
	loopRunning         bool
	active              bool
	watchRequested      bool // what Watch was last called with; active ends with a failure, this does not
	lastCallStart       time.Time
	consecutiveTimeouts int // calls in a row that do not wait and timed out
}

func newWatch(address string, revision int64, log *slog.Logger) *watch {
	return &watch{
		calls:             callLog{log: log},
		address:           address,
		revision:          revision,
		revisions:         staleness.NewRevisionTracker(revision),
		startedAt:         time.Now(),
		addressChanged:    make(chan struct{}),
		maxWait:           maxWatchWait,
		callTimeout:       immediateCallTimeout,
		queueingThreshold: queueingThreshold,
		watchSlack:        watchTimeoutSlack,
		waitJitter:        maxWatchWait / 2,
		minCallInterval:   minCallInterval,
	}
}

// startPushed watches an agent, which answers at no cost with the lists that are pushed to it, from now to the end of
// the process. What the agent has counts as notified, so the watch does not wait for the decision module to call Watch
// again, and a call that the agent does not answer is given up well within drainGrace, in microseconds.
func (w *watch) startPushed(drainGrace int64, onFailure func(error)) {
	w.waitJitter = 0 // the agent is on this machine and serves this node alone
	w.onPushFailure = onFailure
	w.setDrainGrace(drainGrace)
	w.Watch(true)
}

// setDrainGrace sets how long calls to an agent may take, from the next one on, where the node must notice a draining
// endpoint within drainGrace, in microseconds.
func (w *watch) setDrainGrace(drainGrace int64) {
	quarter := time.Duration(drainGrace) * time.Microsecond / 4
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.maxWait = min(max(quarter, w.minCallInterval), maxWatchWait)
	w.callTimeout = min(max(quarter, w.minCallInterval), immediateCallTimeout)
	w.watchSlack = w.callTimeout
}

// Watch starts the watch, or ends it once the call in flight has returned.
func (w *watch) Watch(on bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.watchRequested = on
	w.setActive(on)
}

func (w *watch) setActive(active bool) {
	w.active = active
	if active && !w.loopRunning {
		w.loopRunning = true
		go w.run()
	}
}

// SetAddress changes the address of discovery. A call in flight is given up, and a watch continues at the new address at
// once, also one that has failed: the decision module would restart it only after its backoff.
func (w *watch) SetAddress(address string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if address == w.address {
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

// Poll fetches the full list once.
func (w *watch) Poll() {
	go func() {
		for done := false; !done; {
			done = w.pollOnce()
		}
	}()
}

// pollOnce makes one call for the full list. It returns false where the address changed during the call, which then must be
// repeated.
func (w *watch) pollOnce() bool {
	w.mutex.Lock()
	connection, timeout := newDiscoveryConn(w.address, w.addressChanged), w.callTimeout
	w.mutex.Unlock()
	defer connection.close()
	start := time.Now()
	received, err := connection.roundTrip(protocol.AppendListRequest(nil, connection.address), timeout)
	if errors.Is(err, errAddressChanged) {
		return false
	}
	w.notifyListener(callResult{address: connection.address, answer: received, err: err, start: start})
	return true
}
