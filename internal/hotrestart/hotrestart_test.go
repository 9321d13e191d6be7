package hotrestart

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/sys/unix"
)

// fakePredecessor implements Predecessor with a fixed body and signals each call on a channel.
type fakePredecessor struct {
	body            []byte
	err             error
	listener        net.Listener
	serving, exited chan struct{}
}

func (p *fakePredecessor) ExportHandoff() ([]byte, int, error) {
	if p.err != nil {
		return nil, -1, p.err
	}
	fd, err := -1, error(nil)
	raw, _ := p.listener.(*net.TCPListener).SyscallConn()
	_ = raw.Control(func(old uintptr) { fd, err = unix.Dup(int(old)) })
	return p.body, fd, err
}

// isBlocking reports whether the socket of a listener is in blocking mode. The mode applies to all processes that share
// the socket.
func isBlocking(ln net.Listener) (blocking bool) {
	raw, _ := ln.(*net.TCPListener).SyscallConn()
	_ = raw.Control(func(fd uintptr) {
		flags, err := unix.FcntlInt(fd, unix.F_GETFL, 0)
		blocking = err != nil || flags&unix.O_NONBLOCK == 0
	})
	return blocking
}

func (p *fakePredecessor) SuccessorServing() { p.serving <- struct{}{} }
func (p *fakePredecessor) SuccessorExited()  { p.exited <- struct{}{} }

func newFakePredecessor(t *testing.T) *fakePredecessor {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return &fakePredecessor{
		body:     bytes.Repeat([]byte("what is known "), 20_000),
		listener: ln,
		serving:  make(chan struct{}, 9),
		exited:   make(chan struct{}, 9),
	}
}

func testPath(t *testing.T) string {
	t.Helper()
	path, err := SocketPath(t.TempDir(), "n3", "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	return path
}

func awaitSignal(t *testing.T, signal chan struct{}, event string) {
	t.Helper()
	select {
	case <-signal:
	case <-time.After(10 * time.Second):
		t.Fatal("did not happen: " + event)
	}
}

// A successor receives the body and the listening socket, including the connections in its accept queue, and each
// process detects the exit of the other. With two hot restarts in a row, the second reaches the newest process. Guards
// against a handoff that sets the shared socket to blocking mode: an accept on an empty queue would then block the
// poller.
func TestHandoffPassesListenerAndBody(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	first, path := newFakePredecessor(t), testPath(t)
	if err := os.WriteFile(path, nil, 0o600); err != nil { // as a file left by an earlier process
		t.Fatal(err)
	}
	firstOffer, err := NewOffer(path, first)
	if err != nil {
		t.Fatal(err)
	}
	client, err := net.Dial("tcp", first.listener.Addr().String()) // stays in the accept queue
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	handoff, err := Receive(path)
	if err != nil || !bytes.Equal(handoff.Body, first.body) {
		t.Fatal(err, len(handoff.Body))
	}
	if isBlocking(first.listener) { // an accept on an empty queue would block the poller of either process
		t.Error("the handoff has set the socket to blocking mode")
	}
	file := os.NewFile(uintptr(handoff.ListenerFD), "listener")
	listener, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	_ = file.Close()
	exited := make(chan struct{}, 1)
	handoff.ReportServing(func() { exited <- struct{}{} })
	awaitSignal(t, first.serving, "the predecessor is told that the successor serves")
	second := newFakePredecessor(t)
	secondOffer, err := NewOffer(path, second)
	if err != nil {
		t.Fatal(err)
	}
	_ = first.listener.Close()
	if err := firstOffer.Close(); err != nil {
		t.Error(err)
	}
	awaitSignal(t, exited, "the successor detects the exit of the predecessor")
	awaitSignal(t, first.exited, "the predecessor detects the exit of the successor")
	conn, err := listener.Accept() // the connection from before the handoff
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
	_ = listener.Close()
	third, err := Receive(path)
	if err != nil {
		t.Fatal(err)
	}
	_ = unix.Close(third.ListenerFD)
	_ = third.Close() // the successor exits before it serves
	awaitSignal(t, second.exited, "a predecessor detects the exit of a successor that has never served")
	_ = secondOffer.Close()
}

// startRelay listens at path as a proxy between a successor and the predecessor at target. It forwards the successor's
// bytes unchanged, and the first maxBytes bytes of the predecessor after modify has changed them. It then closes the
// connections.
func startRelay(t *testing.T, target, path string, maxBytes int, modify func([]byte)) {
	t.Helper()
	listener, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		defer func() { _ = listener.Close() }()
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		predecessor, err := net.Dial("unix", target)
		if err != nil {
			return
		}
		defer func() { _ = predecessor.Close() }()
		go func() { _, _ = io.Copy(predecessor, conn); _ = predecessor.Close() }()
		buf := make([]byte, 1<<16)
		control := make([]byte, 64)
		for relayed := 0; relayed < maxBytes; {
			n, controlLength, _, _, err := predecessor.(*net.UnixConn).ReadMsgUnix(buf, control)
			if err != nil || n == 0 {
				return
			}
			n = min(n, maxBytes-relayed)
			modify(buf[:n])
			if _, _, err := conn.(*net.UnixConn).WriteMsgUnix(buf[:n], control[:controlLength], nil); err != nil {
				return
			}
			relayed += n
		}
	}()
}

// A handoff that is truncated at any byte, corrupted, of another version or never answered returns an error in time,
// and the predecessor is told that the successor has gone. An invalid path, and a predecessor without a state, are
// errors too.
func TestFailedHandoffYieldsNothing(t *testing.T) {
	predecessor := newFakePredecessor(t)
	predecessor.body = []byte("short")
	path := testPath(t)
	offer, err := NewOffer(path, predecessor)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = offer.Close() }()
	dir, attempts := t.TempDir(), 0
	attempt := func(name string, maxBytes int, modify func([]byte)) {
		attempts++
		relayPath := filepath.Join(dir, strconv.Itoa(attempts)) // new each time: closing a listener removes its file
		startRelay(t, path, relayPath, maxBytes, modify)
		if got, err := Receive(relayPath); err == nil {
			t.Errorf("%s: received %q", name, got.Body)
		}
		awaitSignal(t, predecessor.exited, "the predecessor detects that the handoff has failed")
	}
	for cut := 1; cut < headerSize+len(predecessor.body); cut++ {
		attempt("cut", cut, func([]byte) {})
	}
	attempt("damaged", 1<<20, func(message []byte) { message[len(message)-1]++ })
	attempt("another version", 1<<20, func(message []byte) { message[0]++ })
	relayPath := filepath.Join(dir, "silent.sock")
	silent, err := net.Listen("unix", relayPath)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	if _, err := receive(relayPath, 50*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a process that does not answer: %v, want a timeout", err)
	}
	if _, err := Receive(filepath.Join(dir, "nobody.sock")); err == nil {
		t.Error("no process listens: received a handoff")
	}
	predecessor.err = errors.New("no")
	if _, err := Receive(path); err == nil {
		t.Error("no state to export: received a handoff")
	}
	if _, err := SocketPath("", "n", "l"); err == nil {
		t.Error("no directory: no error")
	}
	if _, err := SocketPath("/"+strings.Repeat("x", 100), "n", "l"); err == nil {
		t.Error("a path that is too long: no error")
	}
	if _, err := NewOffer("/nowhere/at/all", predecessor); err == nil {
		t.Error("a directory that does not exist: no error")
	}
}
