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

// Guards against a tight loop of calls to a discovery service that answers every call immediately.
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

// Guards against a tight loop of calls to a discovery service that fails immediately: without a minimum interval
// between calls, the balancer could restart the watch as soon as it is notified of the failure.
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

// A discovery service that is cut off from the network accepts the call and never answers, while its connection looks
// alive. Each call has a timeout, so that the balancer is notified of the failure.
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

// Guards against two failures. An unanswered watch call was detected only 7 s after its start, although the node counts
// as notified of a missed change 6 s after discovery stopped answering, or 2 s after the end of the call's wait. And
// one change synchronized the watch calls of all nodes permanently, so that all of them timed out together if discovery
// stopped answering.
func TestUnansweredWatchTimesOutWithJitteredWaits(t *testing.T) {
	if maxWatchWait+watchTimeoutSlack > 5*time.Second || watchTimeoutSlack > time.Second {
		t.Errorf("a timeout is detected up to %v after the start of a call and %v after its wait: too late for a new call",
			maxWatchWait+watchTimeoutSlack, watchTimeoutSlack)
	}
	waits := make(chan int, 40)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ms, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
		select {
		case waits <- ms:
			respond(w, `{"rev":41,"all":false,"targets":[]}`)
		default: // it does not answer any further calls
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
	received.want(t, "timeout") // at the end of watchSlack, as the call waits
	if first := <-waits; first != 0 {
		t.Errorf("the first call waits %d ms, want 0", first)
	}
	seen := map[int]bool{}
	for range cap(waits) - 1 {
		ms := <-waits
		if seen[ms] = true; ms < 100 || ms > 200 {
			t.Errorf("a call waits %d ms, want 100 to 200", ms)
		}
	}
	if len(seen) < 10 {
		t.Errorf("%d calls wait for only %d different times", cap(waits)-1, len(seen))
	}
}

// Guards against a discovery service that is never heard because it answers later than the first timeout: the timeout
// grows from call to call until a call is answered.
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
		t.Errorf("%d consecutive timeouts after an answered call, want 0", w.consecutiveTimeouts)
	}
}
