package main

import (
	"crypto/rand"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"sync"
	"time"
)

// Parameters of the case "hang".
const (
	hangBody     = 5_500_000 // under the 32 MB that bodies may have
	hangWarmUp   = 18        // requests before a backend hangs
	hangRequests = 30        // requests after that
	hangInterval = 350 * time.Millisecond
	hangWork     = 100 * time.Millisecond // time that a backend works on a request
	hangBuffer   = 256 << 10              // receive buffer of a connection at a backend
	// hangWriteLimit is the time within which a client must have written its last byte for its request to be judged.
	hangWriteLimit = 300 * time.Millisecond
	// hangSlack is the half second after its time in which an answer only earns nothing, and the 50 ms of every limit.
	hangSlack = 550 * time.Millisecond
)

// errTooFewWritten is returned if clients could not write their requests fast enough.
var errTooFewWritten = errors.New("too few clients have written their last byte in time")

// hangRun is the state of a run: which backend hangs, how often each was used, and what clients have seen.
type hangRun struct {
	rig     *rig
	address string // of the node
	body    string

	mutex              sync.Mutex
	hangs              string         // the UID of the backend that hangs; "": none
	used               map[string]int // runs by backend
	judged, unanswered int
}

// isHanging reports whether a backend hangs now.
func (h *hangRun) isHanging(uid string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.hangs == uid
}

// stallingConn is a connection to a backend whose process may hang: its machine takes in what fits into its buffers, and
// the process reads nothing while it hangs.
type stallingConn struct {
	net.Conn
	hangs func() bool
}

// Read implements net.Conn.
func (c *stallingConn) Read(dst []byte) (int, error) {
	n, err := c.Conn.Read(dst)
	for c.hangs() {
		time.Sleep(10 * time.Millisecond)
	}
	return n, err
}

// serve works on a request and answers it.
func (h *hangRun) serve(b *backend, conn *backendConn, request received) bool {
	h.mutex.Lock()
	h.used[b.uid]++
	h.mutex.Unlock()
	time.Sleep(hangWork)
	body := request.trace + " ran\n"
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// hangMostUsed makes the backend hang that has run most requests so far. The node certainly uses that one.
func (h *hangRun) hangMostUsed() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for uid, runs := range h.used {
		if h.hangs == "" || runs > h.used[h.hangs] {
			h.hangs = uid
		}
	}
	h.rig.record.say("backend %s, one of six, hangs from now on", h.hangs)
}

// playHang has clients send ride-starts with long bodies, one on each connection, while one of six backends hangs.
func playHang(r *rig) (bool, error) {
	body := make([]byte, hangBody)
	_, _ = rand.Read(body) // never fails
	h := &hangRun{rig: r, body: string(body), used: map[string]int{}}
	wrap := func(b *backend, accepted net.Conn) net.Conn {
		if tcp, ok := accepted.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(hangBuffer) // without it, a connection that was used for long takes in a whole body
		}
		return &stallingConn{Conn: accepted, hangs: func() bool { return h.isHanging(b.uid) }}
	}
	nodes, err := r.deploy(deploymentOptions{site: siteKolkata, backends: 6, nodes: 1, serve: h.serve, wrap: wrap})
	if err != nil {
		return false, err
	}
	h.address = nodes[0].listen
	time.Sleep(time.Second)
	var clients sync.WaitGroup
	for i := range hangWarmUp + hangRequests {
		if i == hangWarmUp && r.trouble {
			h.hangMostUsed()
		}
		clients.Go(h.client)
		time.Sleep(hangInterval)
	}
	clients.Wait()
	r.record.say("requests whose last byte was written within %v: %d; of these without an answer %v after their time: %d",
		hangWriteLimit, h.judged, hangSlack, h.unanswered)
	if h.judged < hangRequests {
		return false, errTooFewWritten
	}
	return h.unanswered > 0, nil
}

// client sends one request and waits for its answer until half a second after the time that it has stated. Then it gives
// up and closes its connection.
func (h *hangRun) client() {
	c, err := dialNode(h.address)
	if err != nil {
		h.rig.record.say("no connection to the node: %v", err)
		return
	}
	defer c.close()
	request := newCall("ride-start", h.body)
	request.obj = mathrand.Uint64()
	text := []byte(request.text())
	started := time.Now()
	if _, err = c.conn.Write(text); err != nil {
		h.rig.record.say("%s could not be written: %v", request.trace, err)
		return
	}
	written := time.Since(started)
	isJudged := written <= hangWriteLimit
	h.rig.record.add("client wrote the last byte of %s after %v; it waits %v", request.trace, written, request.expires)
	answer, err := c.read(request.expires + hangSlack - time.Since(started))
	answered := err == nil
	if answered {
		h.rig.record.add("answer %d to %s after %v", answer.status, request.trace, time.Since(started))
	} else {
		h.rig.record.say("%s has no answer %v after its last byte, and its client leaves: %v", request.trace, time.Since(started)-written, err)
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if isJudged {
		h.judged++
		if !answered {
			h.unanswered++
		}
	}
}
