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

// frontendNode is a node as the front sees it: taken in once its /ready has answered 200, and left out some time after
// its death.
type frontendNode struct {
	cluster *Cluster
	index   int
	addr    string
	ready   atomic.Bool
}

const readinessInterval = 100 * time.Millisecond

// monitor asks /ready until it answers 200, and from then on looks whether the node still takes connections.
func (n *frontendNode) monitor() {
	notice := time.Duration(n.cluster.scenario.Nodes.Notice * float64(time.Millisecond))
	tick := time.NewTicker(readinessInterval)
	defer tick.Stop()
	var lostAt time.Time
	for {
		select {
		case <-tick.C:
		case <-n.cluster.ctx.Done():
			return
		}
		ok := n.checkReady()
		switch {
		case ok:
			lostAt = time.Time{}
			if !n.ready.Swap(true) {
				n.cluster.log.write(logEvent{Time: n.cluster.now(), Kind: "node-in", Node: n.index})
				if n.cluster.options.Ready != nil {
					n.cluster.options.Ready(n.index)
				}
			}
		case !n.ready.Load():
		case lostAt.IsZero():
			lostAt = time.Now()
		case time.Since(lostAt) >= notice:
			n.ready.Store(false)
			n.cluster.log.write(logEvent{Time: n.cluster.now(), Kind: "node-out", Node: n.index})
		}
	}
}

func (n *frontendNode) checkReady() bool {
	c, err := net.DialTimeout("tcp4", n.addr, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(c, "GET /ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n"); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	return err == nil && resp.StatusCode == http.StatusOK
}

// frontend shares the connections of a site's clients out among its nodes, in turn.
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
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("front of %s: %w", cluster.scenario.Fleet.Sites[site], err)
	}
	return &frontend{cluster: cluster, site: site, listener: ln, conns: map[net.Conn]bool{}}, nil
}

func (f *frontend) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	f.listener.Close()
	for c := range f.conns {
		c.Close()
	}
}

func (f *frontend) accept() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		n := f.nextNode()
		if n == nil {
			reset(c)
			continue
		}
		f.cluster.wg.Go(func() { f.relay(c, n) })
	}
}

// nextNode takes the next node of the site that is in, or one of any site.
func (f *frontend) nextNode() *frontendNode {
	f.nextIndex++
	for _, own := range []bool{true, false} {
		for i := range f.cluster.nodes {
			n := f.cluster.nodes[(f.nextIndex+i)%len(f.cluster.nodes)]
			if n.ready.Load() && (!own || f.cluster.scenario.Site(n.index) == f.site) {
				return n
			}
		}
	}
	return nil
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

func (f *frontend) relay(clientConn net.Conn, node *frontendNode) {
	nodeConn, err := net.DialTimeout("tcp4", node.addr, time.Second)
	if err != nil {
		reset(clientConn)
		return
	}
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		clientConn.Close()
		nodeConn.Close()
		return
	}
	f.conns[clientConn], f.conns[nodeConn] = true, true
	f.mu.Unlock()
	var both sync.WaitGroup
	pass := func(to, from net.Conn) {
		_, err := io.Copy(to, from)
		if err != nil { // a reset on the one side is one on the other
			reset(to)
			return
		}
		if t, ok := to.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
	}
	both.Go(func() { pass(nodeConn, clientConn) })
	both.Go(func() { pass(clientConn, nodeConn) })
	both.Wait()
	f.mu.Lock()
	delete(f.conns, clientConn)
	delete(f.conns, nodeConn)
	f.mu.Unlock()
	clientConn.Close()
	nodeConn.Close()
}
