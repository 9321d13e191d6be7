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

// nodeState is a node as the front sees it: taken in once its /ready has answered 200, and left out some time after
// its death.
type nodeState struct {
	w     *Cluster
	index int
	addr  string
	ready atomic.Bool
}

const readyEvery = 100 * time.Millisecond

// watch asks /ready until it answers 200, and from then on looks whether the node still takes connections.
func (n *nodeState) watch() {
	notice := time.Duration(n.w.sc.Nodes.Notice * float64(time.Millisecond))
	tick := time.NewTicker(readyEvery)
	defer tick.Stop()
	var lost time.Time
	for {
		select {
		case <-tick.C:
		case <-n.w.ctx.Done():
			return
		}
		ok := n.probe()
		switch {
		case ok:
			lost = time.Time{}
			if !n.ready.Swap(true) {
				n.w.log.write(event{At: n.w.now(), What: "node-in", Node: n.index})
				if n.w.opts.Ready != nil {
					n.w.opts.Ready(n.index)
				}
			}
		case !n.ready.Load():
		case lost.IsZero():
			lost = time.Now()
		case time.Since(lost) >= notice:
			n.ready.Store(false)
			n.w.log.write(event{At: n.w.now(), What: "node-out", Node: n.index})
		}
	}
}

func (n *nodeState) probe() bool {
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

// front shares the connections of a site's clients out among its nodes, in turn.
type front struct {
	w    *Cluster
	site int
	ln   net.Listener
	turn int

	mu    sync.Mutex
	conns map[net.Conn]bool
	end   bool
}

func newFront(w *Cluster, site int) (*front, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("front of %s: %w", w.sc.Fleet.Sites[site], err)
	}
	return &front{w: w, site: site, ln: ln, conns: map[net.Conn]bool{}}, nil
}

func (f *front) shut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.end = true
	f.ln.Close()
	for c := range f.conns {
		c.Close()
	}
}

func (f *front) accept() {
	for {
		c, err := f.ln.Accept()
		if err != nil {
			return
		}
		n := f.choose()
		if n == nil {
			reset(c)
			continue
		}
		f.w.wg.Go(func() { f.relay(c, n) })
	}
}

// choose takes the next node of the site that is in, or one of any site.
func (f *front) choose() *nodeState {
	f.turn++
	for _, own := range []bool{true, false} {
		for i := range f.w.nodes {
			n := f.w.nodes[(f.turn+i)%len(f.w.nodes)]
			if n.ready.Load() && (!own || f.w.sc.Site(n.index) == f.site) {
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

func (f *front) relay(client net.Conn, n *nodeState) {
	server, err := net.DialTimeout("tcp4", n.addr, time.Second)
	if err != nil {
		reset(client)
		return
	}
	f.mu.Lock()
	if f.end {
		f.mu.Unlock()
		client.Close()
		server.Close()
		return
	}
	f.conns[client], f.conns[server] = true, true
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
	both.Go(func() { pass(server, client) })
	both.Go(func() { pass(client, server) })
	both.Wait()
	f.mu.Lock()
	delete(f.conns, client)
	delete(f.conns, server)
	f.mu.Unlock()
	client.Close()
	server.Close()
}
