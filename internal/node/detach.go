package node

import (
	"errors"
	"fmt"
	"os"
	"reflect"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// detach has the poller give up the connection, and hands on its descriptor with what was read and not taken yet. By then
// all that was taken has been posted. It returns false where the connection has ended: onClose's f is called as ever.
func (s *socket) detach(onDetached func(file *os.File, rest []byte, err error)) bool {
	s.mu.Lock()
	if s.transportClosed {
		s.mu.Unlock()
		return false
	}
	s.onDetached = onDetached
	conn := s.conn
	s.mu.Unlock()
	pollerBacklog.Add(1)
	go func() { _ = conn.Close() }() // which waits for the poller
	return true
}

// takeDescriptor is what onClose does for a connection that leaves. Its own descriptor closes after that. Without a file, the
// connection has ended, and rest is all that came.
func (s *socket) takeDescriptor(conn netpoll.Connection) (*os.File, []byte, error) {
	c, ok := conn.(interface{ Fd() int })
	if !ok {
		return nil, nil, errors.New("a connection without a descriptor")
	}
	if err := removeFromPollSet(conn); err != nil {
		return nil, nil, err
	}
	// It is out of the poller's set now, but an event of before may be at hand still. Where the poller itself has ended
	// the connection, it has done with it (and waits for us). The first byte through the poller may come with somebody else's that had
	// overtaken such an event, the second can't.
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
	// The poller may have met a reset, of which the descriptor then says no more: it would look like an end in order.
	peer := queryPeerState(conn)
	s.peerClosedInOrder = peer == peerFinished
	if closedByPoller || peer == peerBroken {
		return nil, rest, nil
	}
	fd, err := unix.FcntlInt(uintptr(c.Fd()), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return nil, nil, fmt.Errorf("descriptor: %w", err)
	}
	return os.NewFile(uintptr(fd), "connection"), rest, nil
}

// errNoOperator is a connection of netpoll's in another form than this package knows.
var errNoOperator = errors.New("netpoll: a connection without an operator")

// removeFromPollSet takes a connection that is closing out of the poller's set. netpoll does so itself but for one case: where Close comes in the moment in
// which a handler of input has done (onProcess, between its last look at the state and its unlock), the handler's goroutine runs the callbacks
// and takes the connection for one that the poller has ended. With its descriptor duplicated, as here, the system keeps the
// entry: the poller would go on to read what is another reader's, and refuse the descriptor when it comes back (EEXIST). To detach
// twice does no harm.
func removeFromPollSet(conn netpoll.Connection) error {
	v := reflect.ValueOf(conn)
	if v.Kind() != reflect.Pointer || v.Elem().Kind() != reflect.Struct {
		return errNoOperator
	}
	field := v.Elem().FieldByName("operator")
	if !field.IsValid() || field.Type() != reflect.TypeFor[*netpoll.FDOperator]() || field.IsNil() {
		return errNoOperator
	}
	return (*netpoll.FDOperator)(field.UnsafePointer()).Control(netpoll.PollDetach)
}

// attachToPoller returns a connection to the poller. The descriptor belongs to it from here on.
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
