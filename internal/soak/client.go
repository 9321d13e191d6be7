package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// The behaviour of clients. Constants that end in OneIn mean that one in this many requests, pauses or clients does so.
const (
	answerGrace       = 500 * time.Millisecond // time after the deadline in which a late answer may still arrive
	disconnectOneIn   = 20                     // requests whose client disconnects before the answer arrives
	idleOneIn         = 40
	lateReadTimeout   = 100 * time.Millisecond // for what the kernel has received already
	maxIdleTime       = 3 * time.Second
	shortestPauseMs   = 5
	pauseSpreadMs     = 50
	reconnectPause    = 50 * time.Millisecond
	connectTimeout    = time.Second
	requestBody       = "work"
	largeOneIn        = 20      // of the requests with a body, those whose body is large
	largeBody         = 100_000 // in bytes; more than a node buffers
	ignoresCloseOneIn = 3       // clients that ignore "Connection: close"
	tenantName        = "t"
)

// client sends requests to one node sequentially.
type client struct {
	run    *run
	node   *node
	name   string
	random *rand.Rand

	conn         net.Conn // nil while the client has no connection
	connectedAt  time.Duration
	ignoresClose bool // the client keeps its connection until it ends, even after "Connection: close"
	reader       *bufio.Reader
	sentOnConn   int
	requestsSent int
}

// sendRequests sends requests, with random pauses between them, until the end of the run.
func (c *client) sendRequests() {
	defer c.disconnect()
	for !c.run.ended() {
		c.run.sleep(time.Duration(shortestPauseMs+c.random.IntN(pauseSpreadMs)) * time.Millisecond)
		if c.random.IntN(idleOneIn) == 0 {
			c.run.sleep(time.Duration(c.random.Int64N(int64(maxIdleTime))))
		}
		if c.conn == nil && !c.connect() {
			c.run.sleep(reconnectPause)
			continue
		}
		c.sendRequest()
	}
}

// connect opens a connection to the node and reports whether that succeeded.
func (c *client) connect() bool {
	if !c.node.acceptsNewClients() {
		return false
	}
	at := c.run.now()
	conn, err := net.DialTimeout("tcp", c.node.listen, connectTimeout)
	if err != nil {
		return false
	}
	c.connectedAt = at
	c.conn, c.reader, c.sentOnConn = conn, bufio.NewReader(conn), 0
	return true
}

func (c *client) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close() // an error does not matter: unsent data is not needed
		c.conn = nil
	}
}

// sendRequest sends one request, reads its answer, unless it disconnects first, and records the outcome.
func (c *client) sendRequest() {
	class := classes[c.random.IntN(len(classes))]
	q := &request{
		id:          fmt.Sprintf("%s-%d", c.name, c.requestsSent),
		node:        c.node.index,
		class:       class,
		firstOnConn: c.sentOnConn == 0,
		connectedAt: c.connectedAt,
	}
	c.requestsSent++
	c.sentOnConn++
	c.run.record.start(q, c.run.now())
	if _, err := io.WriteString(c.conn, encodeRequest(q, c.body(q))); err != nil {
		c.disconnect()
		c.finish(q, outcomeNotSent)
		return
	}
	c.run.record.requestSent(q, c.run.now())
	if c.random.IntN(disconnectOneIn) == 0 {
		c.run.sleep(time.Duration(c.random.Int64N(int64(class.deadline / 4))))
		if c.reader.Buffered() == 0 {
			c.disconnect()
			c.finish(q, outcomeDisconnected)
			return
		}
	}
	c.awaitAnswer(time.Now().Add(class.deadline + answerGrace + 2*schedulingDelay))
	c.receive(q)
}

// body returns the body of a request: none for repeatable requests, and at random a large one for others.
func (c *client) body(q *request) string {
	switch {
	case q.class.effect == effectRepeatable:
		return ""
	case c.random.IntN(largeOneIn) == 0:
		return strings.Repeat(requestBody, largeBody/len(requestBody))
	}
	return requestBody
}

// encodeRequest returns the bytes of a request as they are sent.
func encodeRequest(q *request, body string) string {
	method := http.MethodGet
	if q.class.effect != effectRepeatable {
		method = http.MethodPost
	}
	lines := []string{
		fmt.Sprintf("%s /%s HTTP/1.1", method, q.class.name),
		"Host: h",
		"X-Trace-Id: " + q.id,
		"X-Customer: " + tenantName,
		fmt.Sprintf("X-Expires-In-Ms: %d", q.class.deadline.Milliseconds()),
	}
	if q.class.effect == effectByKey {
		lines = append(lines, "Idempotency-Key: k"+q.id)
	}
	lines = append(lines, fmt.Sprintf("Content-Length: %d", len(body)), "", body)
	return strings.Join(lines, "\r\n")
}

func (c *client) finish(q *request, result outcome) {
	c.run.record.finish(q, result, c.run.now())
}

// awaitAnswer sets the time limit of the answer, and waits for its first byte. If this process runs so late that the
// limit has passed before it looks, an answer that the kernel received in time may still be read.
func (c *client) awaitAnswer(limit time.Time) {
	_ = c.conn.SetReadDeadline(limit) // this and the call below fail only on closed connections
	if _, err := c.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lateReadTimeout))
	if _, err := c.reader.Peek(1); err != nil || time.Now().Add(-dataAge(c.conn)).After(limit) {
		_ = c.conn.SetReadDeadline(limit) // there is no answer, or it is late
	}
}

// receive reads the answer to a request, records the outcome, and closes the connection if it cannot be used again.
func (c *client) receive(q *request) {
	received, err := readAnswer(c.reader)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.disconnect()
		c.finish(q, outcomeLate)
		return
	case err != nil:
		c.disconnect()
		c.finish(q, outcomeIncomplete)
		return
	}
	c.finish(q, received.outcome(q))
	if received.closesConnection && !c.ignoresClose {
		c.disconnect()
	}
}

// answer is an answer that a client received from a node.
type answer struct {
	status           int
	body             string
	closesConnection bool
}

// readAnswer reads one answer. If its body is incomplete, it returns an error.
func readAnswer(reader *bufio.Reader) (answer, error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }() // an error does not matter: the client closes the connection itself
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(body), closesConnection: response.Close}, err
}

// outcome returns the outcome of the request that got this answer.
func (a answer) outcome(q *request) outcome {
	switch {
	case a.status == http.StatusOK && a.body == expectedAnswer(q.id):
		return outcomeServed
	case a.status == http.StatusOK:
		return outcomeWrongAnswer
	case a.status == http.StatusServiceUnavailable, a.status == http.StatusTooManyRequests:
		return outcomeRejected
	}
	return outcomeFailed
}
