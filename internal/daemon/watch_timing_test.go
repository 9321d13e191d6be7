package daemon

import (
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"
)

// A discovery that answers at once, whatever the call, is not called in a tight loop.
func TestImmediateAnswersDoNotCauseTightLoop(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		respond(w, `{"rev":1,"all":false,"targets":[]}`)
	}))
	defer server.Close()
	received := make(notifications, 100)
	w := newWatch(server.Listener.Addr().String(), 1, slog.New(slog.DiscardHandler))
	w.listener, w.minCallInterval = received, 20*time.Millisecond
	began := time.Now()
	w.Watch(true)
	for range 5 {
		received.want(t, "list 1 false")
	}
	w.Watch(false)
	if took := time.Since(began); took < 4*w.minCallInterval {
		t.Errorf("five calls in %v", took)
	}
}

// Nor is one that fails at once, however often the watch is restarted: without a time between its calls, the
// decision module would restart it as soon as it learns of the failure.
func TestFailingDiscoveryIsNotCalledInTightLoop(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close() // connections are refused from here on
	received := make(notifications, 100)
	w := newWatch(ln.Addr().String(), 1, slog.New(slog.DiscardHandler))
	w.listener, w.minCallInterval = received, 20*time.Millisecond
	began := time.Now()
	for range 5 {
		w.Watch(true)
		received.want(t, "failed")
	}
	if took := time.Since(began); took < 4*w.minCallInterval {
		t.Errorf("five calls in %v", took)
	}
}

// A discovery that is cut off accepts the call and never answers; its connection looks alive. Each call has a
// timeout of its own, so that the decision module learns of it.
func TestUnansweredCallTimesOut(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	received := make(notifications, 1)
	w := newWatch(ln.Addr().String(), 1, slog.New(slog.DiscardHandler))
	w.listener, w.callTimeout = received, 50*time.Millisecond
	w.Watch(true)
	received.want(t, "timeout")
}

// Guards: a watch without an answer was noticed 7 s after its call, and what it had missed counts as notified 6 s after
// discovery stopped answering, or 2 s after the call's wait. And one change synchronized all nodes for ever after: their
// calls would also time out together where discovery stops answering all.
func TestUnansweredWatchTimesOutWithJitteredWaits(t *testing.T) {
	if maxWatchWait+watchTimeoutSlack > 5*time.Second || watchTimeoutSlack > time.Second {
		t.Errorf("a timeout is noticed after up to %v, %v after the wait: too late for a new call",
			maxWatchWait+watchTimeoutSlack, watchTimeoutSlack)
	}
	waits := make(chan int, 40)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ms, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
		select {
		case waits <- ms:
			respond(w, `{"rev":41,"all":false,"targets":[]}`)
		default: // from now on it does not answer
			<-r.Context().Done()
		}
	}))
	defer server.Close()
	defer server.CloseClientConnections()
	received := make(notifications, 50)
	w := newWatch(server.Listener.Addr().String(), 41, slog.New(slog.DiscardHandler))
	w.listener, w.minCallInterval, w.watchSlack, w.callTimeout = received, time.Millisecond, time.Millisecond, time.Minute
	w.maxWait, w.waitJitter = 200*time.Millisecond, 100*time.Millisecond
	w.Watch(true)
	for range cap(waits) {
		received.want(t, "list 41 false")
	}
	received.want(t, "timeout") // after the slack of a call that waits
	if first := <-waits; first != 0 {
		t.Errorf("the first call waits %d ms", first)
	}
	seen := map[int]bool{}
	for range cap(waits) - 1 {
		ms := <-waits
		if seen[ms] = true; ms < 100 || ms > 200 {
			t.Errorf("a call waits %d ms", ms)
		}
	}
	if len(seen) < 10 {
		t.Errorf("%d calls wait %d different times", cap(waits)-1, len(seen))
	}
}

// A discovery that takes longer for an answer than one call allows is received all the same: the timeout grows from call
// to call, until one is answered.
func TestTimeoutGrowsUntilSlowDiscoveryAnswers(t *testing.T) {
	waited := make(chan bool, 10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(300 * time.Millisecond):
			waited <- true
			respond(w, `{"rev":42,"all":false,"targets":[]}`)
		case <-r.Context().Done():
			waited <- false
		}
	}))
	defer server.Close()
	defer server.CloseClientConnections()
	received := make(notifications, 10)
	w := newWatch(server.Listener.Addr().String(), 41, slog.New(slog.DiscardHandler))
	w.listener, w.callTimeout, w.minCallInterval = received, 200*time.Millisecond, time.Millisecond
	w.Watch(true)
	received.want(t, "timeout")
	w.Watch(true)
	received.want(t, "list 42 false")
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.consecutiveTimeouts != 0 {
		t.Errorf("%d consecutive timeouts after a call that was answered", w.consecutiveTimeouts)
	}
}
