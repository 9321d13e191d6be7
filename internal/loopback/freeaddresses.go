package loopback

import (
	"fmt"
	"net"
)

// Host is the usual loopback host.
const Host = "127.0.0.1"

// FreeAddresses returns count different addresses of a loopback host at which no process listens. Another process may
// use one of them before the caller listens there, unless no one but the caller uses the host.
func FreeAddresses(host string, count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
		if err != nil {
			return nil, fmt.Errorf("choose a free address: %w", err)
		}
		defer func() { _ = listener.Close() }() // kept open until all are chosen, so that the addresses differ
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
