package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// The poller reads whatever has come, and cannot be told to wait. So a connection whose input must wait for somebody
// else leaves the poller for a descriptor of its own, which is read by blocking calls, and comes back after that.

// detach has the poller give up the connection, and hands on its descriptor with what was read and not taken yet. By then
// all that was taken has been posted. It returns false where the connection has ended: onClose's f is called as ever.
func (s *socket) detach(onDetached func(file *os.File, rest []byte, err error)) bool {
	s.mu.Lock()
	if s.closed {
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

// pollerBacklog counts what the poller has set off and the rest of the node has not seen to: handlers at work, pieces of input on
// their way to Run's goroutine, connections about to leave.
var pollerBacklog atomic.Int64

// maxPollerYields bounds how long the poller waits for that.
const maxPollerYields = 200

// ConfigurePoller sets up the poller that nodes of this process share: one, which waits a little for what it has set off.
// It reads whatever is there: left alone, it would take in some MB of a large message before anybody could tell it that
// nobody wants more for now.
func ConfigurePoller(log io.Writer) (err error) {
	configurePollerOnce.Do(func() { err = configurePoller(log) })
	return err
}

// configurePollerOnce is once for each process: the poller is running after that.
var configurePollerOnce sync.Once

func configurePoller(log io.Writer) error {
	return netpoll.Configure(netpoll.Config{PollerNum: 1, LoggerOutput: log, Runner: func(_ context.Context, f func()) {
		pollerBacklog.Add(1)
		go func() {
			defer pollerBacklog.Add(-1)
			f()
		}()
		for i := 0; i < maxPollerYields && pollerBacklog.Load() > 0; i++ {
			runtime.Gosched()
		}
	}})
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

// pollerBarrier waits until the poller has done with all events that it had at hand: a byte sent through it comes behind
// them.
type pollerBarrier struct {
	mu      sync.Mutex
	pipe    *os.File
	waiters []chan struct{}
}

// sharedPollerBarrier is the one there is: netpoll keeps one set of pollers for the process, and a node has it keep one.
var sharedPollerBarrier pollerBarrier

// barrierTimeout bounds the wait: a poller that takes longer has hung.
const barrierTimeout = 2 * time.Second

func (b *pollerBarrier) wait() error {
	passed := make(chan struct{})
	b.mu.Lock()
	if b.pipe == nil {
		if err := b.open(); err != nil {
			b.mu.Unlock()
			return err
		}
	}
	b.waiters = append(b.waiters, passed)
	_, err := b.pipe.Write([]byte{0})
	b.mu.Unlock()
	if err != nil {
		return err
	}
	timeout := time.NewTimer(barrierTimeout)
	defer timeout.Stop()
	select {
	case <-passed:
		return nil
	case <-timeout.C:
		return errors.New("the poller does not answer")
	}
}

// open makes the pipe, when it is first needed.
func (b *pollerBarrier) open() error {
	var fds [2]int
	if err := unix.Pipe2(fds[:], unix.O_CLOEXEC|unix.O_NONBLOCK); err != nil {
		return fmt.Errorf("pipe: %w", err)
	}
	conn, err := netpoll.NewFDConnection(fds[0])
	if err != nil {
		_, _ = unix.Close(fds[0]), unix.Close(fds[1])
		return err
	}
	b.pipe = os.NewFile(uintptr(fds[1]), "poller")
	return conn.SetOnRequest(b.onBytes)
}

// onBytes lets as many go on as bytes have come through.
func (b *pollerBarrier) onBytes(_ context.Context, conn netpoll.Connection) error {
	n := conn.Reader().Len()
	if err := conn.Reader().Skip(n); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, passed := range b.waiters[:n] {
		close(passed)
	}
	b.waiters = b.waiters[n:]
	return conn.Reader().Release()
}

// peerState is how the other side of a connection stands.
type peerState uint8

const (
	peerOpen     peerState = iota
	peerFinished           // it has closed its side in order
	peerBroken             // it was reset, or there is no telling
)

// peerStateOf reads that off the events of poll(2): a reset ends both directions, and says so for as long as the descriptor lives, while
// the end of the other side leaves ours open. The state in TCP_INFO is no proof: beneath a system call layer that is not the
// kernel's own it has been seen to say CLOSE_WAIT for both.
func peerStateOf(revents int16) peerState {
	switch {
	case revents&(unix.POLLHUP|unix.POLLERR|unix.POLLNVAL) != 0:
		return peerBroken
	case revents&unix.POLLRDHUP != 0:
		return peerFinished
	}
	return peerOpen
}

// queryPeerState asks the kernel. Whoever asks must hold the descriptor open.
func queryPeerState(conn netpoll.Connection) peerState {
	c, ok := conn.(interface{ Fd() int })
	if !ok {
		return peerBroken
	}
	descriptors := []unix.PollFd{{Fd: int32(c.Fd()), Events: unix.POLLIN | unix.POLLRDHUP}}
	for {
		_, err := unix.Poll(descriptors, 0)
		if err == unix.EINTR {
			continue
		}
		if err != nil {
			return peerBroken
		}
		return peerStateOf(descriptors[0].Revents)
	}
}
