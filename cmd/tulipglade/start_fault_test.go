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

// startsPerFault is how often TestStartBeforeFaultyDiscovery starts a process for each fault; STARTS_PER_FAULT sets another number.
const startsPerFault = 2

// startFault is what a discovery does that has had a removal since before a process started with an older list.
type startFault struct {
	name    string
	resets  int           // so many calls are reset at first
	rejects time.Duration // calls are rejected with 503 for so long
	refuses time.Duration // nobody listens for so long
	silent  time.Duration // calls that come within so long are never answered
	pieces  time.Duration // answers take so long, in ten pieces
	outage  bool          // it lasts so long that the process serves by its own list meanwhile
}

var startFaults = []startFault{
	{name: "one-reset", resets: 1},
	{name: "three-resets", resets: 3},
	{name: "rejected-2s", rejects: 2 * time.Second},
	{name: "refused-3s", refuses: 3 * time.Second},
	{name: "refused-8s", refuses: 8 * time.Second, outage: true},
	{name: "refused-20s", refuses: 20 * time.Second, outage: true},
	{name: "silent-8s", silent: 8 * time.Second, outage: true},
	{name: "pieces-2s", pieces: 2 * time.Second},
}

const (
	// servesWithin is how long a process may take from its start until it serves.
	servesWithin = 10 * time.Second
	// startObserved is for how long a process is observed after the fault.
	startObserved = 3 * time.Second
)

// handler answers calls as the fault says, from a time on. It calls written as the removal is written.
func (f startFault) handler(began time.Time, written func()) http.HandlerFunc {
	var calls atomic.Int32
	return func(w http.ResponseWriter, r *http.Request) {
		switch call := int(calls.Add(1)); {
		case call <= f.resets:
			resetConnection(w)
			return
		case time.Since(began) < f.rejects:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case time.Since(began) < f.silent || isUpToDate(r):
			<-r.Context().Done()
			return
		}
		for piece := range slices.Chunk([]byte(removalChange), len(removalChange)/10+1) {
			time.Sleep(f.pieces / 10)
			_, _ = w.Write(piece) // a process that has ended calls again
			w.(http.Flusher).Flush()
		}
		written()
	}
}

// startPlay is what one start has shown.
type startPlay struct {
	ready, served time.Duration // since the start
	atRemoved     int32         // requests at the removed backend
	late          int32         // requests there over removalGrace after the removal was written
}

// startAddresses counts the addresses of discovery that have been taken.
var startAddresses atomic.Int32

// startFaultDiscovery is the discovery of one start, with the fault.
type startFaultDiscovery struct {
	fault     startFault
	began     time.Time
	address   string
	listener  net.Listener
	server    *httptest.Server
	writtenAt atomic.Int64 // when the removal was first written, as Unix time in nanoseconds; 0: not yet
}

func newStartFaultDiscovery(t *testing.T, fault startFault) *startFaultDiscovery {
	t.Helper()
	// An address of its own, at which no other test can take the port while nobody listens.
	listener, err := net.Listen("tcp", fmt.Sprintf("127.88.%d.1:0", startAddresses.Add(1)%250))
	if err != nil {
		t.Fatal(err)
	}
	d := &startFaultDiscovery{fault: fault, began: time.Now(), address: listener.Addr().String(), listener: listener}
	if fault.refuses > 0 {
		_ = listener.Close() // it listens again later
	}
	d.server = httptest.NewUnstartedServer(fault.handler(d.began, func() { d.writtenAt.CompareAndSwap(0, time.Now().UnixNano()) }))
	t.Cleanup(d.server.Close)
	t.Cleanup(d.server.CloseClientConnections)
	return d
}

// listen accepts calls, after the time in which they are refused.
func (d *startFaultDiscovery) listen(t *testing.T) {
	t.Helper()
	if d.fault.refuses > 0 {
		time.Sleep(d.fault.refuses)
		var err error
		if d.listener, err = net.Listen("tcp", d.address); err != nil {
			t.Fatal(err)
		}
	}
	_ = d.server.Listener.Close() // the one that httptest has opened
	d.server.Listener = d.listener
	d.server.Start()
}

// late reports whether nothing may start at the removed backend any more.
func (d *startFaultDiscovery) late() bool {
	at := d.writtenAt.Load()
	return at > 0 && time.Since(time.Unix(0, at)) > removalGrace
}

// awaitRemoval waits until the process has been told, and for a while after that.
func (d *startFaultDiscovery) awaitRemoval(t *testing.T, p *process) {
	t.Helper()
	time.Sleep(max(d.fault.rejects, d.fault.silent, d.fault.pieces) + startObserved)
	for end := time.Now().Add(servesWithin); d.writtenAt.Load() == 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(removalGrace + 100*time.Millisecond)
	if d.writtenAt.Load() == 0 {
		t.Errorf("the process has not heard of the removal: %s", p.output)
	}
}

func playStartFault(t *testing.T, fault startFault) startPlay {
	t.Helper()
	var play startPlay
	var atRemoved, late, answered, rejected atomic.Int32
	discovery := newStartFaultDiscovery(t, fault)
	inService := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer inService.Close()
	removed := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		atRemoved.Add(1)
		if discovery.late() {
			late.Add(1)
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
		client := steadyClient{address: p.clientAddress(t), answered: &answered, rejected: &rejected, pause: 2 * time.Millisecond}
		client.run(t, stop)
	})
	clients.Go(func() { play.awaitService(p.clientAddress(t), discovery.began, &answered) })
	discovery.listen(t)
	discovery.awaitRemoval(t, p)
	close(stop)
	clients.Wait()
	play.atRemoved, play.late = atRemoved.Load(), late.Load()
	return play
}

// awaitService notes when the process is ready, and when it has served a request.
func (p *startPlay) awaitService(address string, began time.Time, answered *atomic.Int32) {
	if awaitReady(address, startupTimeout) {
		p.ready = time.Since(began)
	}
	for answered.Load() == 0 && time.Since(began) < startupTimeout {
		time.Sleep(time.Millisecond)
	}
	p.served = time.Since(began)
}

// A list from before a removal is not used at a start, unless discovery cannot be reached for long; it serves within 10 s.
func TestStartBeforeFaultyDiscovery(t *testing.T) {
	starts := intFromEnvironment("STARTS_PER_FAULT", startsPerFault)
	for _, fault := range startFaults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			plays := make([]startPlay, starts)
			var running sync.WaitGroup
			slots := make(chan struct{}, 20)
			for i := range plays {
				running.Go(func() {
					slots <- struct{}{}
					plays[i] = playStartFault(t, fault)
					<-slots
				})
			}
			running.Wait()
			var ready, served []time.Duration
			for i, play := range plays {
				ready, served = append(ready, play.ready), append(served, play.served)
				if play.late > 0 || play.atRemoved > 0 && !fault.outage {
					t.Errorf("start %d: %d requests at the removed backend, %d late", i, play.atRemoved, play.late)
				}
				if play.ready == 0 || max(play.ready, play.served) > servesWithin {
					t.Errorf("start %d: ready after %v, served after %v", i, play.ready, play.served)
				}
			}
			slices.Sort(ready)
			slices.Sort(served)
			t.Logf("%s: %d starts, ready after %v (median), %v at most; served after %v, %v at most", strings.ReplaceAll(fault.name, "-", " "), starts,
				ready[starts/2], ready[starts-1], served[starts/2], served[starts-1])
		})
	}
}
