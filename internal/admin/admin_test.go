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

// node answers as a test says.
type node struct {
	asked chan string
	err   error
	dumb  bool // it never answers
}

func (n *node) call(name string, reply func(error)) {
	n.asked <- name
	if !n.dumb {
		go reply(n.err)
	}
}
func (n *node) Status(reply func(error))  { n.call("status", reply) }
func (n *node) Standby(reply func(error)) { n.call("standby", reply) }
func (n *node) Active(reply func(error))  { n.call("active", reply) }

func start(t *testing.T, n *node, within time.Duration) string {
	t.Helper()
	ignore := goleak.IgnoreCurrent()
	n.asked = make(chan string, 100)
	s, err := listen("127.0.0.1:0", n, slog.New(slog.DiscardHandler), within)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = s.Close()
		goleak.VerifyNone(t, ignore)
	})
	return s.Addr().String()
}

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

func answer(t *testing.T, conn net.Conn) string {
	t.Helper()
	all, err := io.ReadAll(conn) // to the close that follows each answer
	if err != nil {
		t.Fatal(err)
	}
	line, _, _ := strings.Cut(string(all), "\r\n")
	return strings.TrimPrefix(line, "HTTP/1.1 ")
}

func TestCalls(t *testing.T) {
	no := errors.New("no")
	for _, c := range []struct {
		name, call string
		err        error
		asked      string
		want       string
	}{
		{"status", "GET /status HTTP/1.1\r\nHost: h\r\n\r\n", nil, "status", "200 OK"},
		{"status, no", "GET /status HTTP/1.1\r\n\r\n", no, "status", "503 Service Unavailable"},
		{"standby", "PUT /standby HTTP/1.1\r\nContent-Length: 0\r\n\r\n", nil, "standby", "200 OK"},
		{"standby, with a body", "PUT /standby HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi", nil, "standby", "200 OK"},
		{"standby, chunked", "PUT /standby HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", nil, "standby", "200 OK"},
		{"active", "PUT /active?now HTTP/1.1\r\n\r\n", nil, "active", "200 OK"},
		{"active, no", "PUT /active HTTP/1.0\r\n\r\n", no, "active", "409 Conflict"},
		{"another path", "GET /ready HTTP/1.1\r\n\r\n", nil, "", "404 Not Found"},
		{"another method", "GET /standby HTTP/1.1\r\n\r\n", nil, "", "405 Method Not Allowed"},
		{"not HTTP", "what?\r\n\r\n", nil, "", "400 Bad Request"},
		{"a long head", "GET /status HTTP/1.1\r\nA: " + strings.Repeat("a", 9000), nil, "", "431 Request Header Fields Too Large"},
		{"a long body", "PUT /active HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("a", 20000), nil, "", "413 Content Too Large"},
		{"a call behind the call", "PUT /active HTTP/1.1\r\n\r\nPUT /standby HTTP/1.1\r\n\r\n", nil, "active", "200 OK"},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := &node{err: c.err}
			addr := start(t, n, callWithin)
			if got := answer(t, send(t, addr, c.call)); got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
			asked := ""
			for len(n.asked) > 0 {
				asked += <-n.asked
			}
			if asked != c.asked {
				t.Errorf("the node was asked for %q, want %q", asked, c.asked)
			}
		})
	}
}

// A call under a lease that was overtaken is refused, also by the process that takes this one's place; one without a lease is not.
func TestCallsUnderALease(t *testing.T) {
	n := &node{}
	addr := start(t, n, callWithin)
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
		if got := answer(t, conn); got != c.want {
			t.Errorf("%s: %s, want %s", c.call, got, c.want)
		}
		_ = conn.Close()
	}
	asked := len(n.asked)
	if asked != 6 {
		t.Errorf("the node was asked %d times", asked)
	}
}

// Callers that send nothing, or half a call, and stay, do not keep others out: the oldest of them goes. Each has its
// time limit as well.
func TestSilentCallersKeepNobodyOut(t *testing.T) {
	n := &node{}
	addr := start(t, n, time.Hour)
	var silent []net.Conn
	for i := range 3 * MaxConns {
		silent = append(silent, send(t, addr, []string{"", "GET /sta"}[i%2]))
	}
	for range 3 {
		if got := answer(t, send(t, addr, "GET /status HTTP/1.1\r\n\r\n")); got != "200 OK" {
			t.Error(got)
		}
	}
	if all, _ := io.ReadAll(silent[0]); len(all) > 0 {
		t.Errorf("the oldest was told %q", all)
	}
}

func TestHalfACallEnds(t *testing.T) {
	addr := start(t, &node{}, 50*time.Millisecond)
	if got := answer(t, send(t, addr, "GET /status HT")); got != "408 Request Timeout" {
		t.Error(got)
	}
}

// A node that does not answer is a no, and in time.
func TestNodeThatDoesNotAnswer(t *testing.T) {
	addr := start(t, &node{dumb: true}, callWithin)
	began := time.Now()
	if got := answer(t, send(t, addr, "GET /status HTTP/1.1\r\n\r\n")); got != "503 Service Unavailable" {
		t.Error(got)
	}
	if took := time.Since(began); took < askWithin/2 {
		t.Errorf("after %v: it was not waited for", took)
	}
}
