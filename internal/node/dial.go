package node

import (
	"time"

	"github.com/cloudwego/netpoll"

	"tulipglade/internal/balancer"
)

func (n *Node) dial(ep *endpoint) {
	pending := &backendConn{node: n, endpoint: ep, incarnation: ep.incarnation}
	ep.pendingDials++
	n.openDescriptors++
	addr, timeout := ep.address, time.Duration(n.settings.ConnectTimeout)*time.Microsecond
	go func() {
		conn, err := netpoll.DialConnection("tcp", addr, timeout)
		if err == nil {
			err = pending.attach(conn)
		}
		n.post(func() { n.dialFinished(pending, err) })
	}()
}

// attach takes up a connection that has come up. From here on what the host sends goes to Run's goroutine, which has not heard of it yet.
func (b *backendConn) attach(conn netpoll.Connection) error {
	b.conn = conn
	_ = conn.SetWriteTimeout(writeTimeout)
	if c, ok := conn.(interface{ Fd() int }); ok {
		_ = limitReceiveBuffer(uintptr(c.Fd()))
	}
	b.onClose(func() { b.node.post(b.connectionEnded) })
	return conn.SetOnRequest(b.onInput)
}

// dialFinished is a connection that has come up or not. It goes to whoever has waited longest.
func (n *Node) dialFinished(conn *backendConn, err error) {
	ep := conn.endpoint
	ep.pendingDials--
	conn.dialHandled = true
	if err != nil || !conn.conn.IsActive() {
		if !conn.closed { // else its host spoke before it was asked, and receive has closed it
			conn.closed = true
			n.openDescriptors--
		}
		if conn.conn != nil {
			_ = conn.conn.Close()
		}
		if len(ep.waitingAttempts) > ep.pendingDials+len(ep.idleConns) { // one of them waits in vain
			n.log.Debug("connect failed", "host", ep.address, "err", err)
			failed := ep.waitingAttempts[0]
			if last := ep.waitingAttempts[len(ep.waitingAttempts)-1]; last.isHealthCheck {
				failed = last
			}
			n.abandonAttempt(failed, balancer.OutcomeConnectFailed)
		}
		return
	}
	n.releaseConn(conn)
}
