// Package loopback refuses addresses off the loopback: stand-ins and agents prove nothing about who asks, and must never be reached, nor
// reach out, over a network.
package loopback

import (
	"errors"
	"fmt"
	"net"
)

// ErrNot is an address that is not of the loopback.
var ErrNot = errors.New("not a loopback address")

// Check tells whether host:port is one.
func Check(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%q: %w", addr, err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%q: %w", addr, ErrNot)
	}
	return nil
}
