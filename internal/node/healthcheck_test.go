package node

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tulipglade/internal/protocol"
)

// allowHealthChecks configures a deployment whose endpoints may be checked, and a balancer that does not do so by
// itself.
func allowHealthChecks(s *Settings) {
	s.Balancer.AllowHealthChecks, s.LoadReports, s.Balancer.HealthCheckCost = true, true, 1
	s.ConnectTimeout = 200_000
}

// The balancer gets one outcome for each health check, whatever happens, and a load report only if the backend gave
// one.
func TestHealthCheckOutcomes(t *testing.T) {
	paths := make(chan string, 100)
	answers := func(code int, field, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			paths <- r.Method + " " + r.URL.Path
			if field != "" {
				w.Header().Set(protocol.LoadHeader, field)
			}
			w.WriteHeader(code)
			_, _ = io.WriteString(w, body)
		}
	}
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		want    string
	}{
		{"report in the body", answers(200, "", "TEXT inflight=7, queue=2, util=0.61\n"), "10 {7 2 0.61}"},
		{"report in the body, bare", answers(200, "", "inflight=3"), "10 {3 -1 -1}"},
		{"report in the head", answers(200, "TEXT queue=1", ""), "10 {-1 1 -1}"},
		{"no report", answers(200, "", "ok"), "10"},
		{"unhealthy", answers(503, "", ""), "20"},
		{"rejected", respondWith(503, "X-Never-Ran", "1"), "30"},
		{"no such path", answers(404, "", "inflight=3"), "20"},
		{"garbage", sendGarbage("\x00\x01 noise\r\n\r\n"), "60"},
		{"reset", closeAfterSending(""), "60"},
		{"never answers", neverAnswer(make(chan struct{}, 1)), "40"},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newTestBackend(t, c.handler)
			n, _ := startNode(t, []protocol.Target{targetOf("a", a)}, allowHealthChecks)
			m := recordModule(n)
			runOnLoop(n, func() { n.CheckHealth(n.endpointsByUID["a"].id) })
			if got := receiveNext(t, m.healthChecks); got != c.want {
				t.Errorf("%q, want %q", got, c.want)
			}
			runOnLoop(n, func() {
				if ep := n.endpointsByUID["a"]; ep.pendingHealthChecks != 0 || len(ep.waitingAttempts) != 0 || len(m.healthChecks) != 0 {
					t.Errorf("left: %d health checks, %d waiting, %d outcomes",
						ep.pendingHealthChecks, len(ep.waitingAttempts), len(m.healthChecks))
				}
			})
		})
	}
	if got := <-paths; got != "GET /status/load" {
		t.Error(got)
	}
}

// A draining or removed endpoint is not checked, even if it was in service when the check was decided; nor is any if
// settings forbid it. Each check has its outcome all the same.
func TestNoHealthCheckOfDrainingEndpoint(t *testing.T) {
	a := newTestBackend(t, serve)
	for _, c := range []struct {
		name   string
		change func(*Settings)
		leave  func(n *Node)
		want   string
	}{
		{"draining", allowHealthChecks, func(n *Node) { n.endpointsByUID["a"].state = protocol.Terminating }, "80"},
		{"removed", allowHealthChecks, func(n *Node) { n.endpointsByUID["a"].state = protocol.Terminated }, "80"},
		{"forbidden", func(s *Settings) { allowHealthChecks(s); s.Balancer.AllowHealthChecks = false }, func(*Node) {}, "80"},
		{"no descriptor left", allowHealthChecks, func(n *Node) {
			n.settings.MaxDescriptors = reservedDescriptors + minServingDescriptors
			n.openDescriptors = minServingDescriptors
		}, "50"},
	} {
		n, _ := startNode(t, []protocol.Target{targetOf("a", a)}, c.change)
		m := recordModule(n)
		runOnLoop(n, func() {
			c.leave(n)
			n.CheckHealth(n.endpointsByUID["a"].id)
		})
		if got := receiveNext(t, m.healthChecks); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
	n, _ := startNode(t, []protocol.Target{targetOf("a", a)}, allowHealthChecks)
	m := recordModule(n)
	runOnLoop(n, func() { // the connection comes up after that
		n.CheckHealth(n.endpointsByUID["a"].id)
		n.endpointsByUID["a"].state = protocol.Terminating
	})
	if got := receiveNext(t, m.healthChecks); got != "80" {
		t.Errorf("drains before it is checked: %q", got)
	}
	if k := a.requestCount.Load(); k != 0 {
		t.Errorf("checked %d times", k)
	}
}

// A backend that accepts and never answers holds so many connections and no more, however often it is checked.
func TestHealthChecksAreBounded(t *testing.T) {
	a := newTestBackend(t, neverAnswer(make(chan struct{}, 1000)))
	n, _ := startNode(t, []protocol.Target{targetOf("a", a)}, allowHealthChecks)
	m := recordModule(n)
	runOnLoop(n, func() {
		for range 100 {
			n.CheckHealth(n.endpointsByUID["a"].id)
		}
		if n.openDescriptors > maxHealthChecksPerEndpoint {
			t.Errorf("%d connections", n.openDescriptors)
		}
	})
	got := map[string]int{}
	for range 100 {
		got[receiveNext(t, m.healthChecks)]++
	}
	if diff := cmp.Diff(map[string]int{"80": 100 - maxHealthChecksPerEndpoint, "40": maxHealthChecksPerEndpoint}, got); diff != "" {
		t.Error(diff)
	}
	waitUntil(n, func() bool { return n.openDescriptors == 0 && n.endpointsByUID["a"].pendingHealthChecks == 0 })
}

// A request does not wait behind health checks: it gets the first connection that comes up.
func TestRequestPrecedesHealthChecks(t *testing.T) {
	var order []string
	arrived := make(chan string, 10)
	a := newTestBackend(t, func(w http.ResponseWriter, r *http.Request) {
		arrived <- r.URL.Path
		serve(w, r)
	})
	n, _ := startNode(t, []protocol.Target{targetOf("a", a)}, allowHealthChecks)
	m := recordModule(n)
	runOnLoop(n, func() {
		ep := n.endpointsByUID["a"]
		n.CheckHealth(ep.id)
		n.CheckHealth(ep.id)
		r := &attempt{request: &request{settings: n.settings}, endpoint: ep, deadline: noDeadline}
		n.assignConn(r)
		for _, w := range ep.waitingAttempts {
			order = append(order, fmt.Sprint(w.isHealthCheck))
		}
		ep.waitingAttempts = ep.waitingAttempts[1:]
	})
	if diff := cmp.Diff([]string{"false", "true", "true"}, order); diff != "" {
		t.Error(diff)
	}
	receiveNext(t, m.healthChecks)
	receiveNext(t, m.healthChecks)
}

// While a health check is in flight its endpoint drains, is removed or restarts, or the node shuts down: the balancer
// is notified of it once all the same, nothing waits for it, and its report does not count for the endpoint's next
// process.
func TestHealthCheckInFlight(t *testing.T) {
	for _, c := range []struct {
		name  string
		state protocol.State
		boot  int64
	}{{"drains", protocol.Terminating, 0}, {"is removed", protocol.Terminated, 0}, {"is another process", protocol.InService, 7}} {
		a, arrived, release := newGatedBackend(t)
		n, _ := startNode(t, []protocol.Target{targetOf("a", a)}, func(s *Settings) { allowHealthChecks(s); s.ConnectTimeout = 10_000_000 })
		m := recordModule(n)
		runOnLoop(n, func() { n.CheckHealth(n.endpointsByUID["a"].id) })
		<-arrived
		next := targetOf("a", a)
		next.State, next.BootMs = c.state, c.boot
		n.UpdateEndpoints(protocol.List{Revision: 2, Targets: []protocol.Target{next}}, false)
		runOnLoop(n, func() {
			n.CheckHealth(n.endpointsByUID["a"].id)
			if ep := n.endpointsByUID["a"]; c.state != protocol.InService && ep.pendingDials+len(ep.waitingAttempts) > 0 {
				t.Errorf("%s: checked again", c.name)
			}
		})
		close(release)
		first, second := nextHealthCheck(t, m), nextHealthCheck(t, m)
		if c.state != protocol.InService && first != "80" && second != "80" {
			t.Errorf("%s: outcomes %q and %q", c.name, first, second)
		}
		waitUntil(n, func() bool { return n.endpointsByUID["a"].pendingHealthChecks == 0 })
		if len(m.healthChecks) > 0 {
			t.Errorf("%s: a third outcome", c.name)
		}
	}
}

// A shutdown does not wait for health checks.
func TestDrainDoesNotWaitForHealthCheck(t *testing.T) {
	a, arrived, release := newGatedBackend(t)
	defer close(release)
	n, _ := startNode(t, []protocol.Target{targetOf("a", a)}, func(s *Settings) { allowHealthChecks(s); s.ConnectTimeout = 60_000_000 })
	runOnLoop(n, func() { n.CheckHealth(n.endpointsByUID["a"].id) })
	<-arrived
	drained := make(chan struct{})
	n.Drain(0, func() { close(drained) })
	select {
	case <-drained:
	case <-time.After(20 * time.Second):
		t.Fatal("the shutdown waits for a health check")
	}
}
