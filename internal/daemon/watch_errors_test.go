package daemon

import (
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"
)

// resetCall closes the connection of a call without an answer.
func resetCall(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// A call that is rejected or reset immediately means that discovery is down. One that is rejected or reset after it was
// queued means that discovery is overloaded, and the balancer then spreads its next call over time. An answer that is
// not a valid list is a failure of its own kind, however long the call took.
func TestFailedCallIsClassified(t *testing.T) {
	reject := func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }
	for _, c := range []struct {
		name              string
		queueingThreshold time.Duration // a call that fails after this time counts as queued
		fail              func(http.ResponseWriter)
		want              string
	}{
		{"rejected at once", time.Hour, reject, "failed"},
		{"reset at once", time.Hour, resetCall, "failed"},
		{"rejected after a wait", 0, reject, "overloaded"},
		{"reset after a wait", 0, resetCall, "overloaded"},
		{"no list", 0, func(w http.ResponseWriter) { respond(w, `{"rev":`) }, "invalid"},
		{"too large", 0, func(w http.ResponseWriter) { w.Header().Set("Content-Length", "99999999999") }, "invalid"},
		{"cut short", 0, func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "99")
			respond(w, `{"rev":1,"all":true,"targets":[]}`)
		}, "invalid"},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { c.fail(w) }))
			defer server.Close()
			received := make(notifications, 1)
			w := newWatch(server.Listener.Addr().String(), 1, slog.New(slog.DiscardHandler))
			w.listener, w.queueingThreshold = received, c.queueingThreshold
			w.Watch(true)
			received.want(t, c.want)
		})
	}
}

// A call whose connection is never established counts as a call without an answer.
func TestCallWithoutConnectionHasNoAnswer(t *testing.T) {
	full, err := net.Listen("tcp", "127.0.0.1:0") // never accepts: a full accept queue blocks connections
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = full.Close() }()
	raw, err := full.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	_ = raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) })
	if err != nil {
		t.Fatal(err)
	}
	for { // fills the accept queue, until a connection is not established
		conn, err := net.DialTimeout("tcp", full.Addr().String(), 100*time.Millisecond)
		if err != nil {
			break
		}
		defer func() { _ = conn.Close() }()
	}
	received := make(notifications, 1)
	w := newWatch(full.Addr().String(), 1, slog.New(slog.DiscardHandler))
	w.listener, w.callTimeout, w.queueingThreshold = received, 50*time.Millisecond, 0
	w.Watch(true)
	received.want(t, "timeout")
}
