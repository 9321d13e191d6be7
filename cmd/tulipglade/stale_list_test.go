package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// removalList is the incremental endpoint list that discovery sends to every process: backend b was removed before the
// process started.
const removalList = `{"rev":9,"all":false,"targets":[{"uid":"b","endpoint":"127.0.0.1:1","az":"z","state":"terminated"}]}`

// delayedDiscovery is a discovery server whose list has the removal from the start. It holds all calls until release is
// closed.
type delayedDiscovery struct {
	release chan struct{}

	mutex    sync.Mutex
	notified map[int]bool // indices of the processes that have received the removal
}

// handler returns the handler of the address that the process with the given index calls.
func (d *delayedDiscovery) handler(process int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if isUpToDate(r) {
			<-r.Context().Done() // a watch during which nothing changes
			return
		}
		select {
		case <-d.release:
		case <-r.Context().Done():
			return
		}
		_, _ = io.WriteString(w, removalList) // fails only if the process closed the connection; it calls again
		d.mutex.Lock()
		defer d.mutex.Unlock()
		d.notified[process] = true
	}
}

// notifiedProcesses returns the number of processes that have received the removal.
func (d *delayedDiscovery) notifiedProcesses() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.notified)
}

// sequentialClient sends requests to a process one at a time, and counts those answered and those rejected.
type sequentialClient struct {
	address            string
	process            int // index of the process, for request IDs and error messages
	answered, rejected *atomic.Int32
	pause              time.Duration // pause after each request
}

// run sends requests until stop is closed. A response other than 200 or 503 fails the test.
func (c sequentialClient) run(t *testing.T, stop <-chan struct{}) {
	t.Helper()
	client := http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		status, err := c.send(&client, i)
		if err != nil {
			t.Errorf("process %d: %v", c.process, err)
			return
		}
		switch status {
		case http.StatusOK:
			c.answered.Add(1)
		case http.StatusServiceUnavailable:
			c.rejected.Add(1)
			time.Sleep(5 * time.Millisecond)
		default:
			t.Errorf("process %d: status %d", c.process, status)
			return
		}
		time.Sleep(c.pause)
	}
}

// send sends the request with the given number and returns the status of the response.
func (c sequentialClient) send(client *http.Client, number int) (status int, err error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+c.address+"/read", nil)
	if err != nil {
		return 0, err
	}
	request.Header = http.Header{"X-Trace-Id": {fmt.Sprintf("n%d-%d", c.process, number)}, "X-Customer": {"t"}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }() // fails only after the body has been read
	_, _ = io.Copy(io.Discard, response.Body)    // only the status matters
	return response.StatusCode, nil
}

// TestRestartedProcessesDoNotTrustStaleList guards against requests to a backend that was removed before a process
// started. A process that is restarted with the endpoint list of its predecessor does not know how stale this list is,
// and the backend counts as removed from the start. The process must send no requests to it, however slow discovery is
// to respond, and must serve requests as soon as it has a response from discovery.
func TestRestartedProcessesDoNotTrustStaleList(t *testing.T) {
	const fleetSize, pollTimeout = 10, 5 * time.Second
	var removedArrivals atomic.Int32
	inService := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer inService.Close()
	removed := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { removedArrivals.Add(1) }))
	defer removed.Close()
	discovery := &delayedDiscovery{release: make(chan struct{}), notified: map[int]bool{}}
	var answered, rejected atomic.Int32
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for i := range fleetSize {
		server := httptest.NewServer(discovery.handler(i))
		defer server.Close()
		defer server.CloseClientConnections()
		p := newProcess(t, nodeConfig{
			index:          i,
			fleetSize:      fleetSize,
			discovery:      server.Listener.Addr().String(),
			endpoints:      map[string]string{"a": inService.Listener.Addr().String(), "b": removed.Listener.Addr().String()},
			class:          readClass,
			connectTimeout: 250 * time.Millisecond,
			pollInterval:   10 * time.Second,
		}.configJSON())
		p.start(t)
		defer p.kill()
		client := sequentialClient{address: p.clientAddress(t), process: i, answered: &answered, rejected: &rejected}
		clients.Go(func() { client.run(t, stop) })
	}
	time.Sleep(time.Second) // by then, a process that trusted its list would have sent requests to it
	if n := removedArrivals.Load(); n > 0 {
		t.Errorf("%d requests at the removed backend before any process had a response from discovery", n)
	}
	close(discovery.release)
	for end := time.Now().Add(pollTimeout); discovery.notifiedProcesses() < fleetSize; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Errorf("only %d of %d processes have received the removal within 5 s", discovery.notifiedProcesses(), fleetSize)
			break
		}
	}
	before := answered.Load()
	for end := time.Now().Add(pollTimeout); answered.Load() < before+10*fleetSize && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	close(stop)
	clients.Wait()
	if n := removedArrivals.Load(); n > 0 {
		t.Errorf("%d requests at the removed backend", n)
	}
	if n := answered.Load() - before; n < 10*fleetSize {
		t.Errorf("only %d requests answered after all processes had received the removal", n)
	}
	t.Logf("%d requests answered, %d rejected", answered.Load(), rejected.Load())
}
