package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Some clients stop reading in the middle of an answer and keep their connection open. A node must give up the write of
// that answer without harm to other requests, whatever the connection was used for before.
const (
	unreadNodeStep      = 3 // nodes with a multiple of this as index have such clients
	unreadIDPrefix      = "unread-"
	unreadAnswerBytes   = 8 << 20          // more than the kernels buffer between a node and a client that does not read
	unreadReceiveBuffer = 4096             // in bytes
	unreadHoldTime      = 11 * time.Second // longer than the 10 s after which a node gives up a write
	unreadRetryPause    = 200 * time.Millisecond
	downloadIDPrefix    = "download-"
	downloadBytes       = 200_000 // more than a node buffers
)

// unreadPreparation is the request that a client sends, and whose answer it reads, before it stops reading.
type unreadPreparation uint8

const (
	unreadAfterSmallRequest unreadPreparation = iota
	unreadAfterUpload
	unreadAfterDownload
	unreadPreparationCount
)

// startUnreadClients starts the clients that stop reading.
func (r *run) startUnreadClients() {
	for _, n := range r.nodes {
		if n.index%unreadNodeStep != 0 {
			continue
		}
		for preparation := range unreadPreparationCount {
			r.clients.Go(func() { r.stopReading(n, preparation) })
		}
	}
}

// stopReading tries until the end of the run to get a connection on which a request was answered, sends a request with
// a long answer on it, and holds it without reading.
func (r *run) stopReading(n *node, preparation unreadPreparation) {
	for number := 0; !r.ended(); number++ {
		c := &client{run: r, node: n, name: fmt.Sprintf("n%d-%d-%d", n.index, preparation, number)}
		if c.connect() {
			_ = c.conn.(*net.TCPConn).SetReadBuffer(unreadReceiveBuffer) // a larger buffer only delays the effect
			if c.prepareUnread(preparation) {
				c.holdUnreadAnswer()
			}
			c.disconnect()
		}
		r.sleep(unreadRetryPause)
	}
}

// prepareUnread sends the request that precedes the unread answer, and reports whether it was served.
func (c *client) prepareUnread(preparation unreadPreparation) bool {
	prefix, body := "first-", ""
	class := classes[0]
	switch preparation {
	case unreadAfterUpload:
		body = strings.Repeat(requestBody, largeBody/len(requestBody))
	case unreadAfterDownload:
		prefix = downloadIDPrefix
	}
	q := c.startRequest(prefix+c.name, class)
	if _, err := io.WriteString(c.conn, encodeRequest(q, body)); err != nil {
		c.finish(q, outcomeNotSent)
		return false
	}
	c.run.record.requestSent(q, c.run.now())
	_ = c.conn.SetReadDeadline(time.Now().Add(class.deadline + answerGrace + 2*schedulingDelay)) // fails only on closed connections
	received, err := readAnswer(c.reader)
	if err != nil || received.status != http.StatusOK {
		c.disconnect()
		c.finish(q, outcomeDisconnected)
		return false
	}
	c.finish(q, outcomeServed)
	return !received.closesConnection
}

// startRequest records the start of a request.
func (c *client) startRequest(id string, class class) *request {
	q := &request{id: id, node: c.node.index, class: class, connectedAt: c.connectedAt}
	c.run.record.start(q, c.run.now())
	return q
}

// holdUnreadAnswer requests a long answer and does not read it.
func (c *client) holdUnreadAnswer() {
	q := c.startRequest(unreadIDPrefix+c.name, classes[0])
	_, err := io.WriteString(c.conn, encodeRequest(q, ""))
	c.run.record.requestSent(q, c.run.now())
	if err == nil {
		c.run.sleep(unreadHoldTime)
	}
	c.disconnect()
	c.finish(q, outcomeDisconnected)
}

// answerBytes returns the size of the answer that a backend sends to the request of a client that stops reading, or 0 for
// all other requests.
func answerBytes(id string) int {
	switch {
	case strings.HasPrefix(id, unreadIDPrefix):
		return unreadAnswerBytes
	case strings.HasPrefix(id, downloadIDPrefix):
		return downloadBytes
	}
	return 0
}
