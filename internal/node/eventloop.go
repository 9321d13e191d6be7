package node

import (
	"time"
)

// post hands f to Run's goroutine. It never blocks.
func (n *Node) post(callback func()) {
	n.mu.Lock()
	n.posted = append(n.posted, callback)
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// postPriority hands f to Run's goroutine ahead of all that is posted: what clients cause must not hold up an operator.
func (n *Node) postPriority(callback func()) {
	n.mu.Lock()
	n.priorityPosted = append(n.priorityPosted, callback)
	n.priorityPending.Store(true) // before anybody can see that it was asked: what Run's goroutine does next is to look
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// runPriority runs what operators have asked for.
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

// Run serves until stop is closed.
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

// runDeferred delivers the results that Actions have queued, and those that these lead to.
func (n *Node) runDeferred() {
	for i := 0; i < len(n.deferred); i++ {
		callback := n.deferred[i]
		n.deferred[i] = nil
		callback()
	}
	n.deferred = n.deferred[:0]
}
