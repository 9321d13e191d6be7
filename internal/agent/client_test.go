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

// member answers as a test says.
func member(t *testing.T, answer func(n int64) (int, Response)) (addr string, asked *atomic.Int64) {
	asked = &atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		status, a := answer(asked.Add(1))
		tell(w, status, a)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), asked
}

// A leader that is stopped takes connections and says nothing, and for a while the others still send everybody to it. It is asked once, not
// again and again: a lease would be lost over that.
func TestALeaderThatIsStopped(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var taken atomic.Int64
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			taken.Add(1)
			defer c.Close()
		}
	}()
	grant := lease.Grant{Name: "x", Token: 7}
	other, asked := member(t, func(n int64) (int, Response) {
		if n < 5 {
			return 421, Response{Code: codeLeader, Leader: ln.Addr().String()}
		}
		return 200, Response{Grant: &grant}
	})
	c := NewClient([]string{other}, nil)
	c.to = ln.Addr().String()
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
	defer stop()
	if g, err := c.Do(ctx, "renew", lease.Command{Name: "x", Token: 7}); err != nil || g != grant {
		t.Fatal(g, err)
	}
	if taken.Load() != 1 || asked.Load() != 5 {
		t.Errorf("the silent one was asked %d times, the other %d", taken.Load(), asked.Load())
	}
	if _, err := c.Do(ctx, "renew", lease.Command{}); err != nil || taken.Load() != 1 {
		t.Error("the next request goes to who answered last:", err)
	}
}

// What a refusal says goes through as the error that it is; what may have been carried out is asked again; and an end is told with the
// last reason.
func TestAnswers(t *testing.T) {
	for code, is := range codes {
		addr, asked := member(t, func(n int64) (int, Response) {
			if n > 1 {
				return 200, Response{Grant: &lease.Grant{Token: 1}}
			}
			return is.status, Response{Code: code, Error: is.err.Error()}
		})
		_, err := NewClient([]string{addr}, nil).Do(t.Context(), "renew", lease.Command{})
		again := code == "unsure" || code == "busy"
		if again && (err != nil || asked.Load() != 2) || !again && !errors.Is(err, is.err) {
			t.Errorf("%s: %v, asked %d times", code, err, asked.Load())
		}
	}
	addr, _ := member(t, func(int64) (int, Response) { return 421, Response{Code: codeLeader} })
	ctx, stop := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer stop()
	_, err := NewClient([]string{addr}, nil).ReadStatus(ctx)
	var not consensus.NotLeaderError
	if !errors.Is(err, ErrNoMembers) || !errors.As(err, &not) {
		t.Error(err)
	}
}

// Each request of a process has a number of its own: under one of before it would be answered with the grant of before.
func TestHoldAsksUnderNewNumbers(t *testing.T) {
	seen := map[uint64]bool{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		terms := lease.Terms{Interval: time.Second}
		var c lease.Command
		if r.Method == "POST" {
			_ = json.NewDecoder(r.Body).Decode(&c) // nothing: number 0, which is found below
		}
		if r.URL.Path == "/lease/acquire" {
			if seen[c.RequestID] || c.RequestID == 0 {
				t.Errorf("number %d again", c.RequestID)
			}
			seen[c.RequestID] = true
		}
		tell(w, 200, Response{Grant: &lease.Grant{Name: "x", Token: lease.Token(len(seen))}, Terms: &terms, Status: &consensus.Status{Terms: terms}})
	}))
	defer s.Close()
	c := NewClient([]string{s.Listener.Addr().String()}, nil)
	for range 3 {
		l, err := Acquire(t.Context(), c, LeaseOptions{Name: "x", Holder: "me", Duration: 10 * time.Second})
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
