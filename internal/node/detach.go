package node

import (
	"errors"
	"fmt"
	"os"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// detach removes the connection from the poller and passes on its descriptor, with the input that was read and not
// posted. All other input has been posted by then. If the connection has ended, the callback of onClose is called as
// usual.
func (s *socket) detach(onDetached func(file *os.File, rest []byte, err error)) {
	s.mu.Lock()
	if s.transportClosed {
		s.mu.Unlock()
		return
	}
	s.onDetached = onDetached
	s.limiter.setStopped(true) // what is still to come is for the descriptor's reader
	conn := s.conn
	s.mu.Unlock()
	pollerBacklog.Add(1)
	go func() { _ = conn.Close() }() // waits for the poller
}

// duplicateDescriptor duplicates the descriptor of a connection that is being detached, whose own one closes after that. A
// nil file means that the connection has ended, and that rest is all its input.
func (s *socket) duplicateDescriptor(conn netpoll.Connection) (*os.File, []byte, error) {
	c, ok := conn.(fdConn)
	if !ok {
		return nil, nil, errors.New("a connection without a descriptor")
	}
	if err := removeFromPollSet(conn); err != nil {
		return nil, nil, err
	}
	// It is out of the poller's set now, but an earlier event may still be due. If the poller itself has closed the
	// connection, it has finished with it and waits for this callback. The first byte through the poller may arrive
	// together with an earlier caller's that had overtaken such an event; the second can't.
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
	// The poller may have seen a reset, which the descriptor then does not show any more: it would look like an
	// orderly end.
	peer := queryPeerState(conn)
	s.peerClosedCleanly = peer == peerFinished
	if closedByPoller || peer == peerBroken {
		return nil, rest, nil
	}
	fd, err := unix.FcntlInt(uintptr(c.Fd()), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return nil, nil, fmt.Errorf("descriptor: %w", err)
	}
	return os.NewFile(uintptr(fd), "connection"), rest, nil
}

// removeFromPollSet removes a connection that is being closed from the poller's set. netpoll does so itself except in
// one case: if Close is called at the moment in which an input handler finishes (in onProcess, between its last check
// of the state and its unlock), the handler's goroutine runs the callbacks and believes that the poller has closed
// the connection. As the descriptor is duplicated here, the kernel would keep the entry: the poller would go on to
// read input that belongs to another reader, and reject the descriptor when it comes back (EEXIST). Removing it twice
// does no harm.
func removeFromPollSet(conn netpoll.Connection) error {
	operator, err := operatorOf(conn)
	if err != nil {
		return err
	}
	return operator.Control(netpoll.PollDetach)
}

// attachToPoller returns a connection to the poller, which takes ownership of the descriptor.
func attachToPoller(descriptor *os.File) (netpoll.Connection, error) {
	raw, err := descriptor.SyscallConn()
	if err != nil {
		return nil, err
	}
	fd := -1
	if e := raw.Control(func(old uintptr) { fd, err = unix.FcntlInt(old, unix.F_DUPFD_CLOEXEC, 0) }); e != nil {
		err = e
	}
	_ = descriptor.Close()
	if err != nil {
		return nil, fmt.Errorf("descriptor: %w", err)
	}
	conn, err := netpoll.NewFDConnection(fd)
	if err != nil {
		_ = unix.Close(fd)
		return nil, err
	}
	return conn, conn.SetWriteTimeout(writeTimeout)
}
