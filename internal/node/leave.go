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

// leave has the poller give up the connection, and hands on its descriptor with what was read and not taken yet. By then
// all that was taken has been posted. It returns false where the connection has ended: onClose's f is called as ever.
func (s *socket) leave(to func(file *os.File, rest []byte, err error)) bool {
	s.mu.Lock()
	if s.ended {
		s.mu.Unlock()
		return false
	}
	s.left = to
	conn := s.conn
	s.mu.Unlock()
	behind.Add(1)
	go func() { _ = conn.Close() }() // which waits for the poller
	return true
}

// takeOver is what onClose does for a connection that leaves. Its own descriptor closes after that. Without a file, the
// connection has ended, and rest is all that came.
func (s *socket) takeOver(conn netpoll.Connection) (*os.File, []byte, error) {
	c, ok := conn.(interface{ Fd() int })
	if !ok {
		return nil, nil, errors.New("a connection without a descriptor")
	}
	if err := detach(conn); err != nil {
		return nil, nil, err
	}
	// It is out of the poller's set now, but an event of before may be at hand still. Where the poller itself has ended
	// the connection, it has done with it (and waits for us). The first byte through the poller may come with somebody else's that had
	// overtaken such an event, the second can't.
	ended := s.hup.Load()
	for range 2 {
		if ended {
			break
		}
		if err := thePoller.pass(); err != nil {
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
	stands := stands(conn)
	s.fin = stands == peerFinished
	if ended || stands == peerBroken {
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

// detach takes a connection that is closing out of the poller's set. netpoll does so itself but for one case: where Close comes in the moment in
// which a handler of input has done (onProcess, between its last look at the state and its unlock), the handler's goroutine runs the callbacks
// and takes the connection for one that the poller has ended. With its descriptor duplicated, as here, the system keeps the
// entry: the poller would go on to read what is another reader's, and refuse the descriptor when it comes back (EEXIST). To detach
// twice does no harm.
func detach(conn netpoll.Connection) error {
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

// behind counts what the poller has set off and the rest of the node has not seen to: handlers at work, pieces of input on
// their way to Run's goroutine, connections about to leave.
var behind atomic.Int64

// behindYields bounds how long the poller waits for that.
const behindYields = 200

// ConfigurePoller sets up the poller that nodes of this process share: one, which waits a little for what it has set off.
// It reads whatever is there: left alone, it would take in some MB of a large message before anybody could tell it that
// nobody wants more for now.
func ConfigurePoller(log io.Writer) (err error) {
	configured.Do(func() { err = configurePoller(log) })
	return err
}

// configured is once for each process: the poller is running after that.
var configured sync.Once

func configurePoller(log io.Writer) error {
	return netpoll.Configure(netpoll.Config{PollerNum: 1, LoggerOutput: log, Runner: func(_ context.Context, f func()) {
		behind.Add(1)
		go func() {
			defer behind.Add(-1)
			f()
		}()
		for i := 0; i < behindYields && behind.Load() > 0; i++ {
			runtime.Gosched()
		}
	}})
}

// back returns a connection to the poller. The descriptor belongs to it from here on.
func back(file *os.File) (netpoll.Connection, error) {
	raw, err := file.SyscallConn()
	if err != nil {
		return nil, err
	}
	fd := -1
	if e := raw.Control(func(old uintptr) { fd, err = unix.FcntlInt(old, unix.F_DUPFD_CLOEXEC, 0) }); e != nil {
		err = e
	}
	_ = file.Close()
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

// barrier waits until the poller has done with all events that it had at hand: a byte sent through it comes behind
// them.
type barrier struct {
	mu      sync.Mutex
	in      *os.File
	waiting []chan struct{}
}

// thePoller is the one there is: netpoll keeps one set of pollers for the process, and a node has it keep one.
var thePoller barrier

// passWithin bounds the wait: a poller that takes longer has hung.
const passWithin = 2 * time.Second

func (b *barrier) pass() error {
	through := make(chan struct{})
	b.mu.Lock()
	if b.in == nil {
		if err := b.open(); err != nil {
			b.mu.Unlock()
			return err
		}
	}
	b.waiting = append(b.waiting, through)
	_, err := b.in.Write([]byte{0})
	b.mu.Unlock()
	if err != nil {
		return err
	}
	late := time.NewTimer(passWithin)
	defer late.Stop()
	select {
	case <-through:
		return nil
	case <-late.C:
		return errors.New("the poller does not answer")
	}
}

// open makes the pipe, when it is first needed.
func (b *barrier) open() error {
	var fds [2]int
	if err := unix.Pipe2(fds[:], unix.O_CLOEXEC|unix.O_NONBLOCK); err != nil {
		return fmt.Errorf("pipe: %w", err)
	}
	conn, err := netpoll.NewFDConnection(fds[0])
	if err != nil {
		_, _ = unix.Close(fds[0]), unix.Close(fds[1])
		return err
	}
	b.in = os.NewFile(uintptr(fds[1]), "poller")
	return conn.SetOnRequest(b.seen)
}

// seen lets as many go on as bytes have come through.
func (b *barrier) seen(_ context.Context, conn netpoll.Connection) error {
	n := conn.Reader().Len()
	if err := conn.Reader().Skip(n); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, through := range b.waiting[:n] {
		close(through)
	}
	b.waiting = b.waiting[n:]
	return conn.Reader().Release()
}

// standing is how the other side of a connection stands.
type standing uint8

const (
	peerOpen     standing = iota
	peerFinished          // it has closed its side in order
	peerBroken            // it was reset, or there is no telling
)

// standingBy reads that off the events of poll(2): a reset ends both directions, and says so for as long as the descriptor lives, while
// the end of the other side leaves ours open. The state in TCP_INFO is no proof: beneath a system call layer that is not the
// kernel's own it has been seen to say CLOSE_WAIT for both.
func standingBy(revents int16) standing {
	switch {
	case revents&(unix.POLLHUP|unix.POLLERR|unix.POLLNVAL) != 0:
		return peerBroken
	case revents&unix.POLLRDHUP != 0:
		return peerFinished
	}
	return peerOpen
}

// stands asks the kernel. Whoever asks must hold the descriptor open.
func stands(conn netpoll.Connection) standing {
	c, ok := conn.(interface{ Fd() int })
	if !ok {
		return peerBroken
	}
	fds := []unix.PollFd{{Fd: int32(c.Fd()), Events: unix.POLLIN | unix.POLLRDHUP}}
	for {
		_, err := unix.Poll(fds, 0)
		if err == unix.EINTR {
			continue
		}
		if err != nil {
			return peerBroken
		}
		return standingBy(fds[0].Revents)
	}
}
