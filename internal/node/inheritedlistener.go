package node

import (
	"errors"
	"net"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// inheritedListener is a listener whose socket another process has opened and may still use. netpoll's own listener is
// not used, because it would make the socket blocking for a moment, for both processes: an accept that found the queue
// empty at that moment would block the poller, and with it all connections.
type inheritedListener struct {
	descriptor int
	address    net.Addr
}

// InheritListener returns a listener for the descriptor of a listening TCP socket. Unless there is an error, the
// listener owns the descriptor.
func InheritListener(fd int) (netpoll.Listener, error) {
	name, err := unix.Getsockname(fd)
	if err != nil {
		return nil, err
	}
	addr, ok := tcpAddr(name)
	if !ok {
		return nil, errors.New("the inherited listener is not a TCP socket")
	}
	return &inheritedListener{fd, addr}, unix.SetNonblock(fd, true)
}

// tcpAddr converts the address of a TCP socket. It reports false for any other address.
func tcpAddr(address unix.Sockaddr) (*net.TCPAddr, bool) {
	switch socketAddress := address.(type) {
	case *unix.SockaddrInet4:
		return &net.TCPAddr{IP: socketAddress.Addr[:], Port: socketAddress.Port}, true
	case *unix.SockaddrInet6:
		return &net.TCPAddr{IP: socketAddress.Addr[:], Port: socketAddress.Port}, true
	}
	return nil, false
}

// Accept implements netpoll.Listener. It returns neither a connection nor an error if no connection is waiting.
func (l *inheritedListener) Accept() (net.Conn, error) {
	fd, from, err := unix.Accept(l.descriptor)
	switch err {
	case nil:
	case unix.EAGAIN, unix.EINTR, unix.ECONNABORTED:
		return nil, nil
	default:
		return nil, err
	}
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c := &acceptedConn{descriptor: fd, local: l.address, remote: &net.TCPAddr{}}
	if remote, ok := tcpAddr(from); ok {
		c.remote = remote
	}
	return c, nil
}

// Close implements net.Listener.
func (l *inheritedListener) Close() error { return unix.Close(l.descriptor) }

// Addr implements net.Listener.
func (l *inheritedListener) Addr() net.Addr { return l.address }

// Fd implements netpoll.Listener.
func (l *inheritedListener) Fd() int { return l.descriptor }

// acceptedConn is an accepted connection. It has only the methods that netpoll needs to create its own connection from
// the descriptor.
type acceptedConn struct {
	net.Conn
	descriptor    int
	local, remote net.Addr
}

// Fd implements netpoll.Conn.
func (c *acceptedConn) Fd() int { return c.descriptor }

// LocalAddr implements net.Conn.
func (c *acceptedConn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *acceptedConn) RemoteAddr() net.Addr { return c.remote }
