package fake

import (
	"io"
	"net"

	"tulipglade/internal/loopback"
)

// Listen listens on a loopback address, and returns an error for any other address.
func Listen(addr string) (net.Listener, error) {
	if err := loopback.Check(addr); err != nil {
		return nil, err
	}
	return net.Listen("tcp4", addr)
}

// closeQuietly closes a socket and ignores the error, as the caller does not use the socket any more.
func closeQuietly(c io.Closer) { _ = c.Close() }

// resetConn closes a connection with a TCP reset, as the end of a process does.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // an error means that the connection is closed
	}
	closeQuietly(conn)
}
