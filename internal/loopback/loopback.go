// Package loopback rejects addresses off the loopback interface: fakes and agents do not authenticate their callers, and
// must never be reached, nor connect, over a network.
package loopback

import (
	"errors"
	"fmt"
	"net"
)

// ErrNotLoopback is an address off the loopback interface.
var ErrNotLoopback = errors.New("not a loopback address")

// Check returns an error, ErrNot or one of the form, unless address is host:port on the loopback interface.
func Check(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("%q: %w", address, err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%q: %w", address, ErrNotLoopback)
	}
	return nil
}
