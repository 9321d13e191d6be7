package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// restartLoad sends non-idempotent requests to a node while it is restarted, and counts their outcomes.
type restartLoad struct {
	address  string
	stop     chan struct{}
	workers  sync.WaitGroup
	sent     atomic.Int64
	rejected atomic.Int64 // requests without an answer
	failed   atomic.Int64 // requests with an answer other than a complete one with status 200
}

// startRestartLoad starts workers that each send one request after another to address, until stop is closed.
func startRestartLoad(t *testing.T, address string, workers int) *restartLoad {
	t.Helper()
	load := &restartLoad{address: address, stop: make(chan struct{})}
	for range workers {
		load.workers.Go(func() { load.run(t) })
	}
	return load
}

func (l *restartLoad) run(t *testing.T) {
	t.Helper()
	transport := &http.Transport{MaxConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	for {
		select {
		case <-l.stop:
			return
		default:
		}
		id := fmt.Sprint("u", l.sent.Add(1))
		status, err := send(transport, http.MethodPost, "http://"+l.address+"/read", id)
		if status == 0 {
			l.rejected.Add(1)
			continue
		}
		if err != nil || status != http.StatusOK {
			l.failed.Add(1)
			t.Log(status, err)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// executionCounter is a backend that counts the executions of each request by its trace ID.
type executionCounter struct {
	mutex sync.Mutex
	byID  map[string]int
}

func (c *executionCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mutex.Lock()
	c.byID[r.Header.Get("X-Trace-Id")]++
	c.mutex.Unlock()
	respond(w, "served")
}

// duplicates returns the number of requests that were executed more than once.
func (c *executionCounter) duplicates() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	duplicates := 0
	for _, executions := range c.byID {
		if executions > 1 {
			duplicates++
		}
	}
	return duplicates
}

// freeAddress returns an address on which no process listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// activate calls /active at the admin address with a lease and its fencing token, and checks the status of the answer.
func activate(t *testing.T, admin string, token, want int) {
	t.Helper()
	url := fmt.Sprintf("http://%s/active?lease=roll&token=%d", admin, token)
	request, err := http.NewRequest(http.MethodPut, url, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	status, err := roundTrip(http.DefaultTransport, request)
	if err != nil {
		t.Fatal(err)
	}
	if status != want {
		t.Errorf("token %d: status %d, want %d", token, status, want)
	}
}

// Guards against hot restarts that lose requests: under load, a new process replaces the old one several times. No
// request is rejected or fails, and none is executed twice. Without a handoff, for example without a directory for its
// socket, the same would hold except for requests on connections that the operating system resets.
func TestHotRestartsUnderLoadLoseNoRequest(t *testing.T) {
	executions := &executionCounter{byID: map[string]int{}}
	backend := httptest.NewServer(executions)
	defer backend.Close()
	discovery := startIdleDiscovery(t)
	text := strings.NewReplacer("127.0.0.1:1\"", backend.Listener.Addr().String()+"\"", `"listen":"127.0.0.1:0"`,
		`"operator":"127.0.0.1:0","listen":"`+freeAddress(t)+`"`, "127.0.0.1:8500", discovery.Listener.Addr().String(),
		`"effect":"repeatable"`, `"effect":"once"`, "600000", "60000000", "1500000", "60000000").Replace(validConfig)
	t.Setenv("TMPDIR", t.TempDir())
	process, address, admin := startTestProcess(t, text)
	load := startRestartLoad(t, address, 6)
	const restarts = 20 // each waits for a shutdown, which takes 0.75 s
	var longestStart time.Duration
	activate(t, admin, 10, http.StatusOK)
	for i := range restarts {
		start := time.Now()
		successor, _, admin := startTestProcess(t, text)
		activate(t, admin, 9+i, http.StatusConflict) // a token that was stale before the restart stays stale
		activate(t, admin, 11+i, http.StatusOK)
		status, err := send(http.DefaultTransport, http.MethodGet, "http://"+admin+"/status", "status")
		if err != nil || status != http.StatusOK {
			t.Fatal(status, err)
		}
		longestStart = max(longestStart, time.Since(start))
		process.cancel()
		process.log.await(t, "msg=stopped")
		process.stop(t)
		process = successor
	}
	close(load.stop)
	load.workers.Wait()
	process.stop(t)
	duplicates := executions.duplicates()
	t.Logf("%d restarts, %d requests: %d rejected, %d failed, %d executed twice; at most %v until the admin address serves",
		restarts, load.sent.Load(), load.rejected.Load(), load.failed.Load(), duplicates, longestStart.Round(time.Millisecond))
	if load.rejected.Load()+load.failed.Load() > 0 || duplicates > 0 {
		t.Error("requests were rejected, failed or executed twice")
	}
}

// Guards against a successor that falls back to the endpoint list of its configuration although the predecessor has a
// newer list without endpoints, or a confirmed one with a lower revision: requests would then reach removed endpoints.
// The lease on the predecessor's list is handed over with the list.
func TestSuccessorInheritsListWithoutEndpoints(t *testing.T) {
	for name, lists := range map[string][]string{
		"empty": {`{"rev":50,"all":true,"targets":[]}`},
		"lower": {`{"rev":7,"all":true,"targets":[]}`, `{"rev":7,"all":true,"targets":[]}`},
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if call := int(calls.Add(1)); call <= len(lists) {
					respond(w, lists[call-1])
					return
				}
				<-r.Context().Done() // no further call is answered, including those of the successor
			}))
			defer discovery.Close()
			defer discovery.CloseClientConnections()
			var removedBackendRequests atomic.Int32
			backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { removedBackendRequests.Add(1) }))
			defer backend.Close()
			text := strings.NewReplacer("127.0.0.1:1\"", backend.Listener.Addr().String()+"\"", `"listen"`, `"operator":"127.0.0.1:0","listen"`,
				"127.0.0.1:8500", discovery.Listener.Addr().String()).Replace(validConfig)
			t.Setenv("TMPDIR", t.TempDir())
			process, _, _ := startTestProcess(t, text)
			for end := time.Now().Add(testTimeout); int(calls.Load()) <= len(lists) && time.Now().Before(end); {
				time.Sleep(time.Millisecond) // the next call shows that the last list was applied
			}
			successor, address, _ := startTestProcess(t, text)
			process.log.await(t, "successor serving")
			process.cancel()
			process.log.await(t, "msg=stopped")
			for i := range 5 {
				status, err := send(&http.Transport{DisableKeepAlives: true}, http.MethodGet, "http://"+address+"/read", fmt.Sprint("e", i))
				if err != nil || status != http.StatusServiceUnavailable {
					t.Error(status, err)
				}
			}
			if n := removedBackendRequests.Load(); n > 0 {
				t.Errorf("%d requests reached the removed backend", n)
			}
			successor.stop(t)
			process.stop(t)
		})
	}
}

// startIdleDiscovery starts a discovery service that reports no changes.
func startIdleDiscovery(t *testing.T) *httptest.Server {
	t.Helper()
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.RequestURI, "timeout_ms=0") {
			<-r.Context().Done()
			return
		}
		respond(w, `{"rev":41,"all":false,"targets":[]}`)
	}))
	t.Cleanup(discovery.Close)
	t.Cleanup(discovery.CloseClientConnections)
	return discovery
}

// hotRestartConfig returns the configuration of a node that takes part in hot restarts, with a backend and a discovery
// service that reports no changes.
func hotRestartConfig(t *testing.T) string {
	t.Helper()
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { respond(w, "served") }))
	t.Cleanup(backend.Close)
	t.Setenv("TMPDIR", t.TempDir())
	return strings.NewReplacer("127.0.0.1:1\"", backend.Listener.Addr().String()+"\"",
		"127.0.0.1:8500", startIdleDiscovery(t).Listener.Addr().String(),
		`"listen"`, `"operator":"127.0.0.1:0","listen"`).Replace(validConfig)
}

// Guards against a hot restart that leaves no serving process: if the successor receives the handoff and then fails to
// start, the predecessor continues to accept and serve. The handoff includes the endpoint list with its revision.
func TestPredecessorServesOnAfterFailedHotRestart(t *testing.T) {
	text := hotRestartConfig(t)
	process, address, admin := startTestProcess(t, text)
	broken := strings.Replace(text, `"operator":"127.0.0.1:0"`, `"operator":"`+admin+`"`, 1) // already in use
	config := parseConfig(t, strings.Replace(broken, `"rev":41`, `"rev":7`, 1))
	log := make(logLines, 100)
	if err := Serve(context.Background(), config, nil, nil, log.logger()); err == nil {
		t.Error("a successor started, although its admin address is in use")
	}
	if line := log.await(t, "handoff received"); !strings.Contains(line, "rev=41 backends=1") {
		t.Error(line)
	}
	process.log.await(t, "handoff sent")
	process.log.await(t, "successor exited")
	transport := &http.Transport{DisableKeepAlives: true} // each request opens a new connection
	for i := range 20 {
		status, err := send(transport, http.MethodGet, "http://"+address+"/read", fmt.Sprint("f", i))
		if err != nil || status != http.StatusOK {
			t.Fatal(status, err)
		}
	}
	process.stop(t)
}
