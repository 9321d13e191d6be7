package main

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// The load of the case many-at-once.
const (
	manyCount    = 24                     // requests that a client sends at once, without waiting for answers
	manyBody     = 40_000                 // their bodies, in bytes
	manyWork     = 100 * time.Millisecond // of a request at its backend: no answer can come before
	countAfter   = 80 * time.Millisecond  // when it is counted what the client has written
	unreadAtMost = 400_000                // bytes of that which the node may not have read; see playManyAtOnce
	sendBuffer   = 64 << 10
)

func init() { cases["many-at-once"] = playManyAtOnce }

// playManyAtOnce lets a client send many keyed requests at once. Without the disruption it sends each after the answer
// to the one before. A request counts only if the node has certainly read it whole before it gave its first answer: the
// client had written unreadAtMost bytes more by then, and the two kernels hold less for the connection, which is twice
// the buffers of 64 KiB that the client and the node set.
func playManyAtOnce(c *run) bool {
	d := newDiscovery(startBackends(rideBackend(c, manyWork)))
	n := startNode(c.directory, d.address, d.whole, nodeOptions{memoryMB: 192, sockets: 1024})
	conn := connect(n)
	_ = conn.(*net.TCPConn).SetWriteBuffer(sendBuffer)
	var traces, texts []string
	for range manyCount {
		trace := newTrace()
		traces = append(traces, trace)
		texts = append(texts, head(fareSettle, trace, 3000, manyBody, "")+strings.Repeat("x", manyBody))
	}
	certainlyRead := 0 // bytes
	if c.trouble {
		var written atomic.Int64
		go writePieces(conn, strings.Join(texts, ""), &written)
		time.Sleep(countAfter)
		certainlyRead = int(written.Load()) - unreadAtMost
		c.logf("the client has written %d bytes, and the node has read %d of them or more", written.Load(), certainlyRead)
	}
	reader := bufio.NewReader(conn)
	lost, end := 0, 0
	for i, trace := range traces {
		if !c.trouble {
			_, err := io.WriteString(conn, texts[i])
			must(err)
		}
		end += len(texts[i])
		status, body, err := readAnswer(conn, reader, answerWait)
		c.logf("%s answered %d %q, error %v; read whole before any answer: %v", trace, status, body, err, end <= certainlyRead)
		if err != nil && (end <= certainlyRead || !c.trouble) {
			lost++
		}
	}
	c.logf("requests that the node has read and not answered: %d", lost)
	return lost == 0
}

// writePieces writes a text in pieces and counts the bytes. It ends at an error.
func writePieces(conn net.Conn, text string, written *atomic.Int64) {
	for len(text) > 0 {
		count, err := io.WriteString(conn, text[:min(len(text), 8<<10)])
		written.Add(int64(count))
		if text = text[count:]; err != nil {
			return
		}
	}
}
