package soak

import (
	"fmt"
	"io"
	"net"
	"time"
)

// A crowd is clients that hold connections and do not use them. Some runs have one, at some of their nodes: as many
// connections as these nodes may hold descriptors.
const (
	idleConnectionSeedStep = 3 // every seed that this divides has a crowd
	idleConnectionNodeStep = 4 // and in it every node that this divides
	idleConnectionCount    = nodeDescriptors
	idleReconnectPause     = 200 * time.Millisecond // before a connection that has ended is replaced
	slowReadPause          = 50 * time.Millisecond  // between two bytes that a slow reader reads
	idleConnectionLifetime = 4 * time.Second        // how long a connection is held
)

// partialHead is as much of a request as some connections of a crowd send.
const partialHead = "GET /read HTTP/1.1\r\nHost: h\r\nX-Tr"

// idleConnectionLogTexts are in the log records that a crowd may cause: a node may close connections on which half a head has come.
var idleConnectionLogTexts = [][]byte{
	fmt.Appendf(nil, `trace_id="" received_bytes=%d has_sent_request=false`, len(partialHead)),
	[]byte(`msg="warnings suppressed" message="client connection closed within a request"`),
}

// idleConnectionBehaviours are what the connections of a crowd do, by turns.
var idleConnectionBehaviours = []func(*run, net.Conn){
	func(r *run, _ net.Conn) { r.sleep(idleConnectionLifetime) },
	func(r *run, conn net.Conn) {
		_, _ = io.WriteString(conn, "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n") // the node may have closed the connection
		r.sleep(idleConnectionLifetime)
	},
	func(r *run, conn net.Conn) {
		_, _ = io.WriteString(conn, partialHead) // as above
		r.sleep(idleConnectionLifetime)
	},
	func(r *run, conn net.Conn) {
		_, _ = io.WriteString(conn, "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n") // as above
		var one [1]byte
		for !r.ended() {
			if _, err := conn.Read(one[:]); err != nil {
				return
			}
			r.sleep(slowReadPause)
		}
	},
}

// hasIdleConnections reports whether a node has a crowd in this run.
func (r *run) hasIdleConnections(node int) bool {
	return r.options.Seed%idleConnectionSeedStep == 0 && node%idleConnectionNodeStep == 0
}

// startIdleConnections starts the crowds of the run.
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

// holdConnections opens one connection after the other until the end of the run.
func (r *run) holdConnections(n *node, behave func(*run, net.Conn)) {
	for !r.ended() {
		if conn, err := net.DialTimeout("tcp", n.listen, connectTimeout); err == nil {
			_ = conn.SetDeadline(time.Now().Add(idleConnectionLifetime)) // it fails on closed connections only
			behave(r, conn)
			_ = conn.Close() // the node may have closed it
		}
		r.sleep(idleReconnectPause)
	}
}
