package admin

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// fakeNode is a node whose reply a test sets. It records the calls that it gets.
type fakeNode struct {
	calls  chan string
	err    error // reply to every call
	silent bool  // never reply
}

func (n *fakeNode) call(name string, reply func(error)) {
	n.calls <- name
	if !n.silent {
		go reply(n.err)
	}
}
func (n *fakeNode) Status(reply func(error))  { n.call("status", reply) }
func (n *fakeNode) Standby(reply func(error)) { n.call("standby", reply) }
func (n *fakeNode) Active(reply func(error))  { n.call("active", reply) }

// startServer starts a server for the test and returns its address. The server must leave no goroutine when it is
// closed.
func startServer(t *testing.T, n *fakeNode, readTimeout time.Duration) string {
	t.Helper()
	ignore := goleak.IgnoreCurrent()
	n.calls = make(chan string, 100)
	s, err := listen("127.0.0.1:0", n, slog.New(slog.DiscardHandler), readTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = s.Close()
		goleak.VerifyNone(t, ignore)
	})
	return s.Addr().String()
}

// send opens a connection, writes text and returns the connection.
func send(t *testing.T, addr, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

// readAnswer reads the answer to a call and returns its status code and reason phrase.
func readAnswer(t *testing.T, conn net.Conn) string {
	t.Helper()
	all, err := io.ReadAll(conn) // the server closes the connection after each answer
	if err != nil {
		t.Fatal(err)
	}
	line, _, _ := strings.Cut(string(all), "\r\n")
	return strings.TrimPrefix(line, "HTTP/1.1 ")
}

func TestCallsAreAnswered(t *testing.T) {
	errRefused := errors.New("no")
	for _, c := range []struct {
		name, call string
		err        error
		wantCalls  string
		want       string
	}{
		{"status", "GET /status HTTP/1.1\r\nHost: h\r\n\r\n", nil, "status", "200 OK"},
		{"status, no", "GET /status HTTP/1.1\r\n\r\n", errRefused, "status", "503 Service Unavailable"},
		{"standby", "PUT /standby HTTP/1.1\r\nContent-Length: 0\r\n\r\n", nil, "standby", "200 OK"},
		{"standby, with a body", "PUT /standby HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi", nil, "standby", "200 OK"},
		{"standby, chunked", "PUT /standby HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", nil, "standby", "200 OK"},
		{"active", "PUT /active?now HTTP/1.1\r\n\r\n", nil, "active", "200 OK"},
		{"active, no", "PUT /active HTTP/1.0\r\n\r\n", errRefused, "active", "409 Conflict"},
		{"another path", "GET /ready HTTP/1.1\r\n\r\n", nil, "", "404 Not Found"},
		{"another method", "GET /standby HTTP/1.1\r\n\r\n", nil, "", "405 Method Not Allowed"},
		{"not HTTP", "what?\r\n\r\n", nil, "", "400 Bad Request"},
		{"a long head", "GET /status HTTP/1.1\r\nA: " + strings.Repeat("a", 9000), nil, "", "431 Request Header Fields Too Large"},
		{"a long body", "PUT /active HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("a", 20000), nil, "", "413 Content Too Large"},
		{"a call behind the call", "PUT /active HTTP/1.1\r\n\r\nPUT /standby HTTP/1.1\r\n\r\n", nil, "active", "200 OK"},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := &fakeNode{err: c.err}
			addr := startServer(t, n, callReadTimeout)
			if got := readAnswer(t, send(t, addr, c.call)); got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
			calls := ""
			for len(n.calls) > 0 {
				calls += <-n.calls
			}
			if calls != c.wantCalls {
				t.Errorf("calls to the node %q, want %q", calls, c.wantCalls)
			}
		})
	}
}

// A call whose token is older than one that the node has seen for the same lease and slot must be rejected: its caller
// no longer holds the lease. Calls without a lease and calls that change nothing are not checked.
func TestStaleTokensAreRejected(t *testing.T) {
	n := &fakeNode{}
	addr := startServer(t, n, callReadTimeout)
	for _, c := range []struct{ call, want string }{
		{"PUT /standby?lease=roll&seat=0&token=7", "200 OK"},
		{"PUT /active?token=6&lease=roll", "409 Conflict"},
		{"PUT /active?token=6&lease=roll&seat=1", "200 OK"},
		{"PUT /active?token=8&lease=roll", "200 OK"},
		{"PUT /standby?lease=roll&token=7", "409 Conflict"},
		{"PUT /standby", "200 OK"},
		{"GET /status?lease=roll&token=1", "200 OK"},
		{"PUT /standby?lease=roll", "400 Bad Request"},
		{"PUT /standby?token=9", "400 Bad Request"},
		{"PUT /standby?lease=roll&token=-1", "400 Bad Request"},
		{"PUT /standby?lease=roll&token=9&seat=x", "400 Bad Request"},
		{"PUT /standby?lease=other&token=1", "200 OK"},
	} {
		conn := send(t, addr, c.call+" HTTP/1.1\r\n\r\n")
		if got := readAnswer(t, conn); got != c.want {
			t.Errorf("%s: %s, want %s", c.call, got, c.want)
		}
		_ = conn.Close()
	}
	calls := len(n.calls)
	if calls != 6 {
		t.Errorf("%d calls to the node, want 6", calls)
	}
}

// Callers that keep their connections open without a complete call must not use up all MaxConns and so block others:
// the oldest such connection is closed. The read timeout is too long here to end them; TestIncompleteCallTimesOut
// covers it.
func TestSilentCallersDoNotBlockOthers(t *testing.T) {
	n := &fakeNode{}
	addr := startServer(t, n, time.Hour)
	var silent []net.Conn
	for i := range 3 * MaxConns {
		silent = append(silent, send(t, addr, []string{"", "GET /sta"}[i%2]))
	}
	for range 3 {
		if got := readAnswer(t, send(t, addr, "GET /status HTTP/1.1\r\n\r\n")); got != "200 OK" {
			t.Error(got)
		}
	}
	if all, _ := io.ReadAll(silent[0]); len(all) > 0 {
		t.Errorf("the oldest connection received %q, want it closed without an answer", all)
	}
}

// An incomplete call must be rejected at the read timeout and not hold its connection forever.
func TestIncompleteCallTimesOut(t *testing.T) {
	addr := startServer(t, &fakeNode{}, 50*time.Millisecond)
	if got := readAnswer(t, send(t, addr, "GET /status HT")); got != "408 Request Timeout" {
		t.Error(got)
	}
}

// If the node does not reply, the caller must get a rejection once nodeTimeout has passed, and not wait forever.
func TestNodeTimeoutIsAnswered(t *testing.T) {
	addr := startServer(t, &fakeNode{silent: true}, callReadTimeout)
	startedAt := time.Now()
	if got := readAnswer(t, send(t, addr, "GET /status HTTP/1.1\r\n\r\n")); got != "503 Service Unavailable" {
		t.Error(got)
	}
	if elapsed := time.Since(startedAt); elapsed < nodeTimeout/2 {
		t.Errorf("answered after %v, without a wait for the node's reply", elapsed)
	}
}
