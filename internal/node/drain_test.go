package node

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tulipglade/internal/protocol"
)

// call makes an operator's call and waits for its answer.
func call(f func(func(error))) error {
	answer := make(chan error, 1)
	f(func(err error) { answer <- err })
	return <-answer
}

// age moves the beginning of the drain that is on back in time, so that no test waits for it.
func age(n *Node, us int64) {
	done := make(chan struct{})
	n.post(func() {
		n.drain.startedAt -= us
		n.drainTick(n.drain.generation)
		close(done)
	})
	<-done
}

// A connection whose answer is still on its way as the drain begins closes behind that answer: a request that
// came on it later would be lost at the end of the process.
func TestDrainDuringAnAnswer(t *testing.T) {
	n, addr := start(t, nil, nil)
	conn := dial(t, addr)
	until(n, func() bool { return len(n.clients) == 1 })
	done := make(chan struct{})
	n.post(func() {
		for c := range n.clients {
			c.setIdle(false)
			c.reply(nil, 200, nil, nil, 0)
		}
		n.Drain(0, func() { close(done) })
	})
	if code, _, closing := conn.answer(); code != 200 || closing {
		t.Errorf("%d, closing %v", code, closing)
	}
	if _, err := conn.r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("behind the answer: %v", err)
	}
	<-done
}

// At a stop: not ready any more, idle connections close after a while, and until then serve a request more; new ones
// are served, all that was taken is answered.
func TestDrain(t *testing.T) {
	a, arrived, release := newHeldApp(t)
	n, addr := start(t, []protocol.Target{target("a", a)}, nil)
	idle, used, busy := dial(t, addr), dial(t, addr), dial(t, addr)
	for _, c := range []*caller{idle, used} {
		if code, _, _ := c.ask(ready); code != 200 {
			t.Fatalf("ready: %d", code)
		}
	}
	_, _ = io.WriteString(busy, text("once", 9000))
	<-arrived
	done := make(chan struct{})
	n.Drain(0, func() { close(done) })
	if code, _, closing := dial(t, addr).ask(ready); code != 503 || !closing {
		t.Errorf("ready while draining: %d, closing %v", code, closing)
	}
	late := dial(t, addr)
	for _, c := range []*caller{late, used} {
		_, _ = io.WriteString(c, text("once", 9000))
		<-arrived
	}
	if _, err := idle.r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: %v", err)
	}
	select {
	case <-done:
		t.Error("done with requests unanswered")
	default:
	}
	close(release)
	for _, c := range []*caller{busy, late, used} {
		if code, _, closing := c.answer(); code != 200 || !closing {
			t.Errorf("taken before the end: %d, closing %v", code, closing)
		}
	}
	<-done
}

// A stop waits a little for a request that is still coming in: turned back, its client would have to send it again.
func TestStopWaitsForWhatIsComingIn(t *testing.T) {
	n, addr := start(t, []protocol.Target{target("a", newApp(t, serve))}, nil)
	conn := dial(t, addr)
	request := text("once", 9000)
	_, _ = io.WriteString(conn, request[:30])
	until(n, func() bool { return n.hasIncomingRequest() })
	done := make(chan struct{})
	n.Drain(0, func() { close(done) })
	age(n, idleCloseDelay)
	if code, _, closing := conn.ask(request[30:]); code != 200 || !closing {
		t.Errorf("%d, closing %v", code, closing)
	}
	<-done
}

// A standby sends clients away: from the call on not ready, what is open is answered and its connection closed, idle
// connections close, and in the end nobody is held. Active takes all of it back, and repeats change nothing.
func TestStandby(t *testing.T) {
	a, arrived, release := newHeldApp(t)
	n, addr := start(t, []protocol.Target{target("a", a)}, nil)
	idle, busy := dial(t, addr), dial(t, addr)
	idle.ask(ready)
	_, _ = io.WriteString(busy, text("once", 9000))
	<-arrived
	for range 2 {
		if err := call(n.Standby); err != nil {
			t.Error(err)
		}
	}
	if code, _, _ := dial(t, addr).ask(ready); code != 503 {
		t.Errorf("ready in standby: %d", code)
	}
	if err := call(n.Status); err != nil {
		t.Errorf("status in standby: %v", err)
	}
	if _, err := idle.r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: %v", err)
	}
	close(release)
	if code, _, closing := busy.answer(); code != 200 || !closing {
		t.Errorf("taken before: %d, closing %v", code, closing)
	}
	age(n, rejectDelay)
	if code, _, closing := dial(t, addr).ask(text("read", 9000)); code != 503 || !closing {
		t.Errorf("long after the call: %d, closing %v", code, closing)
	}
	silent := dial(t, addr)
	if _, err := silent.r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("a connection that says nothing: %v", err)
	}
	for range 2 {
		if err := call(n.Active); err != nil {
			t.Error(err)
		}
	}
	back := dial(t, addr)
	go func() { <-arrived }()
	for _, request := range []string{ready, text("read", 9000), ready} {
		if code, _, closing := back.ask(request); code != 200 || closing {
			t.Errorf("active again: %d, closing %v", code, closing)
		}
	}
}

// A stop during a standby, calls during a stop, and calls before any backend is known have answers of their own.
func TestCallsAtOtherTimes(t *testing.T) {
	n, addr := start(t, nil, nil)
	if err := call(n.Status); !errors.Is(err, errNoEndpoints) {
		t.Errorf("status without a list: %v", err)
	}
	if err := call(n.Standby); err != nil {
		t.Errorf("standby without a list: %v", err)
	}
	n.UpdateEndpoints(protocol.List{All: true, Targets: []protocol.Target{{UID: "a", Endpoint: "127.0.0.1:1"}}}, false)
	until(n, func() bool { return n.endpointsKnown })
	if err := call(n.Status); err != nil {
		t.Errorf("status with a list: %v", err)
	}
	if code, _, _ := dial(t, addr).ask(ready); code != 503 {
		t.Errorf("a standby from before the list: ready says %d", code)
	}
	done := make(chan struct{})
	n.Drain(0, func() { close(done) })
	for name, c := range map[string]struct {
		ask  func(func(error))
		want error
	}{"status": {n.Status, errStopping}, "standby": {n.Standby, nil}, "active": {n.Active, errStopping}} {
		if err := call(c.ask); !errors.Is(err, c.want) {
			t.Errorf("%s during a stop: %v, want %v", name, err, c.want)
		}
	}
	<-done
}

// Standby and active in turn under load: each request gets its answer. One that crosses the close of its connection is
// sent again on a new one, as clients do; these are counted.
func TestStandbyInTurns(t *testing.T) {
	n, addr := start(t, []protocol.Target{target("a", newApp(t, serve)), target("b", newApp(t, serve))}, nil)
	stop := make(chan struct{})
	var served, again, lost atomic.Int64
	var wait sync.WaitGroup
	for range 8 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			one := &http.Transport{MaxConnsPerHost: 1}
			defer one.CloseIdleConnections()
			for {
				select {
				case <-stop:
					return
				default:
				}
				ok := false
				for try := 0; try < 2 && !ok; try++ {
					req, _ := http.NewRequest("POST", "http://"+addr+"/once", http.NoBody)
					req.Header = http.Header{"X-Trace-Id": {fmt.Sprint("turn", lastTrace.Add(1))}, "X-Customer": {"t"}}
					if resp, err := one.RoundTrip(req); err == nil {
						_, err = io.Copy(io.Discard, resp.Body)
						_ = resp.Body.Close()
						ok = err == nil && resp.StatusCode == 200
					} else {
						again.Add(1)
					}
				}
				if served.Add(1); !ok {
					lost.Add(1)
				}
			}
		}()
	}
	for turn := range 100 {
		if err := call(n.Standby); err != nil {
			t.Fatal(err)
		}
		if turn%4 == 0 {
			age(n, idleCloseDelay) // idle connections close at once
		}
		for before := served.Load(); served.Load() < before+8; {
			time.Sleep(time.Millisecond)
		}
		if err := call(n.Active); err != nil {
			t.Fatal(err)
		}
	}
	close(stop)
	wait.Wait()
	t.Logf("%d requests in 100 turns, %d sent again, %d lost", served.Load(), again.Load(), lost.Load())
	if lost.Load() > 0 {
		t.Error("requests were lost")
	}
}

// What operators ask comes ahead of all that clients have caused, however much that is.
func TestOperatorsComeFirst(t *testing.T) {
	n, _ := start(t, nil, nil)
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
func TestAskedIsUrgentAtOnce(t *testing.T) {
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
