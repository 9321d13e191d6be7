package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// told is the module, and what it hears of probes and requests.
type told struct {
	decisionModule
	probes   chan string
	arrivals chan balancer.Request
}

func (m *told) HandleHealthCheck(now balancer.Time, id balancer.EndpointID, out balancer.Outcome, took balancer.Span, rep *balancer.LoadReport) {
	m.decisionModule.HandleHealthCheck(now, id, out, took, rep)
	text := fmt.Sprint(out)
	if rep != nil {
		text += fmt.Sprint(" ", *rep)
	}
	m.probes <- text
}

func (m *told) HandleRequest(now balancer.Time, a balancer.Request) {
	m.arrivals <- a
	m.decisionModule.HandleRequest(now, a)
}

// listen has the module's ears: it must be called before anything is asked of the node.
func listen(n *Node) *told {
	m := &told{probes: make(chan string, 100), arrivals: make(chan balancer.Request, 100)}
	on(n, func() { m.decisionModule, n.balancer = n.balancer, m })
	return m
}

// next is what the module hears next.
func next[T any](t *testing.T, from chan T) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(10 * time.Second):
		t.Fatal("the module hears nothing")
	}
	return v
}

// mayProbe are settings as of a deployment whose hosts may be probed, but no module that does so by itself.
func mayProbe(s *Settings) {
	s.Balancer.AllowHealthChecks, s.LoadReports, s.Balancer.HealthCheckCost = true, true, 1
	s.ConnectTimeout = 200_000
}

// Each probe has one outcome at the module, whatever becomes of it, and a report only where the host gave one.
func TestProbe(t *testing.T) {
	paths := make(chan string, 100)
	answers := func(code int, field, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			paths <- r.Method + " " + r.URL.Path
			if field != "" {
				w.Header().Set(protocol.LoadHeader, field)
			}
			w.WriteHeader(code)
			fmt.Fprint(w, body)
		}
	}
	for _, c := range []struct {
		name string
		host http.HandlerFunc
		want string
	}{
		{"report in the body", answers(200, "", "TEXT inflight=7, queue=2, util=0.61\n"), "10 {7 2 0.61}"},
		{"report in the body, bare", answers(200, "", "inflight=3"), "10 {3 -1 -1}"},
		{"report in the head", answers(200, "TEXT queue=1", ""), "10 {-1 1 -1}"},
		{"no report", answers(200, "", "ok"), "10"},
		{"not well", answers(503, "", ""), "20"},
		{"turned away", status(503, "X-Never-Ran", "1"), "30"},
		{"no such path", answers(404, "", "inflight=3"), "20"},
		{"noise", noise("\x00\x01 noise\r\n\r\n"), "60"},
		{"reset", reset(""), "60"},
		{"never answers", hang(make(chan struct{}, 1)), "40"},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newApp(t, c.host)
			n, _ := start(t, []protocol.Target{target("a", a)}, mayProbe)
			m := listen(n)
			on(n, func() { n.CheckHealth(n.endpointsByUID["a"].id) })
			if got := next(t, m.probes); got != c.want {
				t.Errorf("%q, want %q", got, c.want)
			}
			on(n, func() {
				if h := n.endpointsByUID["a"]; h.pendingHealthChecks != 0 || len(h.waitingAttempts) != 0 || len(m.probes) != 0 {
					t.Errorf("left: %d probes, %d waiting, %d outcomes", h.pendingHealthChecks, len(h.waitingAttempts), len(m.probes))
				}
			})
		})
	}
	if got := <-paths; got != "GET /status/load" {
		t.Error(got)
	}
}

// A host that drains or has gone is not asked, also where it was still well as the probe was asked for; nor is any where
// settings forbid it. Each of these has its outcome all the same.
func TestProbeSparesWhoLeaves(t *testing.T) {
	a := newApp(t, serve)
	for _, c := range []struct {
		name   string
		change func(*Settings)
		leave  func(n *Node)
		want   string
	}{
		{"draining", mayProbe, func(n *Node) { n.endpointsByUID["a"].state = protocol.Terminating }, "80"},
		{"gone", mayProbe, func(n *Node) { n.endpointsByUID["a"].state = protocol.Terminated }, "80"},
		{"forbidden", func(s *Settings) { mayProbe(s); s.Balancer.AllowHealthChecks = false }, func(*Node) {}, "80"},
		{"no descriptor left", mayProbe, func(n *Node) {
			n.settings.MaxDescriptors = reservedDescriptors + minServingDescriptors
			n.openDescriptors = minServingDescriptors
		}, "50"},
	} {
		n, _ := start(t, []protocol.Target{target("a", a)}, c.change)
		m := listen(n)
		on(n, func() {
			c.leave(n)
			n.CheckHealth(n.endpointsByUID["a"].id)
		})
		if got := next(t, m.probes); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
	n, _ := start(t, []protocol.Target{target("a", a)}, mayProbe)
	m := listen(n)
	on(n, func() { // the connection comes up after that
		n.CheckHealth(n.endpointsByUID["a"].id)
		n.endpointsByUID["a"].state = protocol.Terminating
	})
	if got := next(t, m.probes); got != "80" {
		t.Errorf("drains before it is asked: %q", got)
	}
	if k := a.seen.Load(); k != 0 {
		t.Errorf("asked %d times", k)
	}
}

// A host that accepts and never answers holds so many connections and no more, however often it is asked.
func TestProbesAreBounded(t *testing.T) {
	a := newApp(t, hang(make(chan struct{}, 1000)))
	n, _ := start(t, []protocol.Target{target("a", a)}, mayProbe)
	m := listen(n)
	on(n, func() {
		for range 100 {
			n.CheckHealth(n.endpointsByUID["a"].id)
		}
		if n.openDescriptors > maxHealthChecksPerEndpoint {
			t.Errorf("%d connections", n.openDescriptors)
		}
	})
	got := map[string]int{}
	for range 100 {
		got[next(t, m.probes)]++
	}
	if diff := cmp.Diff(map[string]int{"80": 100 - maxHealthChecksPerEndpoint, "40": maxHealthChecksPerEndpoint}, got); diff != "" {
		t.Error(diff)
	}
	until(n, func() bool { return n.openDescriptors == 0 && n.endpointsByUID["a"].pendingHealthChecks == 0 })
}

// A request does not wait behind probes: the first connection that comes up is its own.
func TestRequestGoesBeforeProbes(t *testing.T) {
	var order []string
	arrived := make(chan string, 10)
	a := newApp(t, func(w http.ResponseWriter, r *http.Request) {
		arrived <- r.URL.Path
		serve(w, r)
	})
	n, _ := start(t, []protocol.Target{target("a", a)}, mayProbe)
	m := listen(n)
	on(n, func() {
		h := n.endpointsByUID["a"]
		n.CheckHealth(h.id)
		n.CheckHealth(h.id)
		r := &attempt{request: &request{settings: n.settings}, endpoint: h, deadline: noDeadline}
		n.assignConn(r)
		for _, w := range h.waitingAttempts {
			order = append(order, fmt.Sprint(w.isHealthCheck))
		}
		h.waitingAttempts = h.waitingAttempts[1:]
	})
	if diff := cmp.Diff([]string{"false", "true", "true"}, order); diff != "" {
		t.Error(diff)
	}
	next(t, m.probes)
	next(t, m.probes)
}

// A guess at the work reaches the module; one that makes no sense is none, and the request is served.
func TestSizeHint(t *testing.T) {
	a := newApp(t, serve)
	n, addr := start(t, []protocol.Target{target("a", a)}, nil)
	m := listen(n)
	conn := dial(t, addr)
	for text, want := range map[string]int64{"X-Size-Hint: 48211\r\n": 48211, "": 0, "X-Size-Hint: 0\r\n": 0, "X-Size-Hint: -5\r\n": 0,
		"X-Size-Hint: much\r\n": 0, "X-Size-Hint: 1e9\r\n": 0, "X-Size-Hint: 99999999999999999999\r\n": 0} {
		code, _, _ := conn.ask(hinted(text))
		if got := next(t, m.arrivals); code != 200 || got.CostHint != want {
			t.Errorf("%q: answer %d, hint %d, want %d", text, code, got.CostHint, want)
		}
	}
}

var hints int

func hinted(field string) string {
	hints++
	return fmt.Sprintf("GET /read HTTP/1.1\r\nHost: x\r\nX-Trace-Id: hint%d\r\nX-Customer: t\r\n%s\r\n", hints, field)
}

// A probe is out as its host drains, goes, or starts anew, or as the node itself leaves: the module hears of it once all the same,
// nothing waits for it, and what the host says then is no news of its successor's.
func TestProbeInFlight(t *testing.T) {
	for _, c := range []struct {
		name  string
		state protocol.State
		boot  int64
	}{{"drains", protocol.Terminating, 0}, {"has gone", protocol.Terminated, 0}, {"is another process", protocol.InService, 7}} {
		a, arrived, release := waits(t)
		n, _ := start(t, []protocol.Target{target("a", a)}, func(s *Settings) { mayProbe(s); s.ConnectTimeout = 10_000_000 })
		m := listen(n)
		on(n, func() { n.CheckHealth(n.endpointsByUID["a"].id) })
		<-arrived
		next := target("a", a)
		next.State, next.BootMs = c.state, c.boot
		n.UpdateEndpoints(protocol.List{Rev: 2, Targets: []protocol.Target{next}}, false)
		on(n, func() {
			n.CheckHealth(n.endpointsByUID["a"].id)
			if h := n.endpointsByUID["a"]; c.state != protocol.InService && h.pendingDials+len(h.waitingAttempts) > 0 {
				t.Errorf("%s: asked again", c.name)
			}
		})
		close(release)
		first, second := nextOf(t, m), nextOf(t, m)
		if c.state != protocol.InService && first != "80" && second != "80" {
			t.Errorf("%s: outcomes %q and %q", c.name, first, second)
		}
		until(n, func() bool { return n.endpointsByUID["a"].pendingHealthChecks == 0 })
		if len(m.probes) > 0 {
			t.Errorf("%s: a third outcome", c.name)
		}
	}
}

// waits is a backend that answers nobody until it is released.
func waits(t *testing.T) (a *app, arrived chan bool, release chan bool) {
	arrived, release = make(chan bool, 10), make(chan bool)
	return newApp(t, func(w http.ResponseWriter, r *http.Request) {
		arrived <- true
		<-release
		serve(w, r)
	}), arrived, release
}

func nextOf(t *testing.T, m *told) string { return next(t, m.probes) }

// A node that leaves does not wait for its probes.
func TestDrainWaitsForNoProbe(t *testing.T) {
	a, arrived, release := waits(t)
	defer close(release)
	n, _ := start(t, []protocol.Target{target("a", a)}, func(s *Settings) { mayProbe(s); s.ConnectTimeout = 60_000_000 })
	on(n, func() { n.CheckHealth(n.endpointsByUID["a"].id) })
	<-arrived
	drained := make(chan struct{})
	n.Drain(0, func() { close(drained) })
	select {
	case <-drained:
	case <-time.After(20 * time.Second):
		t.Fatal("the drain waits for a probe")
	}
}
