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
	atRemoved     int32         // requests at the removed backend before discovery could be reached for 5 s without an answer
	late          int32         // requests there over removalGrace after the removal was written
}

// startAddresses counts the addresses of discovery that have been taken.
var startAddresses atomic.Int32

func playStartFault(t *testing.T, fault startFault) startPlay {
	t.Helper()
	var play startPlay
	var atRemoved, late, answered, rejected atomic.Int32
	var writtenAt atomic.Int64
	inService := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer inService.Close()
	removed := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		atRemoved.Add(1)
		if at := writtenAt.Load(); at > 0 && time.Since(time.Unix(0, at)) > removalGrace {
			late.Add(1)
		}
	}))
	defer removed.Close()
	began := time.Now()
	// An address of its own, at which no other test can take the port while nobody listens.
	listener, err := net.Listen("tcp", fmt.Sprintf("127.88.%d.1:0", startAddresses.Add(1)%250))
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if fault.refuses > 0 {
		_ = listener.Close() // it listens again later
	}
	server := httptest.NewUnstartedServer(fault.handler(began, func() { writtenAt.CompareAndSwap(0, time.Now().UnixNano()) }))
	defer server.Close()
	defer server.CloseClientConnections()
	p := newProcess(t, fleetNode{
		fleetSize:      10,
		discovery:      address,
		endpoints:      map[string]string{"a": inService.Listener.Addr().String(), "b": removed.Listener.Addr().String()},
		class:          readClass,
		connectTimeout: 250 * time.Millisecond,
		pollInterval:   10 * time.Second,
	}.config())
	p.start(t)
	defer p.kill()
	var clients sync.WaitGroup
	stop := make(chan struct{})
	clients.Go(func() {
		client := steadyClient{address: p.clientAddress(t), answered: &answered, rejected: &rejected, pause: 2 * time.Millisecond}
		client.run(t, stop)
	})
	clients.Go(func() {
		if awaitReady(p.clientAddress(t), startupTimeout) {
			play.ready = time.Since(began)
		}
		for ; answered.Load() == 0 && time.Since(began) < startupTimeout; time.Sleep(time.Millisecond) {
		}
		play.served = time.Since(began)
	})
	time.Sleep(fault.refuses)
	if fault.refuses > 0 {
		if listener, err = net.Listen("tcp", address); err != nil {
			t.Fatal(err)
		}
	}
	_ = server.Listener.Close()
	server.Listener = listener
	server.Start()
	time.Sleep(max(fault.rejects, fault.silent, fault.pieces) + startObserved)
	for end := time.Now().Add(servesWithin); writtenAt.Load() == 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(removalGrace + 100*time.Millisecond)
	close(stop)
	clients.Wait()
	play.atRemoved, play.late = atRemoved.Load(), late.Load()
	if writtenAt.Load() == 0 {
		t.Errorf("the process has not heard of the removal: %s", p.output)
	}
	return play
}

// A process that starts with a list from before a removal sends nothing to that backend, whatever becomes of its first calls,
// unless discovery cannot be reached for long; and it serves within 10 s in any case.
func TestStartBeforeFaultyDiscovery(t *testing.T) {
	starts := environmentNumber("STARTS_PER_FAULT", startsPerFault)
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
