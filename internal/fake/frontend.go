package fake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// readinessInterval is the interval of the readiness checks of a node.
	readinessInterval = 100 * time.Millisecond
	// nodeTimeout bounds each readiness check, and each connection attempt to a node.
	nodeTimeout = time.Second
)

// frontendNode is the state that the frontends keep of a node. The node is in rotation once its /ready has answered
// 200, and is taken out of rotation when its readiness checks have failed for the scenario's notice period.
type frontendNode struct {
	cluster *Cluster
	index   int
	addr    string
	ready   atomic.Bool
}

// monitor checks the node's readiness periodically, until the cluster is closed.
func (n *frontendNode) monitor() {
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	var failingSince time.Time
	for {
		select {
		case <-ticker.C:
		case <-n.cluster.ctx.Done():
			return
		}
		failingSince = n.update(n.checkReady(), failingSince)
	}
}

// update puts the node into rotation or takes it out, according to the result of a readiness check. It returns the time
// since which the checks have failed; zero: the last one succeeded.
func (n *frontendNode) update(ready bool, failingSince time.Time) time.Time {
	cl := n.cluster
	if ready {
		if !n.ready.Swap(true) {
			cl.log.write(logEvent{Time: cl.now(), Kind: eventNodeIn, Node: n.index})
			if cl.options.OnReady != nil {
				cl.options.OnReady(n.index)
			}
		}
		return time.Time{}
	}
	if !n.ready.Load() {
		return failingSince
	}
	if failingSince.IsZero() {
		return time.Now()
	}
	removalDelay := time.Duration(cl.scenario.Nodes.Notice * float64(time.Millisecond))
	if time.Since(failingSince) >= removalDelay {
		n.ready.Store(false)
		cl.log.write(logEvent{Time: cl.now(), Kind: eventNodeOut, Node: n.index})
	}
	return failingSince
}

// checkReady reports whether the node's /ready answers 200.
func (n *frontendNode) checkReady() bool {
	conn, err := net.DialTimeout("tcp4", n.addr, nodeTimeout)
	if err != nil {
		return false
	}
	defer closeQuietly(conn)
	_ = conn.SetDeadline(time.Now().Add(nodeTimeout)) // an error means that the connection is closed
	if _, err := io.WriteString(conn, "GET /ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n"); err != nil {
		return false
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	_ = response.Body.Close() // nothing more is read
	return response.StatusCode == http.StatusOK
}

// frontend balances the connections of a site's clients over its nodes, round robin.
type frontend struct {
	cluster   *Cluster
	site      int
	listener  net.Listener
	nextIndex int

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

func newFrontend(cluster *Cluster, site int) (*frontend, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("frontend of %s: %w", cluster.scenario.Fleet.Sites[site], err)
	}
	return &frontend{cluster: cluster, site: site, listener: listener, conns: map[net.Conn]bool{}}, nil
}

func (f *frontend) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	closeQuietly(f.listener)
	for conn := range f.conns {
		closeQuietly(conn)
	}
}

// accept accepts connections and relays each to a node, until the frontend is closed. It resets a connection if no node
// is in rotation.
func (f *frontend) accept() {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return
		}
		node := f.nextNode()
		if node == nil {
			resetConn(conn)
			continue
		}
		f.cluster.wg.Go(func() { f.relay(conn, node) })
	}
}

// nextNode returns the next node in rotation at the frontend's site or, if there is none, at any site. It returns nil
// if no node is in rotation.
func (f *frontend) nextNode() *frontendNode {
	f.nextIndex++
	nodes := f.cluster.nodes
	for _, sameSite := range []bool{true, false} {
		for i := range nodes {
			node := nodes[(f.nextIndex+i)%len(nodes)]
			if node.ready.Load() && (!sameSite || f.cluster.scenario.Site(node.index) == f.site) {
				return node
			}
		}
	}
	return nil
}

// relay copies bytes between a client and a node until both directions have ended.
func (f *frontend) relay(clientConn net.Conn, node *frontendNode) {
	nodeConn, err := net.DialTimeout("tcp4", node.addr, nodeTimeout)
	if err != nil {
		resetConn(clientConn)
		return
	}
	defer closeQuietly(nodeConn)
	defer closeQuietly(clientConn)
	if !f.register(clientConn, nodeConn) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { relayBytes(nodeConn, clientConn) })
	both.Go(func() { relayBytes(clientConn, nodeConn) })
	both.Wait()
	f.unregister(clientConn, nodeConn)
}

// register adds connections to those that close ends. It returns false once the frontend is closed.
func (f *frontend) register(conns ...net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	for _, conn := range conns {
		f.conns[conn] = true
	}
	return true
}

func (f *frontend) unregister(conns ...net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range conns {
		delete(f.conns, conn)
	}
}

// relayBytes copies one direction of a connection. When the source ends, it shuts down the sending side of the
// destination; after an error it resets the destination.
func relayBytes(destination, source net.Conn) {
	if _, err := io.Copy(destination, source); err != nil {
		resetConn(destination)
		return
	}
	if tcp, ok := destination.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // an error means that the connection is closed
	}
}
