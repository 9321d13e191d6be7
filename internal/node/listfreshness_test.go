package node

import (
	"errors"
	"testing"
	"time"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
	"tulipglade/internal/staleness"
)

// A process that has just started is ready for clients once its list is confirmed, whatever the list contains, or
// once it could not be confirmed for readyTimeout. It stays ready when the list becomes stale.
func TestReadyOnceListIsConfirmed(t *testing.T) {
	backend := newTestBackend(t, serve)
	for name, becomeReady := range map[string]func(*Node){
		"an answer": func(n *Node) { n.UpdateEndpoints(protocol.List{Revision: 1}, false) },
		"no answer": func(n *Node) {
			runOnLoop(n, func() { n.listFreshness.processStartedAt -= readyTimeout })
		},
	} {
		t.Run(name, func(t *testing.T) {
			n, addr := startNode(t, backend.targets(), requireListLease)
			conn := dialNode(t, addr)
			if code, _, _ := conn.exchange(readyRequest); code != 503 {
				t.Errorf("before: %d", code)
			}
			n.DiscoveryCallFailed(errors.New("refused"), balancer.ListFailed, n.startedAt)
			runOnLoop(n, func() {}) // waits until the node has processed that
			if code, _, _ := conn.exchange(readyRequest); code != 503 {
				t.Errorf("after one failed call to discovery: status %d", code)
			}
			becomeReady(n)
			runOnLoop(n, func() {}) // waits until the node has processed that
			if code, _, _ := conn.exchange(readyRequest); code != 200 {
				t.Errorf("after: %d", code)
			}
			runOnLoop(n, func() { n.balancer.HandleDiscoveryMoved(n.now(), 0) })
			if code, _, _ := conn.exchange(readyRequest); code != 200 {
				t.Errorf("with a stale list: status %d", code)
			}
		})
	}
}

// A process is ready once discovery has answered that there are no endpoints: it can answer clients, with rejections.
func TestReadyOnceListWithoutEndpointsIsConfirmed(t *testing.T) {
	n, addr := startNode(t, nil, requireListLease)
	conn := dialNode(t, addr)
	runOnLoop(n, func() { n.listFreshness.processStartedAt -= readyTimeout })
	if code, _, _ := conn.exchange(readyRequest); code != 503 {
		t.Errorf("before the first answer of discovery: status %d", code)
	}
	n.UpdateEndpoints(protocol.List{Revision: 1, Full: true}, false)
	runOnLoop(n, func() {})
	if code, _, _ := conn.exchange(readyRequest); code != 200 {
		t.Errorf("after a list without endpoints: status %d", code)
	}
}

// An answer that is behind does not show what is current until discovery has confirmed it, and neither does one as of
// an unknown time. A discovery server that stays behind has been restarted with other revisions: its answers must
// renew the lease again, or the node would stop serving.
func TestOutdatedListDoesNotRenewLease(t *testing.T) {
	n, _ := startNode(t, newTestBackend(t, serve).targets(), requireListLease)
	for _, step := range []struct {
		name  string
		known bool // whether it is known when the answer was current
		order staleness.RevisionOrder
		want  bool
	}{
		{"in order", true, staleness.InOrder, true},
		{"behind", true, staleness.Behind, false},
		{"behind, and confirmed", true, staleness.BehindConfirmed, true},
		{"in order, as of an unknown time", false, staleness.InOrder, false},
	} {
		runOnLoop(n, func() { n.balancer.HandleDiscoveryMoved(n.now(), 0) })
		asOf := time.Time{}
		if step.known {
			asOf = time.Now()
		}
		n.UpdateEndpointsAsOf(protocol.List{Revision: 8}, asOf, step.order)
		runOnLoop(n, func() {
			if current, _ := n.balancer.ListCurrent(n.now()); current != step.want {
				t.Errorf("%s: list current: %v", step.name, current)
			}
		})
	}
}

// No health check is sent while the endpoint list is not known to be current.
func TestNoHealthCheckByStaleList(t *testing.T) {
	n, _ := startNode(t, newTestBackend(t, serve).targets(), func(s *Settings) {
		requireListLease(s)
		s.Balancer.AllowHealthChecks = true
	})
	runOnLoop(n, func() {
		if n.CheckHealth(1); n.endpoints[1].pendingDials > 0 {
			t.Error("checked")
		}
	})
	n.UpdateEndpoints(protocol.List{Revision: 1}, false)
	runOnLoop(n, func() {
		if n.CheckHealth(1); n.endpoints[1].pendingDials != 1 {
			t.Error("no health check by a current list")
		}
	})
}
