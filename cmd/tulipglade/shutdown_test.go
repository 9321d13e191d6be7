package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// payClass is the JSON form of a class of non-idempotent requests.
const payClass = `{"name":"pay","aim_us":9000000,"deadline_us":10000000,"effect":"once"}`

// payRequest is a request of the class payClass. Its verbs are the request ID, and an additional header line or "".
const payRequest = "POST /pay HTTP/1.1\r\nHost: h\r\nX-Trace-Id: %s\r\nX-Customer: t\r\n%sContent-Length: 0\r\n\r\n"

// persistentClient sends requests to a process one at a time, on a connection that it reuses as long as the process
// keeps it open. It stops when the process no longer responds.
type persistentClient struct {
	address, name string
	blockedNumber int      // number of the request that the backend blocks, or a negative number for none
	onRejected    func()   // called when a process that shuts down rejects a request
	answered      int      // number of requests with a response
	unanswered    []string // IDs of requests whose connection ended before the first byte of a response
	violation     string   // describes an outcome that must not occur, or ""
}

// run sends requests on one connection after another, until the process accepts no connection or ends a new one without
// a response, or a violation occurs.
func (c *persistentClient) run() {
	for number := 0; c.violation == ""; {
		conn, err := net.DialTimeout("tcp", c.address, 10*time.Second)
		if err != nil {
			return // the process has ended
		}
		next, ok := c.useConnection(conn, number)
		_ = conn.Close() // after its last response
		if !ok {
			return
		}
		number = next
	}
}

// useConnection sends requests, numbered from first on, until the connection ends, and returns the number of the next
// request. It returns false if a new connection ended without any response: by then, a load balancer in front of the
// process would use another process.
func (c *persistentClient) useConnection(conn net.Conn, first int) (next int, ok bool) {
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	reader := bufio.NewReader(conn)
	unanswered := len(c.unanswered)
	for number := first; ; number++ {
		id := fmt.Sprintf("%s-%d", c.name, number)
		extraField := ""
		if number == c.blockedNumber {
			extraField = "X-Block: 1\r\n"
		}
		_, sendErr := fmt.Fprintf(conn, payRequest, id, extraField)
		open := c.readResponse(reader, id, sendErr)
		if number == first && len(c.unanswered) > unanswered {
			c.onRejected()
			return number + 1, false
		}
		if !open || c.violation != "" {
			return number + 1, true
		}
	}
}

// readResponse reads the response to a request and reports whether the connection stays open.
func (c *persistentClient) readResponse(reader *bufio.Reader, id string, sendErr error) bool {
	if _, err := reader.Peek(1); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.violation = fmt.Sprintf("%s: neither a response nor the end of the connection: %v, %v", id, sendErr, err)
		}
		c.unanswered = append(c.unanswered, id)
		return false
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		c.violation = fmt.Sprintf("%s: %v", id, err)
		return false
	}
	defer func() { _ = response.Body.Close() }() // fails only after the body has been read
	body, err := io.ReadAll(response.Body)
	served := response.StatusCode == http.StatusOK && string(body) == id
	rejected := response.StatusCode == http.StatusServiceUnavailable
	if err != nil || !served && !rejected {
		c.violation = fmt.Sprintf("%s: status %d, %q, %v", id, response.StatusCode, body, err)
	}
	c.answered++
	if rejected {
		c.onRejected()
	}
	return !response.Close
}

// blockingBackend responds with the ID of the request. It holds requests with an X-Block field until released is
// closed.
type blockingBackend struct {
	executed    sync.Map // IDs of the requests received
	wantBlocked int32    // number of requests with X-Block that the test sends
	blocked     atomic.Int32
	allBlocked  chan struct{} // closed when wantBlocked requests are blocked
	released    chan struct{}
}

// newBlockingBackend returns a blockingBackend that closes allBlocked once it holds wantBlocked requests.
func newBlockingBackend(wantBlocked int32) *blockingBackend {
	return &blockingBackend{wantBlocked: wantBlocked, allBlocked: make(chan struct{}), released: make(chan struct{})}
}

// ServeHTTP records the request as executed and responds with its ID.
func (b *blockingBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Trace-Id")
	b.executed.Store(id, true)
	if r.Header.Get("X-Block") != "" {
		if b.blocked.Add(1) == b.wantBlocked {
			close(b.allBlocked)
		}
		<-b.released
	}
	_, _ = io.WriteString(w, id) // if this fails, the client reports the missing response
}

// checkAnsweredOrNotExecuted checks that each request of the clients received a complete response or was not executed.
func (b *blockingBackend) checkAnsweredOrNotExecuted(t *testing.T, clients []*persistentClient) {
	t.Helper()
	answered, unanswered := 0, 0
	for _, client := range clients {
		if client.violation != "" {
			t.Error(client.violation)
		}
		answered += client.answered
		unanswered += len(client.unanswered)
		for _, id := range client.unanswered {
			if _, executed := b.executed.Load(id); executed {
				t.Errorf("%s was executed but received no response", id)
			}
		}
	}
	t.Logf("%d requests answered, %d ended with their connection before a response", answered, unanswered)
}

// TestProcessesShutDownGracefullyUnderLoad guards against requests that are executed but lose their response in a
// shutdown. Three processes receive SIGTERM under load. For each of them, the backend holds one request until a process
// rejects others, while clients keep sending requests on the connections that stay open and on new ones. Each process
// must end by itself without an error. Each request must receive a complete response, or end with its connection
// without having been executed.
func TestProcessesShutDownGracefullyUnderLoad(t *testing.T) {
	const fleetSize, clientsPerProcess, blockedNumber = 3, 6, 20
	backend := newBlockingBackend(fleetSize)
	release := sync.OnceFunc(func() { close(backend.released) })
	backendServer := httptest.NewServer(backend)
	defer backendServer.Close()
	defer release()
	discovery := httptest.NewServer(http.NotFoundHandler()) // sends no endpoint list
	defer discovery.Close()
	var processes []*process
	var clients []*persistentClient
	var running sync.WaitGroup
	for i := range fleetSize {
		p := newProcess(t, nodeConfig{
			index:          i,
			fleetSize:      fleetSize,
			discovery:      discovery.Listener.Addr().String(),
			endpoints:      map[string]string{"a": backendServer.Listener.Addr().String()},
			class:          payClass,
			connectTimeout: 5 * time.Second,
			pollInterval:   9 * time.Second,
		}.configJSON())
		p.start(t)
		defer p.kill()
		processes = append(processes, p)
		for k := range clientsPerProcess {
			client := &persistentClient{address: p.clientAddress(t), name: fmt.Sprintf("n%d-c%d", i, k), blockedNumber: -1, onRejected: release}
			if k == 0 {
				client.blockedNumber = blockedNumber
			}
			clients = append(clients, client)
			running.Go(client.run)
		}
	}
	select {
	case <-backend.allBlocked:
	case <-time.After(30 * time.Second):
		t.Errorf("the backend holds %d requests, want %d", backend.blocked.Load(), fleetSize)
	}
	for _, p := range processes {
		if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Error(err)
		}
	}
	for i, p := range processes {
		if err := p.wait(); err != nil {
			t.Errorf("process %d: %v", i, err)
		}
	}
	running.Wait()
	backend.checkAnsweredOrNotExecuted(t, clients)
}
