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

// payClass is a class of non-idempotent requests.
const payClass = `{"name":"pay","aim_us":9000000,"deadline_us":10000000,"effect":"once"}`

// payRequest is a request of that class; its verbs are the ID and a line of the head.
const payRequest = "POST /pay HTTP/1.1\r\nHost: h\r\nX-Trace-Id: %s\r\nX-Customer: t\r\n%sContent-Length: 0\r\n\r\n"

// persistentClient sends one request after the other, on a connection that it reuses as long as that stays open, until the
// process does not answer any more.
type persistentClient struct {
	address, name string
	blockedNumber int      // the number of the request that its backend blocks; below 0: none
	onRejected    func()   // called when a request is rejected by a process that shuts down
	answered      int      // requests
	unanswered    []string // IDs of requests that met the end of their connection, without a byte of an answer
	violation     string   // what must not happen
}

func (c *persistentClient) run() {
	for number := 0; c.violation == ""; {
		conn, err := net.DialTimeout("tcp", c.address, 10*time.Second)
		if err != nil {
			return // the process has ended
		}
		next, ok := c.useConnection(conn, number)
		_ = conn.Close() // after its last answer
		if !ok {
			return
		}
		number = next
	}
}

// useConnection sends requests from a number on until the connection ends, and returns the next number. It returns false
// where a new connection has ended without any answer: a load balancer in front of the process would use another by now.
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
			c.violation = fmt.Sprintf("%s: no answer and no end: %v, %v", id, sendErr, err)
		}
		c.unanswered = append(c.unanswered, id)
		return false
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		c.violation = fmt.Sprintf("%s: %v", id, err)
		return false
	}
	defer func() { _ = response.Body.Close() }() // it has been read
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

// blockingBackend answers with the request's ID. It blocks requests with X-Block until released is closed.
type blockingBackend struct {
	executed    sync.Map // request IDs
	wantBlocked int32
	blocked     atomic.Int32
	allBlocked  chan struct{} // closed when wantBlocked requests are blocked
	released    chan struct{}
}

func newBlockingBackend(wantBlocked int32) *blockingBackend {
	return &blockingBackend{wantBlocked: wantBlocked, allBlocked: make(chan struct{}), released: make(chan struct{})}
}

func (b *blockingBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Trace-Id")
	b.executed.Store(id, true)
	if r.Header.Get("X-Block") != "" {
		if b.blocked.Add(1) == b.wantBlocked {
			close(b.allBlocked)
		}
		<-b.released
	}
	_, _ = io.WriteString(w, id) // a client without an answer is noticed there
}

// checkAnsweredOrNotExecuted checks that each request of the clients has its complete answer, or has not been executed.
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
				t.Errorf("%s was executed, and has no answer", id)
			}
		}
	}
	t.Logf("%d requests answered, %d met the end of their connection", answered, unanswered)
}

// Three processes are told to shut down under load, each with a request that its backend blocks until the process rejects
// others, while clients go on to send requests on every connection that stays open, and open others. Each process ends by
// itself, without an error; each request has its complete answer, or has met the end of its connection and was never
// executed.
func TestProcessesShutDownGracefullyUnderLoad(t *testing.T) {
	const fleetSize, clientsPerProcess, blockedNumber = 3, 6, 20
	backend := newBlockingBackend(fleetSize)
	release := sync.OnceFunc(func() { close(backend.released) })
	backendServer := httptest.NewServer(backend)
	defer backendServer.Close()
	defer release()
	discovery := httptest.NewServer(http.NotFoundHandler()) // without any list
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
		t.Errorf("%d requests are blocked, want %d", backend.blocked.Load(), fleetSize)
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
