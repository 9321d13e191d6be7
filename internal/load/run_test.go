package load

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"tulipglade/internal/fake"
)

// On sockets, with bounds that a busy machine keeps: `tulipctl load verify` measures the narrow ones.

const quick = "seconds = 1.0\nwarm_up_s = 0.0\n[load]\nper_s = 200.0\n[clients]\nretries = 0\ntry_share = 0.3\nimpatient = 0.0\n"

// script answers each connection by a function of its own.
func script(t *testing.T, serve func(c net.Conn)) string {
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
				defer c.Close()
				serve(c)
			})
		}
	})
	t.Cleanup(func() {
		ln.Close()
		mu.Lock()
		for c := range conns {
			c.Close()
		}
		mu.Unlock()
		wg.Wait()
	})
	return ln.Addr().String()
}

// each reads requests and answers every one of them.
func each(c net.Conn, answer func(r *http.Request, n int) string) {
	in := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		text := answer(r, n)
		if text == "" {
			return
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func run(t *testing.T, text string, addr string, change func(*Plan)) *Result {
	t.Helper()
	p := Plan{Scenario: scene(t, text), Seed: 1, Targets: []string{addr}, Lag: time.Minute}
	if change != nil {
		change(&p)
	}
	r, err := Run(t.Context(), p)
	if err != nil {
		t.Fatal(err)
	}
	sum := int64(0)
	for _, n := range r.Outcomes {
		sum += n
	}
	if sum != r.Calls || r.Calls < 100 {
		t.Errorf("%d calls, %d outcomes: %v", r.Calls, sum, r.Outcomes)
	}
	return r
}

func only(t *testing.T, r *Result, outcome string) {
	t.Helper()
	if r.Outcomes[outcome] != r.Calls {
		t.Errorf("want all %s: %v", outcome, r.Outcomes)
	}
}

// Whatever a target does, every call that was due ends with one outcome, and nothing is left behind.
func TestBadTargets(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("answers", func(t *testing.T) {
		only(t, run(t, quick, script(t, func(c net.Conn) { each(c, func(*http.Request, int) string { return ok }) }), nil), "served")
	})
	t.Run("accepts and says nothing", func(t *testing.T) {
		only(t, run(t, quick, script(t, func(c net.Conn) { io.Copy(io.Discard, c) }), nil), "timed-out")
	})
	t.Run("is not there", func(t *testing.T) {
		addrs, err := fake.FreeAddrs(1)
		if err != nil {
			t.Fatal(err)
		}
		only(t, run(t, quick, addrs[0], nil), "unreachable")
	})
	t.Run("closes at once", func(t *testing.T) {
		only(t, run(t, quick, script(t, func(net.Conn) {}), nil), "failed")
	})
	t.Run("answers noise", func(t *testing.T) {
		only(t, run(t, quick, script(t, func(c net.Conn) { each(c, func(*http.Request, int) string { return "\x16\x03garbage\r\n\r\n" }) }), nil), "failed")
	})
	t.Run("answers half", func(t *testing.T) {
		half := strings.Replace(ok, "Length: 2", "Length: 20", 1)
		only(t, run(t, quick, script(t, func(c net.Conn) { each(c, func(*http.Request, int) string { return half }) }), nil), "timed-out")
	})
	t.Run("answers byte by byte", func(t *testing.T) {
		only(t, run(t, quick, script(t, func(c net.Conn) {
			each(c, func(*http.Request, int) string {
				for i := range len(ok) - 1 {
					if _, err := io.WriteString(c, ok[i:i+1]); err != nil {
						return ""
					}
				}
				return ok[len(ok)-1:]
			})
		}), nil), "served")
	})
	t.Run("refuses, with advice", func(t *testing.T) {
		only(t, run(t, quick, script(t, func(c net.Conn) {
			each(c, func(*http.Request, int) string {
				return "HTTP/1.1 503 Busy\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n"
			})
		}), nil), "refused")
	})
	t.Run("dies half-way", func(t *testing.T) {
		var dead atomic.Bool
		time.AfterFunc(500*time.Millisecond, func() { dead.Store(true) })
		r := run(t, quick, script(t, func(c net.Conn) {
			each(c, func(*http.Request, int) string {
				if dead.Load() {
					return ""
				}
				return ok
			})
		}), nil)
		if r.Outcomes["served"] < 50 || r.Outcomes["failed"] < 50 || r.Outcomes["served"]+r.Outcomes["failed"] != r.Calls {
			t.Errorf("%v", r.Outcomes)
		}
	})
	t.Run("closes between requests", func(t *testing.T) { // the client sends once more, as PROTOCOL says
		only(t, run(t, quick, script(t, func(c net.Conn) {
			each(c, func(_ *http.Request, n int) string { return []string{ok, ""}[n] })
		}), nil), "served")
	})
}

// What goes out is what PROTOCOL says, with a new id for each try.
func TestRequests(t *testing.T) {
	var mu sync.Mutex
	ids, keys, bad := map[string]int{}, map[string]int{}, ""
	addr := script(t, func(c net.Conn) {
		each(c, func(r *http.Request, _ int) string {
			mu.Lock()
			defer mu.Unlock()
			ids[r.Header.Get("X-Trace-Id")]++
			class, key := r.Header.Get("X-Qos"), r.Header.Get("Idempotency-Key")
			if key != "" {
				keys[key]++
			}
			if r.URL.Path != "/"+class || (r.Method == "GET") != (class == "read") || (key != "") != (class == "settle") ||
				r.Header.Get("X-Customer") == "" || r.URL.Query().Get("obj") == "" || r.Header.Get("X-Expires-In-Ms") == "" {
				bad = r.Method + " " + r.URL.String()
			}
			return "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
		})
	})
	r := run(t, strings.Replace(quick, "retries = 0", "retries = 1\nbackoff_ms = 10.0", 1), addr, nil)
	if bad != "" {
		t.Error("unlike PROTOCOL: ", bad)
	}
	if len(ids) != int(r.Sent) || r.Repeats < r.Calls/2 {
		t.Errorf("%d ids for %d tries, of which %d repeats", len(ids), r.Sent, r.Repeats)
	}
	for k, n := range keys {
		if n > 2 {
			t.Errorf("key %s of %d tries: one for each call, its repeats included", k, n)
		}
	}
}

// A stall must show in every call that was due while it lasted, and not only in those that were under way.
func TestAStallShowsInAllThatWasDue(t *testing.T) {
	began := time.Now()
	waker := newWaker()
	defer waker.close()
	null, err := fake.StartNull("127.0.0.1:0", func(now time.Time) time.Time {
		if in := now.Sub(began) % time.Second; in < 300*time.Millisecond {
			return now.Add(300*time.Millisecond - in)
		}
		return now
	}, waker.until)
	if err != nil {
		t.Fatal(err)
	}
	defer null.Close()
	r := run(t, strings.Replace(quick, "seconds = 1.0", "seconds = 4.0", 1), null.Addr(), nil)
	// 30% of calls are due in the stall and wait from 0 to 300 ms: by chance and by a busy machine a few more or less.
	if r.Latency.P50 > 100 || r.Latency.P90 < 120 || r.Latency.P99 < 240 || r.Latency.P99 > 600 {
		t.Errorf("%+v", r.Latency)
	}
}

// A generator that cannot keep its schedule never sends less in silence.
func TestItSaysThatItCannotKeepUp(t *testing.T) {
	slow := script(t, func(c net.Conn) {
		each(c, func(*http.Request, int) string { time.Sleep(50 * time.Millisecond); return ok })
	})
	r := run(t, quick, slow, func(p *Plan) { p.Conns, p.Lag = 1, time.Millisecond })
	if r.Valid || !strings.Contains(strings.Join(r.Invalid, "\n"), "connections:") || r.Lag.P99 < 10 {
		t.Errorf("one connection for 5 times what it can carry: valid %v, %v, lag %+v", r.Valid, r.Invalid, r.Lag)
	}
}

// Ten times and more what any core can send: every call is accounted for, and the run does not count.
func TestStarvedOfProcessor(t *testing.T) {
	null, err := fake.StartNull("127.0.0.1:0", nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer null.Close()
	text := strings.Replace(strings.Replace(quick, "per_s = 200.0", "per_s = 500000.0", 1), "seconds = 1.0", "seconds = 0.3", 1)
	r := run(t, text, null.Addr(), func(p *Plan) { p.Conns, p.Lag = 256, time.Millisecond })
	if r.Valid || r.Calls < 145_000 || r.Sent != r.Calls {
		t.Errorf("valid %v: %v; %d calls, %d sent", r.Valid, r.Invalid, r.Calls, r.Sent)
	}
	// How far behind it falls depends on the machine, and with that whether calls end served, late or timed out.
	if r.Until["served"].P50 <= 0 && r.Until["late"].P50 <= 0 && r.Until["timed-out"].P50 < 100 {
		t.Errorf("%+v", r.Until)
	}
}

func TestOnlyLoopback(t *testing.T) {
	for _, addr := range []string{"10.0.0.1:80", "192.168.1.1:80", "example.org:80", "127.0.0.1", "0.0.0.0:80", ":80"} {
		if _, err := Run(t.Context(), Plan{Scenario: scene(t, quick), Targets: []string{addr}}); err == nil || !strings.HasPrefix(err.Error(), "target ") {
			t.Errorf("%s: %v", addr, err)
		}
	}
}

func TestRecordedTraceReplays(t *testing.T) {
	null, err := fake.StartNull("127.0.0.1:0", nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer null.Close()
	var first, again bytes.Buffer
	a := run(t, quick, null.Addr(), func(p *Plan) { p.Record = &first })
	file := t.TempDir() + "/trace"
	if err := os.WriteFile(file, first.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(quick, "per_s = 200.0", "shape = 'trace'\ntrace = '"+file+"'", 1)
	b := run(t, text, null.Addr(), func(p *Plan) { p.Record = &again })
	if a.Calls != b.Calls || first.String() != again.String() {
		t.Errorf("%d calls, %d when replayed; the same lines: %v", a.Calls, b.Calls, first.String() == again.String())
	}
}

// BenchmarkGenerator is the processor time of the whole process for a call, the box that answers at once included.
func BenchmarkGenerator(b *testing.B) {
	null, err := fake.StartNull("127.0.0.1:0", nil, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer null.Close()
	sc := scene(b, "seconds = 5.0\nwarm_up_s = 0.0\nload.per_s = 20000.0\nclients.retries = 0")
	for b.Loop() {
		r, err := Run(b.Context(), Plan{Scenario: sc, Seed: 1, Targets: []string{null.Addr()}})
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(r.CPU, "us-cpu/call")
		b.ReportMetric(r.Lag.P99, "ms-lag-p99")
		b.ReportMetric(float64(r.Outcomes["served"])/r.Seconds, "served/s")
	}
}
