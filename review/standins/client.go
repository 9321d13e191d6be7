package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// The classes of the deployment.
const (
	mapRead    = "map-read"
	rideStart  = "ride-start"
	fareSettle = "fare-settle"
)

// answerWait is how long clients wait for an answer: 2 s more than the longest deadline.
const answerWait = 6 * time.Second

var (
	lastTrace   atomic.Uint32
	tracePrefix = rand.Uint32()
)

// newTrace returns an id that no other request has.
func newTrace() string { return fmt.Sprintf("%08x%08x", tracePrefix, lastTrace.Add(1)) }

// head returns the head of a request as clients send it, with further header lines in extra. expiresMs is the time that
// the client waits.
func head(class, trace string, expiresMs, bodyLength int, extra string) string {
	var b strings.Builder
	method := http.MethodPost
	if class == mapRead {
		method = http.MethodGet
	}
	fmt.Fprintf(&b, "%s /%s?obj=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: app.svc\r\n", method, class)
	fmt.Fprintf(&b, "X-Trace-Id: %s\r\nX-Qos: %s\r\nX-Customer: siliguri\r\nX-Expires-In-Ms: %d\r\n", trace, class, expiresMs)
	if class == fareSettle {
		fmt.Fprintf(&b, "Idempotency-Key: 5c0f6e1a2b3d4c59%s\r\n", trace)
	}
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", bodyLength)
	}
	return b.String() + extra + "\r\n"
}

// ride returns a whole ride-start request whose client waits for the whole deadline of the class.
func ride(trace string) string { return head(rideStart, trace, 4000, 2, "") + "hi" }

// connect opens a connection to the node.
func connect(n *node) net.Conn {
	conn, err := dial(n)
	must(err)
	return conn
}

// readAnswer reads one whole answer and returns its status, or an error if it is not whole after the given time.
func readAnswer(conn net.Conn, reader *bufio.Reader, within time.Duration) (status int, body string, err error) {
	_ = conn.SetReadDeadline(time.Now().Add(within))
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, string(raw), err
}

// dial opens a connection to the node, if it still accepts any.
func dial(n *node) (net.Conn, error) { return net.Dial("tcp", n.listen) }
