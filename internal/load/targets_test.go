package load

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
	"tulipglade/internal/loopback"

	"go.uber.org/goleak"
)

// closeQuietly closes a socket that a test does not use any more, and ignores the error.
func closeQuietly(c io.Closer) { _ = c.Close() }

// startTarget listens on a loopback address, calls serve for each connection, and returns the address.
func startTarget(t *testing.T, serve func(c net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	conns := map[net.Conn]bool{}
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns[c] = true
			mu.Unlock()
			wg.Go(func() {
				defer closeQuietly(c)
				serve(c)
			})
		}
	})
	t.Cleanup(func() {
		closeQuietly(ln)
		mu.Lock()
		for c := range conns {
			closeQuietly(c)
		}
		mu.Unlock()
		wg.Wait()
	})
	return ln.Addr().String()
}

// answerAll reads the requests on a connection, and answers each with the text that answer returns for the request and
// its number, from 0. An empty text closes the connection.
func answerAll(conn net.Conn, answer func(r *http.Request, n int) string) {
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		text := answer(r, n)
		if text == "" {
			return
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func wantAll(t *testing.T, r *Result, outcome string) {
	t.Helper()
	if r.Outcomes[outcome] != r.Calls {
		t.Errorf("want all %s: %v", outcome, r.Outcomes)
	}
}

// fixedAnswer returns a function that answers every request on a connection with the same text.
func fixedAnswer(text string) func(net.Conn) {
	return func(conn net.Conn) {
		answerAll(conn, func(*http.Request, int) string { return text })
	}
}

func neverAnswer(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

func closeAtOnce(net.Conn) {}

func answerByteByByte(conn net.Conn) {
	answerAll(conn, func(*http.Request, int) string {
		last := len(okResponse) - 1
		for i := range last {
			if _, err := io.WriteString(conn, okResponse[i:i+1]); err != nil {
				return ""
			}
		}
		return okResponse[last:]
	})
}

// answerOnce answers the first request on a connection and closes it at the second.
func answerOnce(conn net.Conn) {
	answerAll(conn, func(_ *http.Request, n int) string { return []string{okResponse, ""}[n] })
}

// For any behavior of the target, every call that was due must end with exactly one outcome, and the run must leave no
// goroutine behind.
func TestEveryCallEndsWhateverTheTargetDoes(t *testing.T) {
	defer goleak.VerifyNone(t)
	const busyResponse = "HTTP/1.1 503 Busy\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n"
	partialResponse := strings.Replace(okResponse, "Length: 2", "Length: 20", 1)
	for name, target := range map[string]struct {
		serve   func(net.Conn)
		outcome string
	}{
		"answers":                   {fixedAnswer(okResponse), "served"},
		"accepts and never answers": {neverAnswer, "timed-out"},
		"closes at once":            {closeAtOnce, "failed"},
		"answers what is not HTTP":  {fixedAnswer("\x16\x03garbage\r\n\r\n"), "failed"},
		"answers in part":           {fixedAnswer(partialResponse), "timed-out"},
		"answers byte by byte":      {answerByteByByte, "served"},
		"rejects, with Retry-After": {fixedAnswer(busyResponse), "refused"},
		// The client sends the request once more on a new connection, as PROTOCOL says.
		"closes between requests": {answerOnce, "served"},
	} {
		t.Run(name, func(t *testing.T) {
			wantAll(t, runScenario(t, quickScenario, startTarget(t, target.serve), nil), target.outcome)
		})
	}
	t.Run("is not there", func(t *testing.T) {
		addrs, err := loopback.FreeAddresses(loopback.Host, 1)
		if err != nil {
			t.Fatal(err)
		}
		wantAll(t, runScenario(t, quickScenario, addrs[0], nil), "unreachable")
	})
	t.Run("stops answering during the run", func(t *testing.T) {
		var stopped atomic.Bool
		time.AfterFunc(500*time.Millisecond, func() { stopped.Store(true) })
		r := runScenario(t, quickScenario, startTarget(t, func(conn net.Conn) {
			answerAll(conn, func(*http.Request, int) string {
				if stopped.Load() {
					return ""
				}
				return okResponse
			})
		}), nil)
		served, failed := r.Outcomes["served"], r.Outcomes["failed"]
		if served < 50 || failed < 50 || served+failed != r.Calls {
			t.Errorf("%v", r.Outcomes)
		}
	})
}
