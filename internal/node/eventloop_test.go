package node

import (
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// A timer that sets itself anew with next to no delay does not keep out what is posted. The module sets such
// timers where its settings name no time between two calls to discovery.
func TestTimersDoNotStarvePostedWork(t *testing.T) {
	n, _ := startNode(t, nil, nil)
	var again func()
	again = func() { n.scheduleAt(n.now(), again) }
	n.post(again)
	seen := make(chan struct{})
	n.post(func() { n.post(func() { close(seen) }) })
	select {
	case <-seen:
	case <-time.After(20 * time.Second):
		t.Error("what was posted never ran")
	}
}

// What a peer can cause as often as it likes does not fill the log.
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
	if got := strings.Count(out.String(), "msg=\"malformed answer\""); got != maxWarningsPerInterval+1 || !strings.Contains(out.String(), "count=995") {
		t.Errorf("%d lines, and %.300s", got, out.String())
	}
}

// What operators ask comes ahead of all that clients have caused, however much that is.
func TestOperatorCallsHavePriority(t *testing.T) {
	n, _ := startNode(t, nil, nil)
	begun, all := make(chan struct{}), make(chan struct{})
	var ran atomic.Int64
	go func() {
		<-begun
		n.Standby(func(error) {
			if k := ran.Load(); k > 0 {
				t.Errorf("answered after %d other things", k)
			}
			close(all)
		})
	}()
	n.post(func() {
		close(begun)
		for asked := false; !asked; { // until the call is there
			n.mu.Lock()
			asked = len(n.priorityPosted) > 0
			n.mu.Unlock()
		}
	})
	for range 10_000 {
		n.post(func() { ran.Add(1) })
	}
	<-all
}

// Whoever can see that an operator has asked finds that said to Run's goroutine, too: in between, it would go on with what clients cause.
func TestPriorityFlagIsSetBeforeCallIsVisible(t *testing.T) {
	n := &Node{wake: make(chan struct{}, 1)}
	for range 5000 {
		go n.postPriority(func() {})
		for seen := false; !seen; {
			n.mu.Lock()
			if seen = len(n.priorityPosted) > 0; seen && !n.priorityPending.Load() {
				n.mu.Unlock()
				t.Fatal("asked, and not urgent")
			}
			n.mu.Unlock()
		}
		n.runPriority()
	}
}
