package node

import (
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// A timer that reschedules itself with next to no delay does not keep posted work out. The balancer sets such timers
// where its settings state no time between two polls.
func TestTimersDoNotStarvePostedWork(t *testing.T) {
	n, _ := startNode(t, nil, nil)
	var reschedule func()
	reschedule = func() { n.scheduleAt(n.now(), reschedule) }
	n.post(reschedule)
	done := make(chan struct{})
	n.post(func() { n.post(func() { close(done) }) })
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Error("a posted callback never ran")
	}
}

// Warnings that a peer can cause at any rate do not fill the log.
func TestWarningsAreRateLimited(t *testing.T) {
	n, _ := startNode(t, nil, nil)
	var out strings.Builder
	runOnLoop(n, func() {
		n.log = slog.New(slog.NewTextHandler(&out, nil))
		for range 1000 {
			n.warnLimited("malformed answer", "endpoint", "h")
		}
		n.runMaintenance()
		n.warnLimited("malformed answer", "endpoint", "h")
		n.log = slog.New(slog.DiscardHandler)
	})
	got := strings.Count(out.String(), "msg=\"malformed answer\"")
	if got != maxWarningsPerInterval+1 || !strings.Contains(out.String(), "count=995") {
		t.Errorf("%d lines, and %.300s", got, out.String())
	}
}

// Operators' calls run before everything that clients have caused, however much that is.
func TestOperatorCallsHavePriority(t *testing.T) {
	n, _ := startNode(t, nil, nil)
	started, answered := make(chan struct{}), make(chan struct{})
	var callbacksRun atomic.Int64
	go func() {
		<-started
		n.Standby(func(error) {
			if count := callbacksRun.Load(); count > 0 {
				t.Errorf("answered after %d other callbacks", count)
			}
			close(answered)
		})
	}()
	n.post(func() {
		close(started)
		for visible := false; !visible; { // until the call is visible
			n.mu.Lock()
			visible = len(n.priorityPosted) > 0
			n.mu.Unlock()
		}
	})
	for range 10_000 {
		n.post(func() { callbacksRun.Add(1) })
	}
	<-answered
}

// Once an operator's call is visible, so is the flag that tells the event loop: in between, it would go on with
// clients' work.
func TestPriorityFlagIsSetBeforeCallIsVisible(t *testing.T) {
	n := &Node{wake: make(chan struct{}, 1)}
	for range 5000 {
		go n.postPriority(func() {})
		for visible := false; !visible; {
			n.mu.Lock()
			if visible = len(n.priorityPosted) > 0; visible && !n.priorityPending.Load() {
				n.mu.Unlock()
				t.Fatal("a call is visible without its flag")
			}
			n.mu.Unlock()
		}
		n.runPriority()
	}
}
