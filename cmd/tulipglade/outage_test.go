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

// drainingList is the change of the endpoint list that discovery has for every process.
const drainingList = `{"rev":9,"all":false,"targets":[
	{"uid":"b","endpoint":"127.0.0.1:1","az":"z","state":"terminating","capacity_hint":1}]}`

// isUpToDate reports whether a call asks for changes after the only one that there is.
func isUpToDate(r *http.Request) bool { return r.URL.Query().Get("since") == "9" }

// discoveryState is what a discovery does with calls.
type discoveryState uint8

const (
	discoveryUp              discoveryState = iota // answers
	discoveryDown                                  // resets connections
	discoveryRejecting                             // rejects at once, with 503
	discoveryRejectingSlowly                       // rejects with 503 after queueingTime
)

// queueingTime is how long an overloaded discovery queues a call before it rejects it.
const queueingTime = 2 * time.Second

// rejectionsPerProcess is how often each process is rejected: so often that a doubling backoff would have grown beyond any bound.
const rejectionsPerProcess = 5

// notificationTimeout is how long a change may take to count as notified.
const notificationTimeout = 6 * time.Second

// faultyDiscovery is discovery as the processes of a test reach it, each at an address of its own.
type faultyDiscovery struct {
	processes int

	mutex       sync.Mutex
	state       discoveryState
	rejections  map[int]int   // by process
	allRejected chan struct{} // closed when each process has been rejected rejectionsEach times
	notified    map[int]bool  // processes that have received the change
	allNotified chan struct{} // closed when all have
}

func newFaultyDiscovery(processes int, state discoveryState) *faultyDiscovery {
	d := &faultyDiscovery{processes: processes}
	d.setState(state)
	return d
}

// setState changes what becomes of calls from here on, and starts to count anew.
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
				<-r.Context().Done() // a watch, and nothing changes
				return
			}
			_, _ = io.WriteString(w, drainingList) // a process that has ended calls again
			d.countNotification(process)
		}
	}
}

// resetConnection ends a call with a reset.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

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

// checkAllNotified checks that all processes receive the change in time.
func (d *faultyDiscovery) checkAllNotified(t *testing.T, event string) {
	t.Helper()
	select {
	case <-d.allNotified:
	case <-time.After(notificationTimeout):
		d.mutex.Lock()
		defer d.mutex.Unlock()
		t.Errorf("%d of %d notified %v after discovery %s", len(d.notified), d.processes, notificationTimeout, event)
	}
}

// countReady counts the processes that are ready within the timeout.
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

// awaitReady reports whether a process is ready within the timeout.
func awaitReady(address string, timeout time.Duration) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		response, err := client.Get("http://" + address + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close() // the status is all that counts
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// Twenty processes of the program and a discovery with faults. Started while it is down, nine in ten are ready within 10 s;
// with idle clients on every descriptor that a process gives to them, all are notified of a change 6 s after discovery is
// back; killed and started together while it is overloaded, nine in ten are ready within 10 s again.
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
		t.Fatalf("%d of %d ready without discovery", n, fleetSize)
	}
	discovery.setState(discoveryRejecting)
	select {
	case <-discovery.allRejected:
	case <-time.After(time.Minute):
		t.Fatal("not every process calls again and again")
	}
	for _, p := range processes { // more idle clients than there are descriptors
		for range maxDescriptors * 5 / 4 {
			conn, err := net.DialTimeout("tcp", p.clientAddress(t), 5*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
		}
	}
	discovery.setState(discoveryUp)
	discovery.checkAllNotified(t, "was back")
	discovery.setState(discoveryRejectingSlowly)
	for _, p := range processes {
		p.kill()
	}
	for _, p := range processes {
		p.start(t)
	}
	if n := countReady(processes, readyTimeout); n < wantReady {
		t.Errorf("%d of %d ready again before an overloaded discovery", n, fleetSize)
	}
	discovery.setState(discoveryUp)
	discovery.checkAllNotified(t, "had capacity again")
}
