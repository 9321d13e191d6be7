package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// lastTrace is the number of the last trace ID.
var lastTrace atomic.Uint64

// traceBase is the number before that of the first trace ID of this run.
var traceBase = rand.Uint64() &^ 0xffffffff

// newTrace returns a trace ID that was not used before.
func newTrace() string { return fmt.Sprintf("%016x", traceBase+lastTrace.Add(1)) }

// deadlines are the give-up times of the classes of kolkata-rides and bratislava-desks.
var deadlines = map[string]time.Duration{
	"map-read":     1500 * time.Millisecond,
	"ride-start":   4 * time.Second,
	"fare-settle":  3 * time.Second,
	"availability": 5 * time.Second,
}

// call is a request of a client.
type call struct {
	trace, class string
	tenant       string
	body         string
	expires      time.Duration
	obj          uint64 // what the request is about
}

func newCall(class, body string) call {
	return call{trace: newTrace(), class: class, tenant: "kolkata-central", body: body, expires: deadlines[class]}
}

// text returns the request in the form of the protocol page.
func (c call) text() string {
	var b strings.Builder
	method := "POST"
	if c.class == "map-read" || c.class == "availability" {
		method = "GET"
	}
	_, _ = fmt.Fprintf(&b, "%s /%s?obj=%016x HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Customer: %s\r\nX-Expires-In-Ms: %d\r\n",
		method, c.class, c.obj, c.trace, c.class, c.tenant, c.expires.Milliseconds())
	if c.class == "fare-settle" {
		_, _ = fmt.Fprintf(&b, "Idempotency-Key: %s%s\r\n", c.trace, c.trace)
	}
	if method == "POST" {
		_, _ = fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n")
	if method == "POST" {
		b.WriteString(c.body)
	}
	return b.String()
}

// reply is the node's answer to a request.
type reply struct {
	status int
	body   string
	at     time.Time
	last   bool // the node closes the connection behind this answer
}

// client is a connection of a client to a node.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialNode(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// read reads one answer.
func (c *client) read(within time.Duration) (reply, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(within))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, body: string(body), at: time.Now(), last: response.Close}, err
}

func (c *client) close() { _ = c.conn.Close() }

// closedByNode reports whether the node has closed the connection.
func (c *client) closedByNode() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	var timeout net.Error
	return err != nil && (!errors.As(err, &timeout) || !timeout.Timeout())
}
