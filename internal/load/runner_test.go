package load

import (
	"bytes"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"tulipglade/internal/fake"
)

// quickScenario is a short scenario with a load so low that its runs stay within the tests' bounds on a busy machine
// too. `tulipctl load verify` checks the narrow bounds.
const quickScenario = `seconds = 1.0
warm_up_s = 0.0
[load]
per_s = 200.0
[clients]
retries = 0
try_share = 0.3
impatient = 0.0
`

// runScenario runs a scenario against a target, and checks that each call has exactly one outcome.
func runScenario(t *testing.T, text, addr string, change func(*Plan)) *Result {
	t.Helper()
	p := Plan{Scenario: parse(t, text), Seed: 1, Targets: []string{addr}, MaxLag: time.Minute}
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

// Requests must have the form that PROTOCOL defines, with a new trace ID for each attempt and one idempotency key for
// all attempts of a call.
func TestRequestsHaveTheProtocolsForm(t *testing.T) {
	var mu sync.Mutex
	ids, keys, invalid := map[string]int{}, map[string]int{}, ""
	addr := startTarget(t, func(c net.Conn) {
		answerAll(c, func(r *http.Request, _ int) string {
			mu.Lock()
			defer mu.Unlock()
			ids[r.Header.Get("X-Trace-Id")]++
			class, key := r.Header.Get("X-Qos"), r.Header.Get("Idempotency-Key")
			if key != "" {
				keys[key]++
			}
			if r.URL.Path != "/"+class || (r.Method == http.MethodGet) != (class == "read") || (key != "") != (class == "settle") ||
				r.Header.Get("X-Customer") == "" || r.URL.Query().Get("obj") == "" || r.Header.Get("X-Expires-In-Ms") == "" {
				invalid = r.Method + " " + r.URL.String()
			}
			return "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
		})
	})
	r := runScenario(t, strings.Replace(quickScenario, "retries = 0", "retries = 1\nbackoff_ms = 10.0", 1), addr, nil)
	if invalid != "" {
		t.Error("a request that does not conform to PROTOCOL: ", invalid)
	}
	if len(ids) != int(r.Sent) || r.Retries < r.Calls/2 {
		t.Errorf("%d IDs for %d attempts, of which %d retries", len(ids), r.Sent, r.Retries)
	}
	for k, n := range keys {
		if n > 2 {
			t.Errorf("key %s of %d attempts: want one for each call, its retries included", k, n)
		}
	}
}

// A stall of the target must lengthen the latency of every call that was due while it lasted. A generator that waits
// for responses would show it only in the calls that were in flight when it began (coordinated omission).
func TestStallShowsInAllCallsThatWereDue(t *testing.T) {
	startedAt := time.Now()
	waker := newWaker()
	defer waker.close()
	null, err := fake.StartNullServer("127.0.0.1:0", func(now time.Time) time.Time {
		if in := now.Sub(startedAt) % time.Second; in < 300*time.Millisecond {
			return now.Add(300*time.Millisecond - in)
		}
		return now
	}, waker.waitUntil)
	if err != nil {
		t.Fatal(err)
	}
	defer null.Close()
	r := runScenario(t, strings.Replace(quickScenario, "seconds = 1.0", "seconds = 4.0", 1), null.Addr(), nil)
	// 30% of the calls are due in a stall and wait from 0 to 300 ms; chance and a busy machine change that a little.
	if r.Latency.P50 > 100 || r.Latency.P90 < 120 || r.Latency.P99 < 240 || r.Latency.P99 > 600 {
		t.Errorf("%+v", r.Latency)
	}
}

// A run whose bound on connections is too low for the schedule must be marked as invalid and name that cause. Otherwise
// the generator would send fewer calls than scheduled without reporting it.
func TestRunIsInvalidWithTooFewConnections(t *testing.T) {
	slow := startTarget(t, func(c net.Conn) {
		answerAll(c, func(*http.Request, int) string { time.Sleep(50 * time.Millisecond); return okResponse })
	})
	r := runScenario(t, quickScenario, slow, func(p *Plan) { p.MaxConns, p.MaxLag = 1, time.Millisecond })
	if r.Valid || !strings.Contains(strings.Join(r.Invalid, "\n"), "connections:") || r.Lag.P99 < 10 {
		t.Errorf("one connection for 5 times what it can carry: valid %v, %v, lag %+v", r.Valid, r.Invalid, r.Lag)
	}
}

// At a rate of at least ten times what any core can send, every call must still be counted, and the run must be
// invalid.
func TestRunIsInvalidBeyondTheProcessor(t *testing.T) {
	null, err := fake.StartNullServer("127.0.0.1:0", nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer null.Close()
	text := strings.Replace(strings.Replace(quickScenario, "per_s = 200.0", "per_s = 500000.0", 1), "seconds = 1.0", "seconds = 0.3", 1)
	r := runScenario(t, text, null.Addr(), func(p *Plan) { p.MaxConns, p.MaxLag = 256, time.Millisecond })
	if r.Valid || r.Calls < 145_000 || r.Sent != r.Calls {
		t.Errorf("valid %v: %v; %d calls, %d sent", r.Valid, r.Invalid, r.Calls, r.Sent)
	}
	// How far the generator falls behind its schedule depends on the machine, and therefore also whether calls end as
	// served, late or timed out.
	if r.Until["served"].P50 <= 0 && r.Until["late"].P50 <= 0 && r.Until["timed-out"].P50 < 100 {
		t.Errorf("%+v", r.Until)
	}
}

func TestRunRejectsTargetsOffLoopback(t *testing.T) {
	for _, addr := range []string{"10.0.0.1:80", "192.168.1.1:80", "example.org:80", "127.0.0.1", "0.0.0.0:80", ":80"} {
		_, err := Run(t.Context(), Plan{Scenario: parse(t, quickScenario), Targets: []string{addr}})
		if err == nil || !strings.HasPrefix(err.Error(), "target ") {
			t.Errorf("%s: %v", addr, err)
		}
	}
}

func TestRecordedTraceReplays(t *testing.T) {
	null, err := fake.StartNullServer("127.0.0.1:0", nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer null.Close()
	var recorded, replayed bytes.Buffer
	original := runScenario(t, quickScenario, null.Addr(), func(p *Plan) { p.TraceWriter = &recorded })
	path := t.TempDir() + "/trace"
	if err := os.WriteFile(path, recorded.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(quickScenario, "per_s = 200.0", "shape = 'trace'\ntrace = '"+path+"'", 1)
	replay := runScenario(t, text, null.Addr(), func(p *Plan) { p.TraceWriter = &replayed })
	if original.Calls != replay.Calls || recorded.String() != replayed.String() {
		t.Errorf("%d calls, %d when replayed; the same lines: %v", original.Calls, replay.Calls, recorded.String() == replayed.String())
	}
}

// BenchmarkGenerator measures the processor time per call of the whole process, which includes the server.
func BenchmarkGenerator(b *testing.B) {
	null, err := fake.StartNullServer("127.0.0.1:0", nil, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer null.Close()
	sc := parse(b, "seconds = 5.0\nwarm_up_s = 0.0\nload.per_s = 20000.0\nclients.retries = 0")
	for b.Loop() {
		r, err := Run(b.Context(), Plan{Scenario: sc, Seed: 1, Targets: []string{null.Addr()}})
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(r.CPUPerAttempt, "us-cpu/call")
		b.ReportMetric(r.Lag.P99, "ms-lag-p99")
		b.ReportMetric(float64(r.Outcomes["served"])/r.Seconds, "served/s")
	}
}
