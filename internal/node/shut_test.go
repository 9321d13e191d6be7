package node

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// narrow is a client that takes in little before it reads.
func narrow(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		})
	}}
	conn, err := d.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn.(*net.TCPConn)
}

// A connection that closes behind its answer is shut first: what its client sends meanwhile must not reset it, as the rest of the answer
// would go with it.
func TestLastAnswerSurvivesWhatComesBehindIt(t *testing.T) {
	body := strings.Repeat("x", 60<<10)
	app := newByHand(t, 0)
	n, addr := start(t, app.targets(), nil)
	conn := narrow(t, addr)
	_, _ = io.WriteString(conn, strings.Replace(text("read", 9000), "\r\n", "\r\nConnection: close\r\n", 1))
	host, _ := app.take()
	ok(host, body)
	until(n, func() bool { return n.lingering.Len() == 1 || len(n.clients) == 0 }) // its last byte is with the system
	_, _ = io.WriteString(conn, text("read", 9000))
	until(n, func() bool {
		for c := range n.clients {
			return c.dropped > 0
		}
		return true
	})
	got, err := io.ReadAll(conn)
	if err != nil || !strings.HasSuffix(string(got), body) {
		t.Errorf("%d bytes, %v", len(got), err)
	}
}

// A request that crosses the end of its connection is not sent on, whatever ended that, and its client sees the end without an answer:
// it asks once more elsewhere.
func TestRequestAcrossTheEndIsNotSentOn(t *testing.T) {
	for name, end := range map[string]func(*Node, *client){
		"a stop":    func(n *Node, _ *client) { n.closeIdleClients() },
		"long idle": func(n *Node, c *client) { c.idleSince = n.now() - idleAtMost; n.sweepClients() },
		"too many": func(n *Node, c *client) {
			for k := range (reserve + leastRoom) / idleShare { // one more than may be idle, each used later
				other := &client{n: n, asked: true}
				other.conn, other.idleSince = c.conn, n.now()+int64(k)
				n.clients[other] = struct{}{}
				n.descriptors++
				other.setIdle(true)
				defer func() { other.setIdle(false); delete(n.clients, other); n.descriptors-- }()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			app := newApp(t, serve)
			n, addr := start(t, app.targets(), func(s *Settings) { s.Sockets = reserve + leastRoom })
			conn := dial(t, addr)
			if code, _, _ := conn.ask(text("read", 9000)); code != 200 {
				t.Fatal(code)
			}
			until(n, func() bool { return n.idleClients.Len() == 1 })
			var shut *client
			on(n, func() {
				shut = n.idleClients.Front().Value.(*client)
				end(n, shut)
				if !shut.lingering {
					t.Error("not shut")
				}
			})
			_, _ = io.WriteString(conn, text("once", 9000))
			until(n, func() bool { return shut.dropped > 0 || shut.closed || n.open > 0 })
			on(n, func() {
				if n.open > 0 || len(n.requests) > 0 {
					t.Error("taken")
				}
			})
			if b, err := conn.r.ReadByte(); !errors.Is(err, io.EOF) {
				t.Errorf("read %q, %v, want the end", b, err)
			}
			if k := app.seen.Load(); k != 1 {
				t.Errorf("%d requests at the host, want the first alone", k)
			}
		})
	}
}

// A process that ends resets what its clients have not read: it waits for that, and for no client that never reads.
func TestStopWaitsForLastAnswersToBeRead(t *testing.T) {
	n, addr := start(t, newApp(t, serve).targets(), nil)
	conn := dial(t, addr)
	conn.ask(ready)
	until(n, func() bool { return n.idleClients.Len() == 1 }) // the answer may overtake the writer's word
	ended := make(chan struct{})
	on(n, func() {
		n.leave("draining")
		n.idleClients.Front().Value.(*client).shut()
		n.drain.unread = n.now() + 3_600_000_000
		n.drain.drained = func() { close(ended) }
		n.checkDrained()
		if n.drain.drained == nil {
			t.Error("a connection that was shut is not waited for")
		}
	})
	_ = conn.Close()
	<-ended // once it is gone
	on(n, func() {
		if n.lingering.Len() > 0 {
			t.Error("ended before")
		}
	})
}

// Connections that have been shut make room like any other, last of all.
func TestShutConnectionsMakeRoom(t *testing.T) {
	n, addr := start(t, newApp(t, serve).targets(), func(s *Settings) { s.Sockets = reserve + leastRoom })
	var all []*caller
	for range leastRoom {
		c := dial(t, addr)
		c.ask(ready)
		all = append(all, c)
	}
	until(n, func() bool { return len(n.clients) > 0 })
	on(n, func() { n.closeIdleClients() })
	for k, c := range all { // rubbish on each, so that none is clean
		_, _ = fmt.Fprint(c, "rubbish ", k)
	}
	for range leastRoom {
		c := dial(t, addr)
		if code, _, _ := c.ask(text("read", 9000)); code != 200 {
			t.Fatal(code)
		}
	}
}

// A connection that is shut after a large request whose answer came early is back with the poller by then: what comes behind is read and
// dropped there, too.
func TestEarlyAnsweredUploadIsShut(t *testing.T) {
	body := noiseOf(1, 4<<20)
	a := newApp(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(503)
	})
	n, addr := start(t, a.targets(), nil)
	conn := dial(t, addr)
	_, _ = io.WriteString(conn, post("once", "Content-Length: "+strconv.Itoa(len(body))))
	_, _ = conn.Write(body[:3<<20])
	if code, _, _ := conn.answer(); code != 503 {
		t.Fatal(code)
	}
	_, _ = conn.Write(body[3<<20:])
	until(n, func() bool { return n.lingering.Len() == 1 || len(n.clients) == 0 })
	_, _ = io.WriteString(conn, text("once", 9000))
	dropped := 0
	until(n, func() bool {
		for c := range n.clients {
			dropped = c.dropped
		}
		return dropped > 0 || len(n.clients) == 0
	})
	if dropped == 0 {
		t.Error("closed in one step")
	}
	if b, err := conn.r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("read %q, %v, want the end", b, err)
	}
}
