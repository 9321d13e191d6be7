package node

import (
	"errors"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// checkDescriptorsStayOpen calls action many times while other goroutines open and close descriptors. None of theirs
// may be closed under them, as happens when action closes a number twice.
func checkDescriptorsStayOpen(t *testing.T, action func()) {
	t.Helper()
	const repetitions, owners = 5_000, 4
	var done atomic.Bool
	var lost atomic.Int64
	var running sync.WaitGroup
	for range owners {
		running.Go(func() {
			for !done.Load() {
				var pipe [2]int
				if unix.Pipe2(pipe[:], unix.O_CLOEXEC) != nil {
					continue
				}
				for _, fd := range pipe {
					if errors.Is(unix.Close(fd), unix.EBADF) {
						lost.Add(1)
					}
				}
			}
		})
	}
	for range repetitions {
		action()
	}
	done.Store(true)
	running.Wait()
	if n := lost.Load(); n > 0 {
		t.Errorf("%d descriptors were closed by another owner", n)
	}
}

// TestListenerClosesDescriptorOnce guards against a listener that closes its descriptor twice: the second close would
// hit whatever another goroutine has opened under the same number in between.
func TestListenerClosesDescriptorOnce(t *testing.T) {
	checkDescriptorsStayOpen(t, func() {
		listener, err := Listen("127.0.0.1:0", false)
		if err != nil {
			t.Fatal(err)
		}
		_ = listener.Close()
		_ = listener.Close()
	})
}

// TestFailedAttachClosesDescriptorOnce guards against the same with a descriptor that the poller does not take:
// netpoll closes it before it returns the error.
func TestFailedAttachClosesDescriptorOnce(t *testing.T) {
	path := t.TempDir() + "/file" // epoll does not take regular files
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	previous, _ := newPolledSocket(t)
	checkDescriptorsStayOpen(t, func() {
		file, err := os.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := attachToPoller(file, previous.conn); err == nil {
			t.Fatal("a regular file was added to the poller")
		}
	})
}

// newPolledSocket returns a connection of the poller, and its peer.
func newPolledSocket(t *testing.T) (*socket, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	peer, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = peer.Close() })
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	file, err := accepted.(*net.TCPConn).File()
	_ = accepted.Close()
	if err != nil {
		t.Fatal(err)
	}
	conn, err := attachToPoller(file, addressedConn{local: accepted.LocalAddr(), remote: accepted.RemoteAddr()})
	if err != nil {
		t.Fatal(err)
	}
	s := &socket{conn: conn}
	if err := s.initPollerConn(newMemoryAccount(0), false, func() {}); err != nil {
		t.Fatal(err)
	}
	return s, peer
}

// addressedConn is a connection of which only the addresses are used.
type addressedConn struct {
	netpoll.Connection
	local, remote net.Addr
}

func (c addressedConn) LocalAddr() net.Addr { return c.local }

func (c addressedConn) RemoteAddr() net.Addr { return c.remote }

// TestListenerUsesNoNumberAfterClose guards against the use of a number that belongs to another owner after the close.
func TestListenerUsesNoNumberAfterClose(t *testing.T) {
	listener, err := Listen("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	number := listener.Fd()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	reused, err := openUnderNumber(number)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = unix.Close(reused) }()
	if err := listener.Close(); err != nil {
		t.Error(err)
	}
	if _, err := unix.FcntlInt(uintptr(reused), unix.F_GETFD, 0); err != nil {
		t.Errorf("the descriptor that was opened under the number of the listener: %v", err)
	}
	if conn, err := listener.Accept(); conn != nil || err == nil || !strings.Contains(err.Error(), "closed") {
		t.Errorf("Accept returned %v, %v", conn, err)
	}
	if fd, err := listener.Duplicate(); err == nil {
		_ = unix.Close(fd)
		t.Error("a closed listener was duplicated")
	}
	if fd := listener.Fd(); fd != closedDescriptor {
		t.Errorf("Fd returned %d", fd)
	}
}

// openUnderNumber opens a TCP socket under a number that has become free. The caller closes it.
func openUnderNumber(number int) (int, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil || fd == number {
		return fd, err
	}
	defer func() { _ = unix.Close(fd) }()
	return number, unix.Dup3(fd, number, unix.O_CLOEXEC)
}

// TestAbortedAnswerLeavesReusedNumberAlone guards against an aborted answer that sets another connection to be reset:
// the client's connection has ended, and its number has been given out again.
func TestAbortedAnswerLeavesReusedNumberAlone(t *testing.T) {
	n, addr := startNode(t, nil, nil)
	client := dialNode(t, addr)
	client.exchange(readyRequest)
	runOnLoop(n, func() { // the end of the connection is reported only after this callback
		conn := onlyClient(n)
		number := conn.conn.(fdConn).Fd()
		_ = client.Conn.(*net.TCPConn).SetLinger(0)
		_ = client.Close()
		for end := time.Now().Add(10 * time.Second); descriptorOpen(number) && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		reused, err := openUnderNumber(number)
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = unix.Close(reused) }()
		conn.abortAnswer(true)
		linger, err := unix.GetsockoptInt(reused, unix.SOL_SOCKET, unix.SO_LINGER)
		if err != nil || linger != 0 {
			t.Errorf("linger of another connection: %d, %v", linger, err)
		}
	})
}

// descriptorOpen reports whether a number belongs to an open descriptor.
func descriptorOpen(number int) bool {
	_, err := unix.FcntlInt(uintptr(number), unix.F_GETFD, 0)
	return err == nil
}
