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

// resetCall ends a call without an answer.
func resetCall(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// A call that is rejected at once has met a discovery that is down; one that was queued first has met an overloaded one,
// and the next is spread over time; an answer that cannot be used is neither, whenever it comes.
func TestFailedCallIsClassified(t *testing.T) {
	reject := func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }
	for _, c := range []struct {
		name              string
		queueingThreshold time.Duration // a call that fails after so long was queued
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

// A call whose connection never comes up has had no answer.
func TestCallWithoutConnectionHasNoAnswer(t *testing.T) {
	full, err := net.Listen("tcp", "127.0.0.1:0") // nobody accepts: once its queue is full, connections are not established
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
	for { // until one does not
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
