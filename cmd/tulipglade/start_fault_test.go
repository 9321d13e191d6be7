package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// defaultStartsPerFault is how many times TestStartBeforeFaultyDiscovery starts a process for each fault.
// STARTS_PER_FAULT sets another number.
const defaultStartsPerFault = 2

// startFault is a fault of discovery during the start of a process. The process starts with a list from before the
// removal of a backend. Periods count from the start.
type startFault struct {
	name             string
	resetCalls       int           // number of calls that are reset at first
	rejectPeriod     time.Duration // time during which calls are rejected with 503
	refusePeriod     time.Duration // time during which connections are refused, because nobody listens
	silentPeriod     time.Duration // time during which calls arrive that never get a response
	responseDuration time.Duration // time that a response takes, in ten pieces
	staleListAllowed bool          // the fault lasts so long that the process serves with its own list meanwhile
}

// startFaults lists the faults under which processes are started.
var startFaults = []startFault{
	{name: "one-reset", resetCalls: 1},
	{name: "three-resets", resetCalls: 3},
	{name: "rejected-2s", rejectPeriod: 2 * time.Second},
	{name: "refused-3s", refusePeriod: 3 * time.Second},
	{name: "refused-8s", refusePeriod: 8 * time.Second, staleListAllowed: true},
	{name: "refused-20s", refusePeriod: 20 * time.Second, staleListAllowed: true},
	{name: "silent-8s", silentPeriod: 8 * time.Second, staleListAllowed: true},
	{name: "pieces-2s", responseDuration: 2 * time.Second},
}

const (
	// serveTimeLimit is the maximum time from the start of a process until it is ready and has served a request.
	serveTimeLimit = 10 * time.Second
	// observationAfterFault is how long a process is observed after the fault.
	observationAfterFault = 3 * time.Second
)

// handler returns a handler with the fault, whose periods count from startedAt. It calls onRemovalWritten each time a
// response with the removal has been written.
func (f startFault) handler(startedAt time.Time, onRemovalWritten func()) http.HandlerFunc {
	var calls atomic.Int32
	return func(w http.ResponseWriter, r *http.Request) {
		switch call := int(calls.Add(1)); {
		case call <= f.resetCalls:
			resetConnection(w)
			return
		case time.Since(startedAt) < f.rejectPeriod:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case time.Since(startedAt) < f.silentPeriod || isUpToDate(r):
			<-r.Context().Done()
			return
		}
		for piece := range slices.Chunk([]byte(removalList), len(removalList)/10+1) {
			time.Sleep(f.responseDuration / 10)
			_, _ = w.Write(piece) // fails only if the process closed the connection; it calls again
			w.(http.Flusher).Flush()
		}
		onRemovalWritten()
	}
}

// startResult holds the measurements of one start of a process.
type startResult struct {
	readyAfter, servedAfter time.Duration // times since the start
	removedArrivals         int32         // requests that the removed backend received
	pastGrace               int32         // those that came more than removalGrace after the removal was written
}

// discoveryAddressCount counts the addresses of discovery used so far, so that concurrent starts use different ones.
var discoveryAddressCount atomic.Int32

// startFaultDiscovery is the discovery server of one start, with a fault.
type startFaultDiscovery struct {
	fault            startFault
	startedAt        time.Time
	address          string
	listener         net.Listener
	server           *httptest.Server
	removalWrittenAt atomic.Int64 // time of the first write of the removal, as Unix time in nanoseconds, or 0
}

// newStartFaultDiscovery returns a discovery server that listens, but handles calls only after listen has been called.
// It does not listen yet if the fault refuses connections.
func newStartFaultDiscovery(t *testing.T, fault startFault) *startFaultDiscovery {
	t.Helper()
	// Concurrent starts use different IP addresses, so that no other test can take the port while nobody listens.
	listener, err := net.Listen("tcp", fmt.Sprintf("127.88.%d.1:0", discoveryAddressCount.Add(1)%250))
	if err != nil {
		t.Fatal(err)
	}
	d := &startFaultDiscovery{fault: fault, startedAt: time.Now(), address: listener.Addr().String(), listener: listener}
	if fault.refusePeriod > 0 {
		_ = listener.Close() // listen opens it again after refusePeriod
	}
	d.server = httptest.NewUnstartedServer(fault.handler(d.startedAt, func() { d.removalWrittenAt.CompareAndSwap(0, time.Now().UnixNano()) }))
	t.Cleanup(d.server.Close)
	t.Cleanup(d.server.CloseClientConnections)
	return d
}

// listen begins to handle calls, after the period in which connections are refused.
func (d *startFaultDiscovery) listen(t *testing.T) {
	t.Helper()
	if d.fault.refusePeriod > 0 {
		time.Sleep(d.fault.refusePeriod)
		var err error
		if d.listener, err = net.Listen("tcp", d.address); err != nil {
			t.Fatal(err)
		}
	}
	_ = d.server.Listener.Close() // the listener that httptest has opened
	d.server.Listener = d.listener
	d.server.Start()
}

// pastGrace reports whether the removal grace has passed, so that the removed backend must not receive requests any
// more.
func (d *startFaultDiscovery) pastGrace() bool {
	writtenAt := d.removalWrittenAt.Load()
	return writtenAt > 0 && time.Since(time.Unix(0, writtenAt)) > removalGrace
}

// awaitRemoval waits until the fault has ended, the process has received the removal, and the removal grace has passed.
func (d *startFaultDiscovery) awaitRemoval(t *testing.T, p *process) {
	t.Helper()
	time.Sleep(max(d.fault.rejectPeriod, d.fault.silentPeriod, d.fault.responseDuration) + observationAfterFault)
	for end := time.Now().Add(serveTimeLimit); d.removalWrittenAt.Load() == 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(removalGrace + 100*time.Millisecond)
	if d.removalWrittenAt.Load() == 0 {
		t.Errorf("the process has not received the removal: %s", p.output)
	}
}

// runStartFault starts a process with a stale list under the fault, sends requests to it, and returns the measurements.
func runStartFault(t *testing.T, fault startFault) startResult {
	t.Helper()
	var result startResult
	var removedArrivals, pastGrace, answered, rejected atomic.Int32
	discovery := newStartFaultDiscovery(t, fault)
	inService := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer inService.Close()
	removed := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		removedArrivals.Add(1)
		if discovery.pastGrace() {
			pastGrace.Add(1)
		}
	}))
	defer removed.Close()
	p := newProcess(t, nodeConfig{
		fleetSize:      10,
		discovery:      discovery.address,
		endpoints:      map[string]string{"a": inService.Listener.Addr().String(), "b": removed.Listener.Addr().String()},
		class:          readClass,
		connectTimeout: 250 * time.Millisecond,
		pollInterval:   10 * time.Second,
	}.configJSON())
	p.start(t)
	defer p.kill()
	var clients sync.WaitGroup
	stop := make(chan struct{})
	clients.Go(func() {
		client := sequentialClient{address: p.clientAddress(t), answered: &answered, rejected: &rejected, pause: 2 * time.Millisecond}
		client.run(t, stop)
	})
	clients.Go(func() { result.measureStart(p.clientAddress(t), discovery.startedAt, &answered) })
	discovery.listen(t)
	discovery.awaitRemoval(t, p)
	close(stop)
	clients.Wait()
	result.removedArrivals, result.pastGrace = removedArrivals.Load(), pastGrace.Load()
	return result
}

// measureStart records how long after the start the process was ready and had served a request. A process that is not
// ready within startupTimeout leaves readyAfter at 0.
func (r *startResult) measureStart(address string, startedAt time.Time, answered *atomic.Int32) {
	if awaitReady(address, startupTimeout) {
		r.readyAfter = time.Since(startedAt)
	}
	for answered.Load() == 0 && time.Since(startedAt) < startupTimeout {
		time.Sleep(time.Millisecond)
	}
	r.servedAfter = time.Since(startedAt)
}

// TestStartBeforeFaultyDiscovery guards against requests to a backend that was removed before a process started with a
// list from before the removal, while discovery is faulty. A process may use such a list only if discovery is
// unreachable for long, and must serve within 10 s.
func TestStartBeforeFaultyDiscovery(t *testing.T) {
	starts := intFromEnvironment("STARTS_PER_FAULT", defaultStartsPerFault)
	for _, fault := range startFaults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			results := make([]startResult, starts)
			var running sync.WaitGroup
			slots := make(chan struct{}, 20)
			for i := range results {
				running.Go(func() {
					slots <- struct{}{}
					results[i] = runStartFault(t, fault)
					<-slots
				})
			}
			running.Wait()
			var readyAfter, servedAfter []time.Duration
			for i, result := range results {
				readyAfter, servedAfter = append(readyAfter, result.readyAfter), append(servedAfter, result.servedAfter)
				if result.pastGrace > 0 || result.removedArrivals > 0 && !fault.staleListAllowed {
					t.Errorf("start %d: %d requests at the removed backend, %d of them after the removal grace", i, result.removedArrivals, result.pastGrace)
				}
				if result.readyAfter == 0 || max(result.readyAfter, result.servedAfter) > serveTimeLimit {
					t.Errorf("start %d: ready after %v, served after %v", i, result.readyAfter, result.servedAfter)
				}
			}
			slices.Sort(readyAfter)
			slices.Sort(servedAfter)
			t.Logf("%s: %d starts, ready after %v (median), %v at most; served after %v, %v at most", strings.ReplaceAll(fault.name, "-", " "), starts,
				readyAfter[starts/2], readyAfter[starts-1], servedAfter[starts/2], servedAfter[starts-1])
		})
	}
}
