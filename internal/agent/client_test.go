package agent

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"tulipglade/internal/consensus"
	"tulipglade/internal/lease"
)

// serveFakeMember starts a server that answers the nth request with the result of answer(n), and counts the requests.
func serveFakeMember(t *testing.T, answer func(n int64) (int, Response)) (address string, requests *atomic.Int64) {
	t.Helper()
	requests = &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		status, response := answer(requests.Add(1))
		writeResponse(w, status, response)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), requests
}

// A leader whose process is stopped still accepts connections but does not answer, and for a while the other members
// still redirect clients to it. The client must try such a leader only once: if it followed every redirect, a lease
// could expire before it is renewed.
func TestClientSkipsUnresponsiveLeader(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }() // only stops the server of this test
	var connections atomic.Int64
	go func() {
		for {
			connection, err := ln.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			defer func() { _ = connection.Close() }() // nothing was written to it
		}
	}()
	grant := lease.Grant{Name: "x", Token: 7}
	other, requests := serveFakeMember(t, func(n int64) (int, Response) {
		if n < 5 {
			return http.StatusMisdirectedRequest, Response{Code: codeNotLeader, Leader: ln.Addr().String()}
		}
		return http.StatusOK, Response{Grant: &grant}
	})
	c := NewClient([]string{other}, nil)
	c.lastResponder = ln.Addr().String()
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
	defer stop()
	if g, err := c.SendCommand(ctx, "renew", lease.Command{Name: "x", Token: 7}); err != nil || g != grant {
		t.Fatal(g, err)
	}
	if connections.Load() != 1 || requests.Load() != 5 {
		t.Errorf("%d requests to the unresponsive leader, %d to the other member", connections.Load(), requests.Load())
	}
	if _, err := c.SendCommand(ctx, "renew", lease.Command{}); err != nil || connections.Load() != 1 {
		t.Error("the next request does not go to the member that answered last:", err)
	}
}

// The client must return a rejection as the typed error of its code, and retry a request with an unknown outcome or to
// a busy member. If the context ends first, the error must also contain the error of the last attempt.
func TestClientReturnsTypedErrors(t *testing.T) {
	for code, known := range errorCodes {
		address, requests := serveFakeMember(t, func(n int64) (int, Response) {
			if n > 1 {
				return http.StatusOK, Response{Grant: &lease.Grant{Token: 1}}
			}
			return known.status, Response{Code: code, Error: known.err.Error()}
		})
		_, err := NewClient([]string{address}, nil).SendCommand(t.Context(), "renew", lease.Command{})
		retried := code == "unsure" || code == "busy"
		if retried && (err != nil || requests.Load() != 2) || !retried && !errors.Is(err, known.err) {
			t.Errorf("%s: %v after %d requests", code, err, requests.Load())
		}
	}
	address, _ := serveFakeMember(t, func(int64) (int, Response) { return http.StatusMisdirectedRequest, Response{Code: codeNotLeader} })
	ctx, stop := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer stop()
	_, err := NewClient([]string{address}, nil).ReadStatus(ctx)
	var notLeader consensus.NotLeaderError
	if !errors.Is(err, ErrNoMembers) || !errors.As(err, &notLeader) {
		t.Error(err)
	}
}

// Each acquisition of a process must have a new request ID. If an ID were repeated, the group would answer with the
// earlier grant, which expires sooner.
func TestEachAcquireHasItsOwnRequestID(t *testing.T) {
	seen := map[uint64]bool{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		terms := lease.Terms{Interval: time.Second}
		var command lease.Command
		if r.Method == http.MethodPost {
			_ = json.NewDecoder(r.Body).Decode(&command) // if this fails, the ID remains 0, which is reported below
		}
		if r.URL.Path == "/lease/acquire" {
			if seen[command.RequestID] || command.RequestID == 0 {
				t.Errorf("request ID %d is repeated, or missing", command.RequestID)
			}
			seen[command.RequestID] = true
		}
		writeResponse(w, http.StatusOK, Response{
			Grant:  &lease.Grant{Name: "x", Token: lease.Token(len(seen))},
			Terms:  &terms,
			Status: &consensus.Status{Terms: terms},
		})
	}))
	defer server.Close()
	client := NewClient([]string{server.Listener.Addr().String()}, nil)
	for range 3 {
		l, err := Acquire(t.Context(), client, LeaseOptions{Name: "x", Holder: "me", Duration: 10 * time.Second})
		if err != nil {
			t.Fatal(err)
		}
		if err := l.Release(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if len(seen) != 3 {
		t.Errorf("%d requests", len(seen))
	}
}
