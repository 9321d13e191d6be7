package node

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// receiveBufferSize is the size of the kernel's receive buffer of a connection, in bytes. The poller reads all that the
// kernel has buffered at once, so this also bounds the memory that one connection can use, which would otherwise grow
// to several MB.
const receiveBufferSize = 64 << 10

// limitReceiveBuffer sets the size of a socket's receive buffer.
func limitReceiveBuffer(fd uintptr) error {
	return syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferSize)
}

// Listen opens a listener for the event loop that Node.NewClientEventLoop returns. If shared is true, other processes
// may listen on the same port, as in a hot restart.
func Listen(addr string, shared bool) (netpoll.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if e := raw.Control(func(fd uintptr) {
			if err = limitReceiveBuffer(fd); err == nil && shared {
				err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
			}
		}); e != nil {
			return e
		}
		return err
	}}
	ln, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return netpoll.ConvertListener(ln)
}
