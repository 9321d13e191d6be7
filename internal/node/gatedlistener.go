package node

import (
	"errors"
	"net"
	"sync/atomic"

	"github.com/cloudwego/netpoll"
)

// GatedListener is a listener that can stop accepting while its queue is kept, so that another process accepts from
// it.
type GatedListener struct {
	netpoll.Listener
	stopped atomic.Bool
}

// errAcceptingStopped makes netpoll remove the listener from its poller, which it does for an error that says
// "closed".
var errAcceptingStopped = errors.New("listener closed: another process accepts")

// Accept implements netpoll.Listener.
func (g *GatedListener) Accept() (net.Conn, error) {
	if g.stopped.Load() {
		return nil, errAcceptingStopped
	}
	return g.Listener.Accept()
}

// StopAccepting makes Accept fail from now on.
func (g *GatedListener) StopAccepting() { g.stopped.Store(true) }
