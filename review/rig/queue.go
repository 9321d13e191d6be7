package main

import (
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// Parameters of the case "queue".
const (
	queueMemoryMB  = 72        // more answers than this holds are on their way at once
	queueAnswer    = 8_000_000 // under the 32 MB that answers may have
	queueClients   = 180
	queueInterval  = 10 * time.Millisecond // from one client to the next: the traffic of one of three nodes
	queuePause     = 5 * time.Second       // time for which a client does not read, after the first bytes
	queueFirstRead = 64 << 10
	queueBuffer    = 64 << 10 // receive buffer of a client
	// queueSlack is the half second after its time in which an answer only earns nothing, and the 50 ms of every limit.
	queueSlack = 550 * time.Millisecond
)

// queueRun counts what the clients of a run have seen.
type queueRun struct {
	rig     *rig
	address string // of the node

	mutex                             sync.Mutex
	served, refused, failed, unserved int
	worst                             time.Duration // the longest time to the first byte
}

// serveLong answers a request with a long body.
func serveLong(_ *backend, conn *backendConn, _ received) bool {
	time.Sleep(30 * time.Millisecond)
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", queueAnswer); err != nil {
		return false
	}
	_, err := io.CopyN(conn, zeros{}, queueAnswer)
	return err == nil
}

// zeros is an endless source of bytes.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(dst []byte) (int, error) {
	clear(dst)
	return len(dst), nil
}

// playQueue has clients read long answers. With the disruption each takes some seconds to read its answer.
func playQueue(r *rig) (bool, error) {
	nodes, err := r.deploy(deploymentOptions{site: siteKolkata, backends: 6, nodes: 1, serve: serveLong, memoryMB: queueMemoryMB, near: true})
	if err != nil {
		return false, err
	}
	q := &queueRun{rig: r, address: nodes[0].listen}
	time.Sleep(time.Second)
	var clients sync.WaitGroup
	for range queueClients {
		clients.Go(q.client)
		time.Sleep(queueInterval)
	}
	clients.Wait()
	r.record.say("served %d, refused %d, failed %d; without a byte of an answer %v after their time %d; longest time to the first byte %v",
		q.served, q.refused, q.failed, queueSlack, q.unserved, q.worst)
	return q.unserved > 0, nil
}

// client sends one request and reads its answer: the first bytes at once, and the rest after a pause.
func (q *queueRun) client() {
	conn, err := net.DialTimeout("tcp", q.address, 2*time.Second)
	if err != nil {
		q.rig.record.say("no connection to the node: %v", err)
		return
	}
	defer func() { _ = conn.Close() }()
	if tcp, ok := conn.(*net.TCPConn); ok && q.rig.trouble {
		_ = tcp.SetReadBuffer(queueBuffer) // a client that has little room
	}
	request := newCall("map-read", "")
	request.obj = mathrand.Uint64()
	started := time.Now()
	if _, err := io.WriteString(conn, request.text()); err != nil {
		q.rig.record.say("%s could not be written: %v", request.trace, err)
		return
	}
	_ = conn.SetReadDeadline(started.Add(20 * time.Second))
	first := make([]byte, 1<<10)
	n, err := conn.Read(first)
	took := time.Since(started)
	statusLine, _, _ := strings.Cut(string(first[:n]), "\r\n")
	q.rig.record.add("%s: first bytes after %v, %q, error %v", request.trace, took, statusLine, err)
	q.count(statusLine, took, request.expires)
	if q.rig.trouble {
		_, _ = io.CopyN(io.Discard, conn, queueFirstRead)
		time.Sleep(queuePause)
	}
	rest, err := io.CopyN(io.Discard, conn, queueAnswer/2) // half of the answer is enough to free the node
	q.rig.record.add("%s: read %d more bytes, %v after its start, error %v", request.trace, rest, time.Since(started), err)
}

// count counts the outcome of a request.
func (q *queueRun) count(statusLine string, took, expires time.Duration) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.worst = max(q.worst, took)
	switch {
	case took > expires+queueSlack:
		q.unserved++
	case strings.Contains(statusLine, " 200 "):
		q.served++
	case strings.Contains(statusLine, " 503 "), strings.Contains(statusLine, " 429 "):
		q.refused++
	default:
		q.failed++
	}
}
