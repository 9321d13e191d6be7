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

// allowHealthChecks configures a node that may check its endpoints, with a balancer that starts no health check
// itself.
func allowHealthChecks(s *Settings) {
	s.Balancer.AllowHealthChecks, s.LoadReports, s.Balancer.HealthCheckCost = true, true, 1
	s.ConnectTimeout = 200_000
}

// The balancer is notified of exactly one outcome for each health check, whatever happens, and of a load report only
// if the backend has sent one.
func TestHealthCheckOutcomes(t *testing.T) {
	paths := make(chan string, 100)
	answerWith := func(code int, field, body string) http.HandlerFunc {
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
		{"report in the body", answerWith(200, "", "TEXT inflight=7, queue=2, util=0.61\n"), "10 {7 2 0.61}"},
		{"report in the body, bare", answerWith(200, "", "inflight=3"), "10 {3 -1 -1}"},
		{"report in the head", answerWith(200, "TEXT queue=1", ""), "10 {-1 1 -1}"},
		{"no report", answerWith(200, "", "ok"), "10"},
		{"unhealthy", answerWith(503, "", ""), "20"},
		{"rejected", respondWith(503, "X-Never-Ran", "1"), "30"},
		{"no such path", answerWith(404, "", "inflight=3"), "20"},
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
					t.Errorf("not cleaned up: %d health checks, %d waiting attempts, %d outcomes",
						ep.pendingHealthChecks, len(ep.waitingAttempts), len(m.healthChecks))
				}
			})
		})
	}
	if got := <-paths; got != "GET /status/load" {
		t.Error(got)
	}
}

// No health check is sent to an endpoint that drains or was removed, even if it was in service when the balancer
// asked for the check; nor is any sent if settings forbid it or no descriptor is left. The balancer is notified of an
// outcome all the same.
func TestNoHealthCheckOfDrainingEndpoint(t *testing.T) {
	a := newTestBackend(t, serve)
	for _, c := range []struct {
		name    string
		change  func(*Settings)
		prepare func(n *Node)
		want    string
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
			c.prepare(n)
			n.CheckHealth(n.endpointsByUID["a"].id)
		})
		if got := receiveNext(t, m.healthChecks); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
	n, _ := startNode(t, []protocol.Target{targetOf("a", a)}, allowHealthChecks)
	m := recordModule(n)
	runOnLoop(n, func() { // the connection is established after the endpoint has begun to drain
		n.CheckHealth(n.endpointsByUID["a"].id)
		n.endpointsByUID["a"].state = protocol.Terminating
	})
	if got := receiveNext(t, m.healthChecks); got != "80" {
		t.Errorf("drains before the health check is sent: outcome %q", got)
	}
	if k := a.requestCount.Load(); k != 0 {
		t.Errorf("%d health checks sent", k)
	}
}

// A backend that accepts connections and never answers holds at most maxHealthChecksPerEndpoint of them, however
// often the balancer asks for a health check.
func TestHealthChecksAreBounded(t *testing.T) {
	a := newTestBackend(t, neverAnswer(make(chan struct{}, 1000)))
	n, _ := startNode(t, []protocol.Target{targetOf("a", a)}, allowHealthChecks)
	m := recordModule(n)
	runOnLoop(n, func() {
		for range 100 {
			n.CheckHealth(n.endpointsByUID["a"].id)
		}
		if n.openDescriptors > maxHealthChecksPerEndpoint {
			t.Errorf("%d connections, more than maxHealthChecksPerEndpoint", n.openDescriptors)
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

// A request does not wait behind health checks: it gets the first connection that is established.
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

// An endpoint drains, is removed or restarts while a health check is in flight. No further check is sent to one that
// drains or was removed, and the balancer is notified of exactly one outcome for each check all the same.
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
				t.Errorf("%s: another health check is pending", c.name)
			}
		})
		close(release)
		first, second := nextHealthCheck(t, m), nextHealthCheck(t, m)
		if c.state != protocol.InService && first != "80" && second != "80" {
			t.Errorf("%s: outcomes %q and %q", c.name, first, second)
		}
		waitUntil(n, func() bool { return n.endpointsByUID["a"].pendingHealthChecks == 0 })
		if len(m.healthChecks) > 0 {
			t.Errorf("%s: the balancer was notified of a third outcome", c.name)
		}
	}
}

// A shutdown does not wait for a health check that is in flight.
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
