package soak

import (
	"fmt"
	"io"
	"net"
	"time"
)

// Idle connections are held by clients that send at most one request and do not read its answer at normal speed. Some
// runs have them at some of their nodes. Each of these nodes gets as many as it may hold file descriptors.
const (
	idleConnectionSeedStep = 3 // seeds that are a multiple of this have idle connections
	idleConnectionNodeStep = 4 // in their runs, nodes with a multiple of this as index get them
	idleConnectionCount    = nodeDescriptors
	idleReconnectPause     = 200 * time.Millisecond // pause before an ended connection is replaced
	slowReadPause          = 50 * time.Millisecond  // pause between two bytes that a slow client reads
	idleConnectionLifetime = 4 * time.Second        // maximum time for which a connection is held
)

// partialHead is the incomplete request head that some idle connections send.
const partialHead = "GET /read HTTP/1.1\r\nHost: h\r\nX-Tr"

// idleConnectionLogTexts are texts in log records that idle connections may cause and that are therefore allowed: a
// node may close connections on which only a partial request head has arrived.
var idleConnectionLogTexts = [][]byte{
	fmt.Appendf(nil, `trace_id="" received_bytes=%d has_sent_request=false`, len(partialHead)),
	[]byte(`msg="warnings suppressed" message="client connection closed within a request"`),
}

// idleConnectionBehaviours are the behaviours of idle connections, which are assigned to them in turn: send nothing,
// send a request and do not read its answer, send a partial request head, or read the answer slowly.
var idleConnectionBehaviours = []func(*run, net.Conn){
	func(r *run, _ net.Conn) { r.sleep(idleConnectionLifetime) },
	func(r *run, conn net.Conn) {
		// An error does not matter here and below: the node may have closed the connection.
		_, _ = io.WriteString(conn, "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
		r.sleep(idleConnectionLifetime)
	},
	func(r *run, conn net.Conn) {
		_, _ = io.WriteString(conn, partialHead)
		r.sleep(idleConnectionLifetime)
	},
	func(r *run, conn net.Conn) {
		_, _ = io.WriteString(conn, "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
		var one [1]byte
		for !r.ended() {
			if _, err := conn.Read(one[:]); err != nil {
				return
			}
			r.sleep(slowReadPause)
		}
	},
}

// hasIdleConnections reports whether a node gets idle connections in this run.
func (r *run) hasIdleConnections(node int) bool {
	return r.options.Seed%idleConnectionSeedStep == 0 && node%idleConnectionNodeStep == 0
}

// startIdleConnections starts the clients that hold idle connections in this run.
func (r *run) startIdleConnections() {
	for _, n := range r.nodes {
		if !r.hasIdleConnections(n.index) {
			continue
		}
		for i := range idleConnectionCount {
			behave := idleConnectionBehaviours[i%len(idleConnectionBehaviours)]
			r.clients.Go(func() { r.holdConnections(n, behave) })
		}
	}
}

// holdConnections opens connections one after the other, and applies a behaviour to each, until the end of the run.
func (r *run) holdConnections(n *node, behave func(*run, net.Conn)) {
	for !r.ended() {
		if conn, err := net.DialTimeout("tcp", n.listen, connectTimeout); err == nil {
			_ = conn.SetDeadline(time.Now().Add(idleConnectionLifetime)) // it fails only on closed connections
			behave(r, conn)
			_ = conn.Close() // an error does not matter: the node may have closed it
		}
		r.sleep(idleReconnectPause)
	}
}
