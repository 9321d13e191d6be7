package node

import (
	"errors"
	"net"
	"sync/atomic"

	"github.com/cloudwego/netpoll"
)

// GatedListener is a listener that can stop accepting connections without closing its socket, so that another process
// accepts the connections in the socket's queue.
type GatedListener struct {
	netpoll.Listener
	stopped atomic.Bool
}

// errAcceptingStopped is the error of Accept after StopAccepting. Its text must contain "closed": netpoll removes a
// listener from its poller when the text of an error does.
var errAcceptingStopped = errors.New("listener closed: another process accepts its connections")

// Accept implements netpoll.Listener. It fails after StopAccepting.
func (g *GatedListener) Accept() (net.Conn, error) {
	if g.stopped.Load() {
		return nil, errAcceptingStopped
	}
	return g.Listener.Accept()
}

// StopAccepting makes all later calls of Accept fail. The socket stays open.
func (g *GatedListener) StopAccepting() { g.stopped.Store(true) }
