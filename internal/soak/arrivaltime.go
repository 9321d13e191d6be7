package soak

import (
	"context"
	"net"
	"net/http"
	"time"

	"golang.org/x/sys/unix"
)

// Records are made by goroutines of this process, which may run long after the event: a request passes several of them
// before it is recorded, and each may wait for a processor. The kernel knows when the last data has arrived on a
// connection.

// connContextKey is the key of a server's connection in the context of its requests.
type connContextKey struct{}

// withConn is the ConnContext of the servers of backends.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, conn)
}

// kernelTick is the longest interval at which a Linux kernel advances the clock that dates received data.
const kernelTick = 10 * time.Millisecond

// dataAge returns the least time since the kernel received the last data on a connection, or 0 if the kernel cannot
// tell.
func dataAge(conn net.Conn) (age time.Duration) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) { // fails only on closed connections
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			age = max(time.Duration(info.Last_data_recv)*time.Millisecond-kernelTick, 0)
		}
	})
	return age
}

// requestAge returns the least time since the kernel received the last data of a request so far.
func requestAge(r *http.Request) time.Duration {
	conn, _ := r.Context().Value(connContextKey{}).(net.Conn)
	return dataAge(conn)
}
