package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// received is a request whose last byte a backend has received.
type received struct {
	trace, class, target string
	body                 []byte
	expires              time.Duration
	at                   time.Time
}

// backend is a stand-in for a backend. It serves HTTP/1.1, one request at a time on each connection.
type backend struct {
	uid    string
	zone   int
	record *record
	// serve answers a request on its connection, and returns false if the connection is to be closed.
	serve func(b *backend, conn *backendConn, request received) bool
	// wrap returns what takes the place of an accepted connection; nil: the connection itself.
	wrap func(b *backend, accepted net.Conn) net.Conn

	mutex sync.Mutex
	busy  int // requests in work
}

// backendConn is a connection from a node.
type backendConn struct {
	io.ReadWriteCloser
	requests atomic.Int64 // requests whose first byte has arrived
}

// listen makes the backend listen on a free loopback port for one node, to which the network has the given delay.
func (b *backend) listen(delay time.Duration) (address string, err error) {
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			if b.wrap != nil {
				accepted = b.wrap(b, accepted)
			}
			conn := &backendConn{ReadWriteCloser: accepted}
			if delay > 0 {
				conn.ReadWriteCloser = newLink(accepted, delay)
			}
			go b.handle(conn)
		}
	}()
	return listener.Addr().String(), nil
}

func (b *backend) handle(conn *backendConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		conn.requests.Add(1)
		request, err := readRequest(reader)
		if err != nil {
			return
		}
		b.record.add("backend %s received %s %s", b.uid, request.class, request.trace)
		if !b.serve(b, conn, request) {
			return
		}
	}
}

// readRequest reads a complete request.
func readRequest(reader *bufio.Reader) (received, error) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return received{}, err
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return received{}, err
	}
	expires, _ := strconv.Atoi(request.Header.Get("X-Expires-In-Ms")) // 0 if it is missing
	return received{
		trace:   request.Header.Get("X-Trace-Id"),
		class:   strings.Trim(request.URL.Path, "/"),
		target:  request.URL.RequestURI(),
		body:    body,
		expires: time.Duration(expires) * time.Millisecond,
		at:      time.Now(),
	}, nil
}

// takeCore reports whether one of the backend's cores is free for a request, and takes it.
func (b *backend) takeCore(cores int) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.busy >= cores {
		return false
	}
	b.busy++
	return true
}

func (b *backend) freeCore() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.busy--
}

// servedAnswer is the answer of a backend that has executed a request. Its body names the request.
func servedAnswer(b *backend, request received) string {
	body := fmt.Sprintf("%s served by %s\n", request.trace, b.uid)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// turnedAwayAnswer is the answer of a backend that has not executed a request and never will.
const turnedAwayAnswer = "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 5\r\n\r\nfull\n"
