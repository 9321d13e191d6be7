package node

import (
	"errors"
	"fmt"
	"os"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// detach removes the connection from the poller and calls onDetached with a duplicate of its descriptor and the input
// that the poller has read but not posted to the event loop. All other input has been posted by then. If the
// connection has already ended, the callback of onClosed, which was given to initPollerConn, is called as usual
// instead.
func (s *socket) detach(onDetached func(file *os.File, rest []byte, err error)) {
	s.mu.Lock()
	if s.transportClosed {
		s.mu.Unlock()
		return
	}
	s.onDetached = onDetached
	s.limiter.setStopped(true) // later input is read through the descriptor
	conn := s.conn
	s.mu.Unlock()
	pollerBacklog.Add(1)
	go func() { _ = conn.Close() }() // on a goroutine, as it waits for the poller
}

// duplicateDescriptor duplicates the descriptor of a connection that is being detached, because netpoll closes its
// own descriptor after that. It also returns the input that has not been posted. A nil file means that the connection
// has ended, and that the returned input is all that remains.
func (s *socket) duplicateDescriptor(conn netpoll.Connection) (*os.File, []byte, error) {
	c, ok := conn.(fdConn)
	if !ok {
		return nil, nil, errors.New("netpoll connection has no file descriptor")
	}
	if err := removeFromPollSet(conn); err != nil {
		return nil, nil, err
	}
	// The connection is out of the poller's set now, but the poller may not have processed an earlier event of it.
	// If the poller itself has closed the connection, it has no such event left and waits for this callback. Otherwise
	// wait for the barrier, twice: its byte may reach the poller together with an earlier caller's byte that had
	// overtaken such an event; the byte of the second wait can't.
	closedByPoller := s.closedByPoller.Load()
	for range 2 {
		if closedByPoller {
			break
		}
		if err := sharedPollerBarrier.wait(); err != nil {
			return nil, nil, err
		}
	}
	var rest []byte
	if n := conn.Reader().Len(); n > 0 {
		p, err := conn.Reader().Next(n)
		if err != nil {
			return nil, nil, err
		}
		rest = append(rest, p...)
	}
	// The poller may have noticed a reset that the duplicate will not show any more: to its reader the connection would
	// seem to have ended in order.
	peer := queryPeerState(conn)
	s.peerClosedCleanly = peer == peerFinished
	if closedByPoller || peer == peerBroken {
		return nil, rest, nil
	}
	fd, err := unix.FcntlInt(uintptr(c.Fd()), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return nil, nil, fmt.Errorf("duplicate descriptor: %w", err)
	}
	return os.NewFile(uintptr(fd), "connection"), rest, nil
}

// removeFromPollSet removes a connection that is being closed from the poller's set. netpoll does that itself except
// in one case: if Close is called at the moment in which an input handler finishes (in onProcess, between its last
// check of the state and its unlock), the handler's goroutine runs the callbacks and assumes that the poller has
// closed the connection. Since the descriptor is duplicated here, the kernel would keep the entry: the poller would
// continue to read input that belongs to another reader, and would reject the descriptor (EEXIST) when it is attached
// again. Removing it twice does no harm.
func removeFromPollSet(conn netpoll.Connection) error {
	operator, err := operatorOf(conn)
	if err != nil {
		return err
	}
	return operator.Control(netpoll.PollDetach)
}

// attachToPoller returns a detached connection to the poller. It closes the descriptor; the poller's new connection
// owns a duplicate of it, and has the addresses of previous, the poller's connection before the detachment.
func attachToPoller(descriptor *os.File, previous netpoll.Connection) (netpoll.Connection, error) {
	fd, err := duplicateAndClose(descriptor)
	if err != nil {
		return nil, err
	}
	conn, err := netpoll.NewFDConnection(fd)
	if err != nil {
		return nil, err // netpoll has closed the descriptor
	}
	if err := setAddresses(conn, previous.LocalAddr(), previous.RemoteAddr()); err != nil {
		_ = conn.Close() // the error above is returned
		return nil, err
	}
	return conn, conn.SetWriteTimeout(writeTimeout)
}

// duplicateAndClose returns the number of a duplicate of a descriptor, and closes the original.
func duplicateAndClose(descriptor *os.File) (duplicate int, err error) {
	raw, err := descriptor.SyscallConn()
	if err != nil {
		return 0, err
	}
	if e := raw.Control(func(fd uintptr) { duplicate, err = unix.FcntlInt(fd, unix.F_DUPFD_CLOEXEC, 0) }); e != nil {
		err = e
	}
	_ = descriptor.Close()
	if err != nil {
		return 0, fmt.Errorf("duplicate descriptor: %w", err)
	}
	return duplicate, nil
}
