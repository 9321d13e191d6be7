package node

import (
	"errors"
	"net"
	"sync/atomic"

	"github.com/cloudwego/netpoll"
)

// GatedListener is a listener that can stop accepting while its queue stays: another process accepts from it.
type GatedListener struct {
	netpoll.Listener
	stopped atomic.Bool
}

// errAcceptingStopped has netpoll take the listener out of its poller: it goes by that word.
var errAcceptingStopped = errors.New("listener closed: another process accepts")

// Accept is netpoll's.
func (g *GatedListener) Accept() (net.Conn, error) {
	if g.stopped.Load() {
		return nil, errAcceptingStopped
	}
	return g.Listener.Accept()
}

// StopAccepting ends accepting.
func (g *GatedListener) StopAccepting() { g.stopped.Store(true) }
