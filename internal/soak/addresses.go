package soak

import (
	"fmt"
	"net"
	"os"
	"tulipglade/internal/loopback"
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
	addresses, err := loopback.FreeAddresses(r.host(node), 1)
	if err != nil {
		return "", err
	}
	return addresses[0], nil
}
