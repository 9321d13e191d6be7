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

// serveFakeMember serves answers that a test gives, by the number of the request, and counts the requests.
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

// A leader whose process is stopped accepts connections and does not answer, and for a while the others still redirect clients to it. The
// client tries it once and not repeatedly: a lease would expire meanwhile.
func TestClientSkipsUnresponsiveLeader(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }() // only ends the test's server
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

// A rejection is returned as the typed error that it stands for, a request without a known outcome is retried, and the end of the context
// is returned with the last error.
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

// Each acquisition of a process has a request ID of its own: under an earlier one it would be answered with the earlier grant.
func TestEachAcquireHasItsOwnRequestID(t *testing.T) {
	seen := map[uint64]bool{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		terms := lease.Terms{Interval: time.Second}
		var command lease.Command
		if r.Method == http.MethodPost {
			_ = json.NewDecoder(r.Body).Decode(&command) // a failure leaves ID 0, which is found below
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
