package fake

import (
	"io"
	"net"

	"tulipglade/internal/loopback"
)

// Listen listens on a loopback address and on nothing else.
func Listen(addr string) (net.Listener, error) {
	if err := loopback.Check(addr); err != nil {
		return nil, err
	}
	return net.Listen("tcp4", addr)
}

// FreeAddrs finds loopback addresses that nothing listens on.
func FreeAddrs(count int) ([]string, error) {
	var listeners []net.Listener
	defer func() {
		for _, listener := range listeners {
			closeQuietly(listener)
		}
	}()
	var addrs []string
	for range count {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, listener)
		addrs = append(addrs, listener.Addr().String())
	}
	return addrs, nil
}

// closeQuietly closes a socket that nothing more is expected of: an error of Close changes nothing for its user.
func closeQuietly(c io.Closer) { _ = c.Close() }

// resetConn closes a connection with a reset, as the end of a process does.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // an error means that the connection is closed
	}
	closeQuietly(conn)
}
