package daemon

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// With pushed lists, the watch runs without a call of Watch by the balancer and never ends. If the agent fails, does
// not answer, sends an invalid list or changes its address, it is called again, and the failure is not reported to the
// balancer, which did not start the watch. Only the first of several failures in a row is passed to the failure
// handler.
func TestPushedWatchRetriesForEver(t *testing.T) {
	answers := make(chan string, 10)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case a := <-answers:
			switch a {
			case "":
				w.WriteHeader(http.StatusServiceUnavailable)
			case "no answer":
				<-r.Context().Done()
			default:
				respond(w, a)
			}
		case <-r.Context().Done():
		}
	})
	server := httptest.NewServer(handler)
	defer server.Close()
	defer server.CloseClientConnections()
	next := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.RequestURI, "since=") {
			<-r.Context().Done() // there are no changes
			return
		}
		respond(w, `{"rev":7,"all":true,"targets":[{"uid":"a","endpoint":"127.0.0.1:1","state":"in_service"}]}`)
	}))
	defer next.Close()
	defer next.CloseClientConnections()
	received := make(notifications, 10)
	w := newWatch(server.Listener.Addr().String(), 41, slog.New(slog.DiscardHandler))
	w.listener, w.minCallInterval = received, time.Millisecond
	for _, a := range []string{"", "no answer", `{"rev":1,"all":true,"targets":[`, `{"rev":42,"all":false,"targets":[]}`,
		"no answer", `{"rev":43,"all":true,"targets":[]}`} {
		answers <- a
	}
	w.startPushed((400 * time.Millisecond).Microseconds(), func(error) { received <- "failing" })
	if w.maxWait != 100*time.Millisecond || w.callTimeout != w.maxWait {
		t.Errorf("calls wait %v and time out %v later", w.maxWait, w.callTimeout)
	}
	for _, want := range []string{"failing", "list 42 false", "failing", "list 43 true"} {
		received.want(t, want)
	}
	server.CloseClientConnections() // the agent exits, and no call to it is in flight
	w.SetAddress(next.Listener.Addr().String())
	for got := ""; got != "list 7 true"; {
		select {
		case got = <-received:
		case <-time.After(testTimeout):
			t.Fatal("no list from the agent at the new address")
		}
		if got != "failing" && got != "list 7 true" {
			t.Fatal(got)
		}
	}
	w.Watch(false)
}

// A node to which lists are pushed is notified of a draining endpoint without polling discovery.
func TestNodeReceivesPushedLists(t *testing.T) {
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.RequestURI, "since=9000") {
			<-r.Context().Done() // there are no changes
			return
		}
		respond(w, `{"rev":9000,"all":false,"targets":[{"uid":"a","endpoint":"127.0.0.1:1","state":"terminating"}]}`)
	}))
	defer agent.Close()
	defer agent.CloseClientConnections()
	config := parseConfig(t, strings.NewReplacer(
		`"ask"`, `"push"`, "127.0.0.1:8500", agent.Listener.Addr().String()).Replace(validConfig))
	ctx, stop := context.WithCancel(context.Background())
	log, ended := make(logLines, 100), make(chan error, 1)
	go func() { ended <- Serve(ctx, config, nil, nil, log.logger()) }()
	log.await(t, "msg=\"endpoint list updated\" rev=9000")
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// With pushed lists, calls to the agent wait for a quarter of the drain grace, also after a reload has changed the
// drain grace.
func TestReloadAppliesDrainGraceToPushedWatch(t *testing.T) {
	waits := make(chan string, 100)
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case waits <- r.URL.Query().Get("timeout_ms"):
		default:
		}
		respond(w, `{"rev":9000,"all":false,"targets":[]}`)
	}))
	defer agent.Close()
	defer agent.CloseClientConnections()
	withDrainGrace := func(microseconds string) string {
		return strings.NewReplacer(`"ask"`, `"push"`, "127.0.0.1:8500", agent.Listener.Addr().String(),
			`"grace_to_answer_us":20000`, `"grace_to_answer_us":20000,"drain_grace_us":`+microseconds).Replace(validConfig)
	}
	config := parseConfig(t, withDrainGrace("2000000"))
	load := func() (*Config, error) { return Parse([]byte(withDrainGrace("600000")), noEnvironment) }
	ctx, stop := context.WithCancel(context.Background())
	ended, reloads := make(chan error, 1), make(chan os.Signal, 1)
	go func() { ended <- Serve(ctx, config, load, reloads, slog.New(slog.DiscardHandler)) }()
	for _, want := range []string{"500", "150"} { // a quarter of each drain grace, in milliseconds
		for end, got := time.After(testTimeout), ""; got != want; {
			select {
			case got = <-waits:
			case <-end:
				t.Fatalf("no call to the agent waits for %s ms", want)
			}
		}
		reloads <- syscall.SIGHUP
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestStoppedNodeCallsDiscoveryNoMore guards against a watch that goes on after its node has stopped: its calls would
// reach whoever gets the port of discovery next.
func TestStoppedNodeCallsDiscoveryNoMore(t *testing.T) {
	for _, mode := range []string{"push", "ask"} {
		t.Run(mode, func(t *testing.T) {
			var calls atomic.Int32
			discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				calls.Add(1)
				respond(w, `{"rev":9000,"all":false,"targets":[]}`) // at once, so that the next call follows soon
			}))
			defer discovery.Close()
			process, _, _ := startTestProcess(t, strings.NewReplacer(
				`"ask"`, `"`+mode+`"`, "127.0.0.1:8500", discovery.Listener.Addr().String()).Replace(validConfig))
			for end := time.Now().Add(testTimeout); calls.Load() < 2 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			process.stop(t)
			time.Sleep(2 * minCallInterval) // for the call that was in flight
			stoppedAt := calls.Load()
			time.Sleep(5 * minCallInterval)
			if later := calls.Load() - stoppedAt; stoppedAt < 2 || later > 0 {
				t.Errorf("%d calls until the node stopped, %d after that", stoppedAt, later)
			}
		})
	}
}
