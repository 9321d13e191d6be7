package node

import "net"

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
