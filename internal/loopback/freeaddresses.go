package loopback

import (
	"fmt"
	"net"
)

// Host is the usual loopback host.
const Host = "127.0.0.1"

// FreeAddresses returns addresses of a loopback host at which nobody listens. Another process may take one before the caller
// listens there, unless the host is the caller's own.
func FreeAddresses(host string, count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
		if err != nil {
			return nil, fmt.Errorf("choose a free address: %w", err)
		}
		defer func() { _ = listener.Close() }() // only after all are chosen, so that they differ
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
