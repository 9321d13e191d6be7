package soak

import (
	"fmt"
	"net"
	"os"
)

// host returns the loopback address that a node and everything that it connects to listen at. No other run uses it, so that a port which is
// free for a moment is not taken by somebody else meanwhile.
func (r *run) host(node int) string {
	const firstBlock, blocks, hosts = 64, 128, 250
	return fmt.Sprintf("127.%d.%d.%d", firstBlock+r.options.Seed%blocks, 1+os.Getpid()%hosts, 1+node)
}

// listen listens at a free port of a node's host.
func (r *run) listen(node int) (net.Listener, error) { return net.Listen("tcp", r.host(node)+":0") }

// freeAddress returns an address of a node's host at which nobody listens.
func (r *run) freeAddress(node int) (string, error) {
	listener, err := r.listen(node)
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }() // nothing has connected to it
	return listener.Addr().String(), nil
}
