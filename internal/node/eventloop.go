package node

import "time"

// post queues a callback for the event loop. It never blocks.
func (n *Node) post(callback func()) {
	n.mu.Lock()
	n.posted = append(n.posted, callback)
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// postPriority queues a callback that runs before all callbacks queued by post, so that load from clients does not
// delay an operator's call.
func (n *Node) postPriority(callback func()) {
	n.mu.Lock()
	n.priorityPosted = append(n.priorityPosted, callback)
	// The flag is set before mu is released, so that the event loop runs the callback before its next ordinary one as
	// soon as the callback is visible in the queue.
	n.priorityPending.Store(true)
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// runPriority runs the callbacks that postPriority has queued.
func (n *Node) runPriority() {
	if !n.priorityPending.Swap(false) {
		return
	}
	n.mu.Lock()
	callbacks := n.priorityPosted
	n.priorityPosted = nil
	n.mu.Unlock()
	for _, callback := range callbacks {
		callback()
		n.runDeferred()
	}
}

// Run runs the event loop until stop is closed.
func (n *Node) Run(stop <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var batch []func()
	n.scheduleAt(n.now()+maintenanceInterval, n.runMaintenance)
	for {
		n.mu.Lock()
		batch, n.posted = n.posted, batch[:0]
		n.mu.Unlock()
		n.runPriority()
		for i, callback := range batch {
			n.runPriority()
			callback()
			n.runDeferred()
			batch[i] = nil
		}
		delay := n.runDueTimers()
		n.checkDrained()
		n.mu.Lock()
		pending := len(n.posted)+len(n.priorityPosted) > 0
		n.mu.Unlock()
		if pending {
			continue
		}
		timer.Reset(delay)
		select {
		case <-stop:
			return
		case <-n.wake:
		case <-timer.C:
		}
	}
}

// runDeferred delivers the results that were queued while the balancer was being called, and any further results that
// their delivery queues.
func (n *Node) runDeferred() {
	for i := 0; i < len(n.deferred); i++ {
		callback := n.deferred[i]
		n.deferred[i] = nil
		callback()
	}
	n.deferred = n.deferred[:0]
}
