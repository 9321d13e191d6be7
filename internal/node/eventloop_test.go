package node

import (
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// A timer that reschedules itself with almost no delay must not starve posted callbacks. The balancer sets such timers
// if its settings define no time between two polls.
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

// Warnings that a peer can cause at any rate must not flood the log: each message is logged a limited number of times
// between two runs of runMaintenance, which logs how many were suppressed.
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
		t.Errorf("%d warnings were logged: %.300s", got, out.String())
	}
}

// Operators' calls must run before all callbacks that are already posted, however many of these there are.
func TestOperatorCallsHavePriority(t *testing.T) {
	n, _ := startNode(t, nil, nil)
	started, answered := make(chan struct{}), make(chan struct{})
	var callbacksRun atomic.Int64
	go func() {
		<-started
		n.Standby(func(error) {
			if count := callbacksRun.Load(); count > 0 {
				t.Errorf("the call was answered after %d other callbacks", count)
			}
			close(answered)
		})
	}()
	n.post(func() {
		close(started)
		for visible := false; !visible; { // wait until the call is queued
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

// As soon as an operator's call is in the queue, the flag that makes the event loop look there must be set. If it were
// set later, the event loop would run more of the clients' callbacks first.
func TestPriorityFlagIsSetBeforeCallIsVisible(t *testing.T) {
	n := &Node{wake: make(chan struct{}, 1)}
	for range 5000 {
		go n.postPriority(func() {})
		for visible := false; !visible; {
			n.mu.Lock()
			if visible = len(n.priorityPosted) > 0; visible && !n.priorityPending.Load() {
				n.mu.Unlock()
				t.Fatal("a call is queued, but the flag is not set")
			}
			n.mu.Unlock()
		}
		n.runPriority()
	}
}
