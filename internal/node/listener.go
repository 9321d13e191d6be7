package node

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// receiveBufferSize is what the system may hold of a connection's input. The poller reads whatever is there at once, so
// this also bounds the memory that one connection can take: without it that grows to some MB.
const receiveBufferSize = 64 << 10

func limitReceiveBuffer(fd uintptr) error {
	return syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferSize)
}

// Listen opens the listener that Serve's event loop is for. Shared lets another process listen there too, as in an
// upgrade.
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
