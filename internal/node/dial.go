package node

import (
	"time"

	"github.com/cloudwego/netpoll"

	"tulipglade/internal/balancer"
)

// dial opens a connection to an endpoint on a goroutine of its own, which posts the result to the event loop.
func (n *Node) dial(ep *endpoint) {
	pending := &backendConn{node: n, endpoint: ep, incarnation: ep.incarnation}
	ep.pendingDials++
	n.countConnections(1)
	addr, timeout := ep.address, time.Duration(n.settings.ConnectTimeout)*time.Microsecond
	go func() {
		conn, err := netpoll.DialConnection("tcp", addr, timeout)
		if err == nil {
			err = pending.attach(conn)
		}
		n.report(reportDialed, func() { n.dialFinished(pending, err) })
	}()
}

// attach initializes the connection with the poller's connection that the dial has established. From then on input is
// posted to the event loop, which has not processed the result of the dial yet.
func (b *backendConn) attach(conn netpoll.Connection) error {
	b.conn = conn
	_ = conn.SetWriteTimeout(writeTimeout)
	if err := b.initPollerConn(b.node.memory, false, func() { b.node.report(reportClosed, b.connectionEnded) }); err != nil {
		return err
	}
	b.limitReceiveBuffer()
	return conn.SetOnRequest(b.onInput)
}

// dialFinished processes the result of a dial. A new connection is assigned to the attempt that has waited longest.
// If the dial has failed, so does a waiting attempt, unless another connection is expected for it.
func (n *Node) dialFinished(conn *backendConn, err error) {
	ep := conn.endpoint
	ep.pendingDials--
	if err != nil || !conn.conn.IsActive() {
		if conn.state != backendClosed { // it is closed already if the backend has sent input before any request
			conn.setState(backendClosed)
			n.countConnections(-1)
		}
		if conn.conn != nil {
			_ = conn.conn.Close()
		}
		n.failWaiting(ep, err)
		return
	}
	n.releaseConn(conn)
}

// failWaiting fails one waiting attempt because of a failed dial, a health check if one is waiting. It fails none if
// there is an idle connection or a pending dial for each waiting attempt.
func (n *Node) failWaiting(ep *endpoint, err error) {
	waiting := len(ep.waitingAttempts)
	if waiting <= ep.pendingDials+len(ep.idleConns) {
		return
	}
	n.log.Debug("connect failed", "endpoint", ep.address, "err", err)
	failed := ep.waitingAttempts[0]
	if last := ep.waitingAttempts[waiting-1]; last.isHealthCheck {
		failed = last
	}
	n.abandonAttempt(failed, balancer.OutcomeConnectFailed)
}
