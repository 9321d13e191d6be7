package soak

import (
	"fmt"
	"net"
	"os"
	"tulipglade/internal/loopback"
)

// host returns the loopback address on which a node and everything that it connects to listen. No other run uses this
// address, so that no other process can occupy a port between the moment it is found free and its use.
func (r *run) host(node int) string {
	const firstBlock, blocks, hosts = 64, 128, 250
	return fmt.Sprintf("127.%d.%d.%d", firstBlock+r.options.Seed%blocks, 1+os.Getpid()%hosts, 1+node)
}

// listen opens a listener on a free port of a node's loopback address.
func (r *run) listen(node int) (net.Listener, error) { return net.Listen("tcp", r.host(node)+":0") }

// freeAddress returns an address and port of a node's host on which no process listens.
func (r *run) freeAddress(node int) (string, error) {
	addresses, err := loopback.FreeAddresses(r.host(node), 1)
	if err != nil {
		return "", err
	}
	return addresses[0], nil
}
