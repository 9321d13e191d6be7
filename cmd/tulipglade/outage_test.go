package main

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// drainingList is the incremental endpoint list that discovery sends to every process: backend b is draining.
const drainingList = `{"rev":9,"all":false,"targets":[
	{"uid":"b","endpoint":"127.0.0.1:1","az":"z","state":"terminating","capacity_hint":1}]}`

// isUpToDate reports whether a call comes from a process that already has revision 9, the latest one of these tests.
func isUpToDate(r *http.Request) bool { return r.URL.Query().Get("since") == "9" }

// discoveryState determines how a faultyDiscovery handles calls.
type discoveryState uint8

const (
	discoveryUp              discoveryState = iota // sends drainingList
	discoveryDown                                  // resets connections
	discoveryRejecting                             // responds with 503 at once
	discoveryRejectingSlowly                       // responds with 503 after queueingTime
)

// queueingTime is how long an overloaded discovery holds a call before it rejects the call.
const queueingTime = 2 * time.Second

// rejectionsPerProcess is how many calls of each process are rejected before discovery is up again. With a backoff that
// doubles after each rejection, a process would by then wait too long for its next call.
const rejectionsPerProcess = 5

// notificationTimeout is the time after which a process counts as notified of a change, whether or not the change has
// reached it.
const notificationTimeout = 6 * time.Second

// faultyDiscovery is a discovery server with faults. Each process of a test calls it at a different address.
type faultyDiscovery struct {
	processes int

	mutex       sync.Mutex
	state       discoveryState
	rejections  map[int]int   // rejected calls, by index of the process
	allRejected chan struct{} // closed when each process has had rejectionsPerProcess calls rejected
	notified    map[int]bool  // indices of the processes that have received the change
	allNotified chan struct{} // closed when all processes have received the change
}

// newFaultyDiscovery returns a discovery in the given state, for a number of processes.
func newFaultyDiscovery(processes int, state discoveryState) *faultyDiscovery {
	d := &faultyDiscovery{processes: processes}
	d.setState(state)
	return d
}

// setState changes how further calls are handled, and resets the counts of rejections and notifications.
func (d *faultyDiscovery) setState(state discoveryState) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.state = state
	d.rejections, d.allRejected = map[int]int{}, make(chan struct{})
	d.notified, d.allNotified = map[int]bool{}, make(chan struct{})
}

func (d *faultyDiscovery) currentState() discoveryState {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.state
}

// handler returns the handler of the address that the process with the given index calls.
func (d *faultyDiscovery) handler(process int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		switch d.currentState() {
		case discoveryDown:
			resetConnection(w)
		case discoveryRejecting:
			w.WriteHeader(http.StatusServiceUnavailable)
			d.countRejection(process)
		case discoveryRejectingSlowly:
			select {
			case <-time.After(queueingTime):
			case <-r.Context().Done():
			}
			w.WriteHeader(http.StatusServiceUnavailable)
			d.countRejection(process)
		case discoveryUp:
			if isUpToDate(r) {
				<-r.Context().Done() // a watch during which nothing changes
				return
			}
			_, _ = io.WriteString(w, drainingList) // fails only if the process closed the connection; it calls again
			d.countNotification(process)
		}
	}
}

// resetConnection ends a call with a TCP reset.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// countRejection counts a rejected call, and closes allRejected once each process has had rejectionsPerProcess of them.
func (d *faultyDiscovery) countRejection(process int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.rejections[process]++
	if d.rejections[process] != rejectionsPerProcess {
		return
	}
	for i := range d.processes {
		if d.rejections[i] < rejectionsPerProcess {
			return
		}
	}
	close(d.allRejected)
}

// countNotification records that a process has received the change, and closes allNotified once all processes have.
func (d *faultyDiscovery) countNotification(process int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.notified[process] {
		return
	}
	d.notified[process] = true
	if len(d.notified) == d.processes {
		close(d.allNotified)
	}
}

// checkAllNotified checks that all processes receive the change within notificationTimeout. The error message names the
// event of discovery from which on this time counts.
func (d *faultyDiscovery) checkAllNotified(t *testing.T, event string) {
	t.Helper()
	select {
	case <-d.allNotified:
	case <-time.After(notificationTimeout):
		d.mutex.Lock()
		defer d.mutex.Unlock()
		t.Errorf("%d of %d processes notified %v after discovery %s", len(d.notified), d.processes, notificationTimeout, event)
	}
}

// countReady returns the number of processes that become ready within the timeout.
func countReady(processes []*process, timeout time.Duration) int {
	end := time.Now().Add(timeout)
	var ready atomic.Int32
	var checks sync.WaitGroup
	for _, p := range processes {
		checks.Go(func() {
			address, _, ok := p.awaitServing(timeout)
			if ok && awaitReady(address, time.Until(end)) {
				ready.Add(1)
			}
		})
	}
	checks.Wait()
	return int(ready.Load())
}

// awaitReady waits until the process at an address reports itself ready, and returns false if it does not within the
// timeout.
func awaitReady(address string, timeout time.Duration) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		response, err := client.Get("http://" + address + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close() // only the status matters
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// TestFleetServesThroughDiscoveryOutage runs twenty processes against a discovery with faults. Started while discovery
// is down, nine in ten processes must be ready within 10 s. Then discovery rejects calls, and idle clients take up
// every descriptor that a process allows to clients: all processes must still receive a change within 6 s after
// discovery is up. Killed and restarted together while discovery is overloaded, nine in ten must be ready within 10 s
// again.
func TestFleetServesThroughDiscoveryOutage(t *testing.T) {
	const fleetSize, wantReady, readyTimeout = 20, 18, 10 * time.Second
	discovery := newFaultyDiscovery(fleetSize, discoveryDown)
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer backend.Close()
	var processes []*process
	for i := range fleetSize {
		server := httptest.NewServer(discovery.handler(i))
		defer server.Close()
		defer server.CloseClientConnections()
		p := newProcess(t, nodeConfig{
			index:          i,
			fleetSize:      fleetSize,
			discovery:      server.Listener.Addr().String(),
			endpoints:      map[string]string{"a": backend.Listener.Addr().String(), "b": "127.0.0.1:1"},
			class:          readClass,
			connectTimeout: 250 * time.Millisecond,
			pollInterval:   9 * time.Second,
		}.configJSON())
		processes = append(processes, p)
		p.start(t)
		defer p.kill()
	}
	if n := countReady(processes, readyTimeout); n < wantReady {
		t.Fatalf("%d of %d processes ready while discovery is down", n, fleetSize)
	}
	discovery.setState(discoveryRejecting)
	select {
	case <-discovery.allRejected:
	case <-time.After(time.Minute):
		t.Fatal("not every process repeats its rejected calls within a minute")
	}
	for _, p := range processes { // open more idle connections than a process has descriptors
		for range maxDescriptors * 5 / 4 {
			conn, err := net.DialTimeout("tcp", p.clientAddress(t), 5*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
		}
	}
	discovery.setState(discoveryUp)
	discovery.checkAllNotified(t, "was up again")
	discovery.setState(discoveryRejectingSlowly)
	for _, p := range processes {
		p.kill()
	}
	for _, p := range processes {
		p.start(t)
	}
	if n := countReady(processes, readyTimeout); n < wantReady {
		t.Errorf("%d of %d processes ready again while discovery is overloaded", n, fleetSize)
	}
	discovery.setState(discoveryUp)
	discovery.checkAllNotified(t, "had capacity again")
}
