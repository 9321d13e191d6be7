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

// defaultStartsPerFault is how often TestStartBeforeFaultyDiscovery starts a process for each fault; STARTS_PER_FAULT sets another number.
const defaultStartsPerFault = 2

// startFault is what a discovery does that has had a removal since before a process started with an older list.
type startFault struct {
	name             string
	resetCalls       int           // so many calls are reset at first
	rejectPeriod     time.Duration // calls are rejected with 503 for so long
	refusePeriod     time.Duration // nobody listens for so long
	silentPeriod     time.Duration // calls that come within so long are never answered
	responseDuration time.Duration // answers take so long, in ten pieces
	staleListAllowed bool          // it lasts so long that the process serves by its own list meanwhile
}

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
	// serveTimeLimit is how long a process may take from its start until it serves.
	serveTimeLimit = 10 * time.Second
	// observationAfterFault is for how long a process is observed after the fault.
	observationAfterFault = 3 * time.Second
)

// handler answers calls as the fault says, from a time on. It calls written as the removal is written.
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
			_, _ = w.Write(piece) // a process that has ended calls again
			w.(http.Flusher).Flush()
		}
		onRemovalWritten()
	}
}

// startResult is what one start has shown.
type startResult struct {
	readyAfter, servedAfter time.Duration // since the start
	removedArrivals         int32         // requests at the removed backend
	pastGrace               int32         // requests there over removalGrace after the removal was written
}

// discoveryAddressCount counts the addresses of discovery that have been taken.
var discoveryAddressCount atomic.Int32

// startFaultDiscovery is the discovery of one start, with the fault.
type startFaultDiscovery struct {
	fault            startFault
	startedAt        time.Time
	address          string
	listener         net.Listener
	server           *httptest.Server
	removalWrittenAt atomic.Int64 // when the removal was first written, as Unix time in nanoseconds; 0: not yet
}

func newStartFaultDiscovery(t *testing.T, fault startFault) *startFaultDiscovery {
	t.Helper()
	// An address of its own, at which no other test can take the port while nobody listens.
	listener, err := net.Listen("tcp", fmt.Sprintf("127.88.%d.1:0", discoveryAddressCount.Add(1)%250))
	if err != nil {
		t.Fatal(err)
	}
	d := &startFaultDiscovery{fault: fault, startedAt: time.Now(), address: listener.Addr().String(), listener: listener}
	if fault.refusePeriod > 0 {
		_ = listener.Close() // it listens again later
	}
	d.server = httptest.NewUnstartedServer(fault.handler(d.startedAt, func() { d.removalWrittenAt.CompareAndSwap(0, time.Now().UnixNano()) }))
	t.Cleanup(d.server.Close)
	t.Cleanup(d.server.CloseClientConnections)
	return d
}

// listen accepts calls, after the time in which they are refused.
func (d *startFaultDiscovery) listen(t *testing.T) {
	t.Helper()
	if d.fault.refusePeriod > 0 {
		time.Sleep(d.fault.refusePeriod)
		var err error
		if d.listener, err = net.Listen("tcp", d.address); err != nil {
			t.Fatal(err)
		}
	}
	_ = d.server.Listener.Close() // the one that httptest has opened
	d.server.Listener = d.listener
	d.server.Start()
}

// pastGrace reports whether nothing may start at the removed backend any more.
func (d *startFaultDiscovery) pastGrace() bool {
	writtenAt := d.removalWrittenAt.Load()
	return writtenAt > 0 && time.Since(time.Unix(0, writtenAt)) > removalGrace
}

// awaitRemoval waits until the process has been told, and for a while after that.
func (d *startFaultDiscovery) awaitRemoval(t *testing.T, p *process) {
	t.Helper()
	time.Sleep(max(d.fault.rejectPeriod, d.fault.silentPeriod, d.fault.responseDuration) + observationAfterFault)
	for end := time.Now().Add(serveTimeLimit); d.removalWrittenAt.Load() == 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(removalGrace + 100*time.Millisecond)
	if d.removalWrittenAt.Load() == 0 {
		t.Errorf("the process has not heard of the removal: %s", p.output)
	}
}

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

// measureStart notes when the process is ready, and when it has served a request.
func (r *startResult) measureStart(address string, startedAt time.Time, answered *atomic.Int32) {
	if awaitReady(address, startupTimeout) {
		r.readyAfter = time.Since(startedAt)
	}
	for answered.Load() == 0 && time.Since(startedAt) < startupTimeout {
		time.Sleep(time.Millisecond)
	}
	r.servedAfter = time.Since(startedAt)
}

// A list from before a removal is not used at a start, unless discovery cannot be reached for long; it serves within 10 s.
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
					t.Errorf("start %d: %d requests at the removed backend, %d late", i, result.removedArrivals, result.pastGrace)
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
