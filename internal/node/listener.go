package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// receiveBufferSize is the size of the kernel's receive buffer of a connection, in bytes. The poller reads all that the
// kernel has buffered at once, so this also bounds the memory that one connection can use, which would otherwise grow
// to several MB.
const receiveBufferSize = 64 << 10

// limitReceiveBuffer sets the size of a socket's receive buffer.
func limitReceiveBuffer(fd int) error {
	return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferSize)
}

// closedDescriptor is the number that a closed listener has in place of its descriptor. System calls reject it.
const closedDescriptor = -1

// The errors of Accept. netpoll removes a listener from its poller when the text of an error contains "closed".
var (
	errAcceptingStopped = errors.New("listener closed: another process accepts its connections")
	errListenerClosed   = fmt.Errorf("listener closed: %w", net.ErrClosed)
)

// Listener is a listening TCP socket for the event loop that Node.NewClientEventLoop returns. It owns its descriptor
// and closes it exactly once: netpoll's own listener closes its descriptor twice, and so closes what another goroutine
// has opened under the same number meanwhile. netpoll's listener also makes an inherited socket blocking for a moment,
// for all processes that share it.
type Listener struct {
	address net.Addr

	mutex            sync.Mutex
	descriptor       int // closedDescriptor after Close
	acceptingStopped bool
}

// Listen opens a listener. If shared is true, other processes may listen on the same port, as in a hot restart.
func Listen(addr string, shared bool) (*Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if e := raw.Control(func(fd uintptr) {
			if err = limitReceiveBuffer(int(fd)); err == nil && shared {
				err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
			}
		}); e != nil {
			return e
		}
		return err
	}}
	listener, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	defer func() { _ = listener.Close() }() // the result owns a duplicate
	var fd int
	if raw, e := listener.(*net.TCPListener).SyscallConn(); e != nil {
		err = e
	} else if e := raw.Control(func(original uintptr) {
		fd, err = unix.FcntlInt(original, unix.F_DUPFD_CLOEXEC, 0)
	}); e != nil {
		err = e
	}
	if err != nil {
		return nil, fmt.Errorf("listen: duplicate descriptor: %w", err)
	}
	return &Listener{descriptor: fd, address: listener.Addr()}, nil
}

// InheritListener returns a listener for the descriptor of a listening TCP socket, which another process has opened and
// may still use. Unless there is an error, the listener owns the descriptor.
func InheritListener(fd int) (*Listener, error) {
	name, err := unix.Getsockname(fd)
	if err != nil {
		return nil, err
	}
	addr, ok := tcpAddr(name)
	if !ok {
		return nil, errors.New("the inherited listener is not a TCP socket")
	}
	if err := unix.SetNonblock(fd, true); err != nil {
		return nil, err
	}
	return &Listener{descriptor: fd, address: addr}, nil
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

// Accept implements netpoll.Listener. It returns neither a connection nor an error if no connection is waiting. It
// fails after StopAccepting and after Close.
func (l *Listener) Accept() (net.Conn, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case l.descriptor == closedDescriptor:
		return nil, errListenerClosed
	case l.acceptingStopped:
		return nil, errAcceptingStopped
	}
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

// StopAccepting makes all later calls of Accept fail. The socket stays open, so that another process accepts the
// connections in its queue.
func (l *Listener) StopAccepting() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.acceptingStopped = true
}

// Duplicate returns a duplicate of the descriptor, which the caller must close.
func (l *Listener) Duplicate() (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.descriptor == closedDescriptor {
		return closedDescriptor, errListenerClosed
	}
	return unix.FcntlInt(uintptr(l.descriptor), unix.F_DUPFD_CLOEXEC, 0)
}

// Close implements net.Listener. Only the first call has an effect. The event loop must have been shut down: otherwise
// the poller keeps the number of the descriptor, and removes what is opened under it later.
func (l *Listener) Close() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.descriptor == closedDescriptor {
		return nil
	}
	err := unix.Close(l.descriptor)
	l.descriptor = closedDescriptor
	return err
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.address }

// Fd implements netpoll.Listener. It returns closedDescriptor after Close.
func (l *Listener) Fd() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.descriptor
}
