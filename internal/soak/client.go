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
	"time"
)

// outcome is what a client got for a request.
type outcome uint8

const (
	open    outcome = iota
	served          // 200 with the answer that was made for it
	wrong           // 200 with something else
	refused         // 429 or 503
	failed          // any other whole answer
	ended           // the connection ended without a whole answer
	late            // nothing came in time
	left            // the client closed its connection first
	unsent          // there was no connection, or it broke before all was sent
)

// How clients behave.
const (
	patience    = 500 * time.Millisecond // after a request's time its answer may still come, and earns nothing
	leavesOneIn = 20
	restsOneIn  = 40
	longestRest = 3 * time.Second
)

// client asks one node again and again.
type client struct {
	run    *run
	node   *node
	name   string
	random *rand.Rand
	conn   net.Conn
	in     *bufio.Reader
	asked  int // requests on this connection
	next   int
}

func (c *client) loop() {
	defer c.hangUp()
	for c.run.stop.Err() == nil {
		c.pause(time.Duration(5+c.random.IntN(50)) * time.Millisecond)
		if c.random.IntN(restsOneIn) == 0 {
			c.pause(time.Duration(c.random.Int64N(int64(longestRest))))
		}
		if c.conn == nil && !c.dial() {
			c.pause(50 * time.Millisecond)
			continue
		}
		c.ask()
	}
}

func (c *client) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-c.run.stop.Done():
	}
}

func (c *client) dial() bool {
	conn, err := net.DialTimeout("tcp", c.node.listen, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.in, c.asked = conn, bufio.NewReader(conn), 0
	return true
}

func (c *client) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// ask sends one request and takes its answer.
func (c *client) ask() {
	class := classes[c.random.IntN(len(classes))]
	id := fmt.Sprintf("%s-%d", c.name, c.next)
	c.next++
	body := ""
	method, key := "GET", ""
	if class.effect != "repeatable" {
		method, body = "POST", "work"
	}
	if class.effect == "by_key" {
		key = "Idempotency-Key: k" + id + "\r\n"
	}
	q := &request{id: id, node: c.node.index, class: class, fresh: c.asked == 0}
	text := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: h\r\nX-Trace-Id: %s\r\nX-Customer: t\r\nX-Expires-In-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		method, class.name, id, class.deadline.Milliseconds(), key, len(body), body)
	c.asked++
	c.run.record.begin(q, c.run.now())
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.over(q, unsent)
		return
	}
	if c.random.IntN(leavesOneIn) == 0 {
		c.pause(time.Duration(c.random.Int64N(int64(class.deadline / 4))))
		if c.in.Buffered() == 0 {
			c.leave(q)
			return
		}
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(class.deadline + patience + 2*scheduling))
	c.take(q)
}

// leave closes the connection under its request.
func (c *client) leave(q *request) {
	c.hangUp()
	c.run.record.end(q, left, c.run.now())
}

func (c *client) over(q *request, how outcome) {
	c.hangUp()
	c.run.record.end(q, how, c.run.now())
}

// take reads the answer to a request.
func (c *client) take(q *request) {
	resp, err := http.ReadResponse(c.in, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.over(q, late)
		return
	case err != nil:
		c.over(q, ended)
		return
	}
	how := failed
	switch {
	case resp.StatusCode == http.StatusOK && string(body) == answerTo(q.id):
		how = served
	case resp.StatusCode == http.StatusOK:
		how = wrong
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusTooManyRequests:
		how = refused
	}
	c.run.record.end(q, how, c.run.now())
	if resp.Close {
		c.hangUp()
	}
}
