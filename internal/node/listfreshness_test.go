package node

import (
	"errors"
	"testing"
	"time"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
	"tulipglade/internal/staleness"
)

// A process that has just started accepts clients once its list is confirmed, whatever it says, or could not be
// confirmed for a while.
func TestReadyOnceListIsConfirmed(t *testing.T) {
	backend := newTestBackend(t, serve)
	for name, word := range map[string]func(*Node){
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
			runOnLoop(n, func() {}) // it has been processed
			if code, _, _ := conn.exchange(readyRequest); code != 503 {
				t.Errorf("after one failed call: %d", code)
			}
			word(n)
			runOnLoop(n, func() {}) // it has been processed
			if code, _, _ := conn.exchange(readyRequest); code != 200 {
				t.Errorf("after: %d", code)
			}
			runOnLoop(n, func() { n.balancer.HandleDiscoveryMoved(n.now(), 0) })
			if code, _, _ := conn.exchange(readyRequest); code != 200 {
				t.Errorf("with a stale list: %d", code)
			}
		})
	}
}

// A process to which discovery has answered that there are no endpoints is ready: it answers clients, with rejections.
func TestReadyOnceListWithoutEndpointsIsConfirmed(t *testing.T) {
	n, addr := startNode(t, nil, requireListLease)
	conn := dialNode(t, addr)
	runOnLoop(n, func() { n.listFreshness.processStartedAt -= readyTimeout })
	if code, _, _ := conn.exchange(readyRequest); code != 503 {
		t.Errorf("nothing known: %d", code)
	}
	n.UpdateEndpoints(protocol.List{Revision: 1, Full: true}, false)
	runOnLoop(n, func() {})
	if code, _, _ := conn.exchange(readyRequest); code != 200 {
		t.Errorf("known to have none: %d", code)
	}
}

// An outdated answer is no evidence of what is current until discovery has confirmed it, and neither is one as of an unknown
// time. A discovery server that stays behind has been restarted with other revisions, and must not end the service.
func TestOutdatedListDoesNotRenewLease(t *testing.T) {
	n, _ := startNode(t, newTestBackend(t, serve).targets(), requireListLease)
	for _, step := range []struct {
		name  string
		known bool // as of when it was current
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
				t.Errorf("%s: current %v", step.name, current)
			}
		})
	}
}

// No health check is sent by a list that is not known to be current.
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
			t.Error("not checked by a current list")
		}
	})
}
