// Package loopback rejects addresses that are not on the loopback interface. The fakes and the agents do not
// authenticate their callers, so they must neither be reachable nor connect over a network.
package loopback

import (
	"errors"
	"fmt"
	"net"
)

// ErrNotLoopback is returned for an address that is not on the loopback interface.
var ErrNotLoopback = errors.New("not a loopback address")

// Check returns nil if address is host:port with an IP address of the loopback interface as its host. Otherwise it
// returns an error: ErrNotLoopback, or that of net.SplitHostPort if the address does not have this form.
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
