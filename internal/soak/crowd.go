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
	crowdSeedsStep  = 3 // every seed that this divides has a crowd
	crowdNodesStep  = 4 // and in it every node that this divides
	crowdSize       = nodeDescriptors
	crowdPause      = 200 * time.Millisecond // before a connection that has ended is replaced
	crowdReadPause  = 50 * time.Millisecond  // between two bytes that a slow reader reads
	crowdMostLength = 4 * time.Second        // how long a connection is held
)

// crowdHead is as much of a request as some connections of a crowd send.
const crowdHead = "GET /read HTTP/1.1\r\nHost: h\r\nX-Tr"

// crowdTexts are in the log records that a crowd may cause: a node may close connections on which half a head has come.
var crowdTexts = [][]byte{
	fmt.Appendf(nil, `trace_id="" received_bytes=%d has_sent_request=false`, len(crowdHead)),
	[]byte(`msg="warnings suppressed" message="client connection closed within a request"`),
}

// crowdBehaviours are what the connections of a crowd do, by turns.
var crowdBehaviours = []func(*run, net.Conn){
	func(r *run, _ net.Conn) { r.sleep(crowdMostLength) },
	func(r *run, conn net.Conn) {
		_, _ = io.WriteString(conn, "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n") // the node may have closed the connection
		r.sleep(crowdMostLength)
	},
	func(r *run, conn net.Conn) {
		_, _ = io.WriteString(conn, crowdHead) // as above
		r.sleep(crowdMostLength)
	},
	func(r *run, conn net.Conn) {
		_, _ = io.WriteString(conn, "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n") // as above
		var one [1]byte
		for !r.ended() {
			if _, err := conn.Read(one[:]); err != nil {
				return
			}
			r.sleep(crowdReadPause)
		}
	},
}

// hasCrowd reports whether a node has a crowd in this run.
func (r *run) hasCrowd(node int) bool {
	return r.options.Seed%crowdSeedsStep == 0 && node%crowdNodesStep == 0
}

// startCrowds starts the crowds of the run.
func (r *run) startCrowds() {
	for _, n := range r.nodes {
		if !r.hasCrowd(n.index) {
			continue
		}
		for i := range crowdSize {
			behave := crowdBehaviours[i%len(crowdBehaviours)]
			r.clients.Go(func() { r.keepCrowding(n, behave) })
		}
	}
}

// keepCrowding opens one connection after the other until the end of the run.
func (r *run) keepCrowding(n *node, behave func(*run, net.Conn)) {
	for !r.ended() {
		if conn, err := net.DialTimeout("tcp", n.listen, connectTimeout); err == nil {
			_ = conn.SetDeadline(time.Now().Add(crowdMostLength)) // it fails on closed connections only
			behave(r, conn)
			_ = conn.Close() // the node may have closed it
		}
		r.sleep(crowdPause)
	}
}
