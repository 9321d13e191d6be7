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

// older is a process that gives.
type older struct {
	body          []byte
	err           error
	ln            net.Listener
	serving, gone chan struct{}
}

func (o *older) State() ([]byte, int, error) {
	if o.err != nil {
		return nil, -1, o.err
	}
	fd, err := -1, error(nil)
	raw, _ := o.ln.(*net.TCPListener).SyscallConn()
	_ = raw.Control(func(old uintptr) { fd, err = unix.Dup(int(old)) })
	return o.body, fd, err
}

// blocking tells whether a listener's socket is, for all who have it.
func blocking(ln net.Listener) (is bool) {
	raw, _ := ln.(*net.TCPListener).SyscallConn()
	_ = raw.Control(func(fd uintptr) {
		flags, err := unix.FcntlInt(fd, unix.F_GETFL, 0)
		is = err != nil || flags&unix.O_NONBLOCK == 0
	})
	return is
}
func (o *older) SuccessorServing() { o.serving <- struct{}{} }
func (o *older) SuccessorExited()  { o.gone <- struct{}{} }

func newOlder(t *testing.T) *older {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return &older{body: bytes.Repeat([]byte("what is known "), 20_000), ln: ln, serving: make(chan struct{}, 9), gone: make(chan struct{}, 9)}
}

func path(t *testing.T) string {
	p, err := Path(t.TempDir(), "n3", "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func wait(t *testing.T, c chan struct{}, what string) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(10 * time.Second):
		t.Fatal("never: " + what)
	}
}

// The newer process gets the body and the socket, with the connections that wait in its queue; each hears of the end of
// the other. Two upgrades in a row find the newest process.
func TestHandOver(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	first, at := newOlder(t), path(t)
	if err := os.WriteFile(at, nil, 0o600); err != nil { // left by a process long dead
		t.Fatal(err)
	}
	o, err := NewOffer(at, first)
	if err != nil {
		t.Fatal(err)
	}
	client, err := net.Dial("tcp", first.ln.Addr().String()) // nobody has accepted it
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	got, err := Receive(at)
	if err != nil || !bytes.Equal(got.Body, first.body) {
		t.Fatal(err, len(got.Body))
	}
	if blocking(first.ln) { // an accept that finds the queue empty would stop the poller of either process
		t.Error("the socket has been set to blocking on its way")
	}
	file := os.NewFile(uintptr(got.Listener), "listener")
	ln, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	_ = file.Close()
	gone := make(chan struct{}, 1)
	got.ReportServing(func() { gone <- struct{}{} })
	wait(t, first.serving, "the older hears that the newer serves")
	second := newOlder(t)
	o2, err := NewOffer(at, second)
	if err != nil {
		t.Fatal(err)
	}
	_ = first.ln.Close()
	if err := o.Close(); err != nil {
		t.Error(err)
	}
	wait(t, gone, "the newer hears of the end of the older")
	wait(t, first.gone, "the older hears that it is over")
	conn, err := ln.Accept() // what was in the queue of the older is served
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
	_ = ln.Close()
	third, err := Receive(at)
	if err != nil {
		t.Fatal(err)
	}
	_ = unix.Close(third.Listener)
	_ = third.Close() // it dies before it serves
	wait(t, second.gone, "an older process hears that the newer never came to serve")
	_ = o2.Close()
}

// relay stands between the two, and passes on the first so many bytes of what the older says, changed.
func relay(t *testing.T, to, at string, most int, change func([]byte)) {
	ln, err := net.Listen("unix", at)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		defer ln.Close()
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		older, err := net.Dial("unix", to)
		if err != nil {
			return
		}
		defer older.Close()
		go func() { _, _ = io.Copy(older, conn); _ = older.Close() }()
		buf := make([]byte, 1<<16)
		oob := make([]byte, 64)
		for passed := 0; passed < most; {
			n, k, _, _, err := older.(*net.UnixConn).ReadMsgUnix(buf, oob)
			if err != nil || n == 0 {
				return
			}
			n = min(n, most-passed)
			change(buf[:n])
			if _, _, err := conn.(*net.UnixConn).WriteMsgUnix(buf[:n], oob[:k], nil); err != nil {
				return
			}
			passed += n
		}
	}()
}

// A hand-over that is cut at any byte, damaged, of another version, or never answered ends in time and gives nothing.
func TestBadHandOvers(t *testing.T) {
	o := newOlder(t)
	o.body = []byte("short")
	at := path(t)
	offer, err := NewOffer(at, o)
	if err != nil {
		t.Fatal(err)
	}
	defer offer.Close()
	dir, tries := t.TempDir(), 0
	try := func(name string, most int, change func([]byte)) {
		tries++
		p := filepath.Join(dir, strconv.Itoa(tries)) // the one before is removed as its listener closes
		relay(t, at, p, most, change)
		if got, err := Receive(p); err == nil {
			t.Errorf("%s: taken, %q", name, got.Body)
		}
		wait(t, o.gone, "the older hears that it came to nothing")
	}
	for cut := 1; cut < headLen+len(o.body); cut++ {
		try("cut", cut, func([]byte) {})
	}
	try("damaged", 1<<20, func(p []byte) { p[len(p)-1]++ })
	try("another version", 1<<20, func(p []byte) { p[0]++ })
	p := filepath.Join(dir, "silent.sock")
	silent, err := net.Listen("unix", p)
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	if _, err := take(p, 50*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a process that says nothing: %v", err)
	}
	if _, err := Receive(filepath.Join(dir, "nobody.sock")); err == nil {
		t.Error("nobody there: taken")
	}
	o.err = errors.New("no")
	if _, err := Receive(at); err == nil {
		t.Error("nothing given: taken")
	}
	if _, err := Path("", "n", "l"); err == nil {
		t.Error("no folder: a path")
	}
	if _, err := Path("/"+strings.Repeat("x", 100), "n", "l"); err == nil {
		t.Error("a path that is too long")
	}
	if _, err := NewOffer("/nowhere/at/all", o); err == nil {
		t.Error("a folder that is not there")
	}
}
