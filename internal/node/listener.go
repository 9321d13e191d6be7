package node

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// receiveBufferSize is how much of a connection's input the kernel may buffer. The poller reads all of it at once, so
// it also bounds the memory that one connection can take, which otherwise grows to some MB.
const receiveBufferSize = 64 << 10

// limitReceiveBuffer sets the size of a socket's receive buffer.
func limitReceiveBuffer(fd uintptr) error {
	return syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferSize)
}

// Listen opens the listener for the event loop that Node.Serve returns. Shared lets another process listen on the
// same port, as in a hot restart.
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
