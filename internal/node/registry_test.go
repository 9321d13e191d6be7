package node

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
	"tulipglade/internal/staleness"
)

// Rule 3: from the moment at which the node is notified, an endpoint that drains or was removed gets no new request.
func TestDrainingEndpointGetsNothing(t *testing.T) {
	a, b := newTestBackend(t, serve), newTestBackend(t, serve)
	n, addr := startNode(t, []protocol.Target{targetOf("a", a), targetOf("b", b)}, nil)
	conn := dialNode(t, addr)
	for range 20 {
		conn.exchange(requestText("read", 9000))
	}
	if a.requestCount.Load() == 0 || b.requestCount.Load() == 0 {
		t.Fatalf("%d and %d requests: an endpoint is not used", a.requestCount.Load(), b.requestCount.Load())
	}
	for _, state := range []protocol.State{protocol.Terminating, protocol.Terminated} {
		changed := targetOf("a", a)
		changed.State = state
		n.UpdateEndpoints(protocol.List{Revision: 2, Targets: []protocol.Target{changed}}, false)
		before := a.requestCount.Load()
		for range 20 {
			if code, _, _ := conn.exchange(requestText("read", 9000)); code != 200 {
				t.Fatal(code)
			}
		}
		if a.requestCount.Load() != before {
			t.Errorf("state %d: %d requests after the notification", state, a.requestCount.Load()-before)
		}
	}
}

// Rule 4: the start time of a backend reaches the balancer, so that an endpoint in slow start gets fewer requests
// than a warm one.
func TestWarmingEndpointGetsReducedLoad(t *testing.T) {
	warm, warming := newTestBackend(t, serve), newTestBackend(t, serve)
	c := targetOf("cold", warming)
	c.BootMs = time.Now().UnixMilli()
	_, addr := startNode(t, []protocol.Target{targetOf("warm", warm), c}, func(s *Settings) {
		s.Balancer.SlowStartInitial, s.Balancer.SlowStartDuration = 0.1, 60_000_000
		s.Balancer.OverloadFactor, s.Balancer.OverloadWindow = 3, 3_000_000
	})
	conn := dialNode(t, addr)
	for range 100 {
		if code, _, _ := conn.exchange(requestText("read", 9000)); code != 200 {
			t.Fatal(code)
		}
	}
	if warming.requestCount.Load() > 20 || warm.requestCount.Load()+warming.requestCount.Load() != 100 {
		t.Errorf("the warming endpoint got %d requests and the warm one %d, want at most 20 and the rest of 100",
			warming.requestCount.Load(), warm.requestCount.Load())
	}
}

// Rollouts replace every backend many times, sometimes at the address of a removed one. Each backend is an endpoint
// of its own, and the state of removed ones is deleted after endpointRetention. Guards against a registry that grows
// with every rollout.
func TestRemovedEndpointsAreDeleted(t *testing.T) {
	a := newTestBackend(t, serve)
	n, addr := startNode(t, nil, nil)
	conn := dialNode(t, addr)
	for i := range 200 {
		fresh := targetOf(fmt.Sprint("s-", i), a)
		removed := targetOf(fmt.Sprint("s-", i-1), a)
		removed.State = protocol.Terminated
		n.UpdateEndpoints(protocol.List{Revision: int64(i + 1), Targets: []protocol.Target{fresh, removed}}, false)
		if code, _, _ := conn.exchange(requestText("once", 9000)); code != 200 {
			t.Fatal(code)
		}
	}
	if got := a.connectionCount(); got != 200 {
		t.Errorf("%d connections for 200 endpoints at one address, want 200", got)
	}
	runOnLoop(n, func() {
		n.deleteExpiredEndpoints()
		if len(n.endpoints) != 200 {
			t.Errorf("%d endpoints, want 200: an outdated list may still contain the removed ones", len(n.endpoints))
		}
		for _, ep := range n.endpoints {
			ep.removedAt -= min(ep.removedAt, endpointRetention)
		}
		n.deleteExpiredEndpoints()
		if len(n.endpoints) != 1 || len(n.endpointsByUID) != 1 || n.idleBackends.Len() > 1 {
			t.Errorf("%d endpoints, %d by UID, %d idle connections, want 1, 1 and at most 1", len(n.endpoints), len(n.endpointsByUID), n.idleBackends.Len())
		}
	})
}

// A discovery server that has just taken over may be behind. Its list adds endpoints and drains those that it reports
// as draining or leaves out, but it restores no endpoint that is known to drain or to have been removed. A later list
// that is in order is applied in full.
func TestOutdatedListDoesNotRestoreEndpoints(t *testing.T) {
	a := newTestBackend(t, serve)
	entry := func(uid string, state protocol.State, boot int64) protocol.Target {
		e := targetOf(uid, a)
		e.State, e.BootMs = state, boot
		return e
	}
	n, _ := startNode(t, nil, nil)
	runOnLoop(n, func() {
		n.applyEndpointList(protocol.List{Revision: 10, Full: true, Targets: []protocol.Target{
			entry("newer", 0, 5),
			entry("removed", 0, 5),
			entry("draining", protocol.Terminating, 5),
			entry("starts draining", 0, 5),
			entry("unlisted", 0, 5),
		}}, balancer.ListFull, staleness.InOrder)
		removal := []protocol.Target{entry("removed", protocol.Terminated, 5)}
		n.applyEndpointList(protocol.List{Revision: 11, Targets: removal}, balancer.ListDelta, staleness.InOrder)
		outdated := protocol.List{Revision: 9, Full: true, Targets: []protocol.Target{
			entry("newer", protocol.Terminated, 4),
			entry("removed", 0, 5),
			entry("draining", 0, 5),
			entry("starts draining", protocol.Terminating, 5),
			entry("new", 0, 6),
		}}
		got, kind := n.applyEndpointList(outdated, balancer.ListFull, staleness.Behind)
		key := xxhash.Sum64String
		want := []balancer.Endpoint{
			{ID: 4, StableKey: key("starts draining"), Phase: balancer.PhaseDraining, Weight: 1, StartedAt: 5000},
			{ID: 6, StableKey: key("new"), Phase: balancer.PhaseReady, Weight: 1, StartedAt: 6000},
			{ID: 5, StableKey: key("unlisted"), Phase: balancer.PhaseDraining, Weight: 1, StartedAt: 5000},
		}
		if diff := cmp.Diff(want, got); diff != "" || kind != balancer.ListDelta || n.listRevision != 11 {
			t.Errorf("kind %d, revision %d\n%s", kind, n.listRevision, diff)
		}
		n.endpointsByUID["removed"].removedAt = n.now() - endpointRetention // long enough ago to be deleted
		if n.deleteExpiredEndpoints(); n.endpointsByUID["removed"] != nil {
			t.Error("the removed endpoint is not deleted")
		}
		restored := []protocol.Target{entry("removed", 0, 5)}
		got, _ = n.applyEndpointList(protocol.List{Revision: 9, Targets: restored}, balancer.ListDelta, staleness.BehindConfirmed)
		if len(got) != 0 {
			t.Errorf("a list that is behind restores a deleted endpoint: %v", got)
		}
		if got, kind = n.applyEndpointList(protocol.List{Revision: 9, Full: true, Targets: restored}, balancer.ListFull, staleness.InOrder); len(got) != 1 ||
			got[0].Phase != balancer.PhaseReady || kind != balancer.ListFull || n.listRevision != 9 {
			t.Errorf("a list that is in order: %v, kind %d, revision %d", got, kind, n.listRevision)
		}
		if n.endpointsByUID["unlisted"].removedAt == 0 {
			t.Error("an endpoint that the full list leaves out is not removed")
		}
	})
}

// A backend whose entry cannot be read gets no new attempt until a list has a readable entry for it. A backend that
// is not known is not added.
func TestEndpointOfUnreadableEntryDrains(t *testing.T) {
	a := newTestBackend(t, serve)
	n, _ := startNode(t, []protocol.Target{targetOf("a", a), targetOf("b", a)}, nil)
	runOnLoop(n, func() {
		list := protocol.List{Revision: 2, Full: true, Targets: []protocol.Target{
			{UID: "a", State: protocol.Unknown}, targetOf("b", a), {UID: "c", State: protocol.Unknown},
		}}
		got, _ := n.applyEndpointList(list, balancer.ListFull, staleness.InOrder)
		if len(got) != 2 || got[0].Phase != balancer.PhaseDraining || got[1].Phase != balancer.PhaseReady || len(n.endpoints) != 2 {
			t.Errorf("%v, %d endpoints", got, len(n.endpoints))
		}
		ep := n.endpointsByUID["a"]
		if ep.outOfServiceSince == 0 || ep.address != targetOf("a", a).Endpoint || ep.removedAt > 0 {
			t.Errorf("out of service since %d, at %s, removed at %d", ep.outOfServiceSince, ep.address, ep.removedAt)
		}
		got, _ = n.applyEndpointList(protocol.List{Revision: 3, Targets: []protocol.Target{targetOf("a", a)}}, balancer.ListDelta, staleness.InOrder)
		if len(got) != 1 || got[0].Phase != balancer.PhaseReady || ep.outOfServiceSince != 0 {
			t.Errorf("after a list with a readable entry: %v", got)
		}
	})
}

// If an endpoint drains while a connection to it carries an attempt, the connection is closed after the answer,
// because it will not be needed again.
func TestDrainingEndpointConnectionClosesAfterAnswer(t *testing.T) {
	a, arrived, release := newBlockedBackend(t)
	n, addr := startNode(t, []protocol.Target{targetOf("a", a)}, nil)
	conn := dialNode(t, addr)
	_, _ = io.WriteString(conn, requestText("once", 9000))
	<-arrived
	e := targetOf("a", a)
	e.State = protocol.Terminating
	n.UpdateEndpoints(protocol.List{Revision: 2, Targets: []protocol.Target{e}}, false)
	runOnLoop(n, func() {})
	close(release)
	if code, _, _ := conn.readAnswer(); code != 200 {
		t.Error(code)
	}
	waitUntil(n, func() bool { return n.openDescriptors == 1 || n.idleBackends.Len() > 0 })
	runOnLoop(n, func() {
		if n.idleBackends.Len() > 0 {
			t.Error("the connection is pooled")
		}
	})
}

// A restarted backend gets new connections: a request on a connection to its earlier process would end in a reset.
func TestRestartedEndpointGetsNewConnections(t *testing.T) {
	a := newTestBackend(t, serve)
	n, addr := startNode(t, []protocol.Target{targetOf("a", a)}, nil)
	conn := dialNode(t, addr)
	conn.exchange(requestText("read", 9000))
	restarted := targetOf("a", a)
	restarted.BootMs = 1000
	n.UpdateEndpoints(protocol.List{Revision: 2, Targets: []protocol.Target{restarted}}, false)
	conn.exchange(requestText("read", 9000))
	if got := a.connectionCount(); got != 2 {
		t.Errorf("%d connections, want 2", got)
	}
}

// A node with descriptors for half as many serves 1,024 endpoints while they are listed, used, all replaced at once
// and reconfigured.
func TestManyEndpoints(t *testing.T) {
	const endpointCount = 1024
	a := newTestBackend(t, serve)
	list := func(prefix string, state protocol.State) (targets []protocol.Target) {
		for i := range endpointCount {
			target := targetOf(fmt.Sprint(prefix, i), a)
			target.State = state
			targets = append(targets, target)
		}
		return targets
	}
	n, addr := startNode(t, list("old", protocol.InService), func(s *Settings) {
		s.MaxDescriptors, s.Balancer.PeerCount, s.Balancer.PeerIndex = 512, endpointCount, endpointCount-1
	})
	conn := dialNode(t, addr)
	sendRequests := func() {
		t.Helper()
		for range 100 {
			if code, _, _ := conn.exchange(requestText("read", 9000)); code != 200 {
				t.Fatal(code)
			}
		}
	}
	sendRequests()
	n.UpdateEndpoints(protocol.List{Revision: 2, Targets: append(list("new", protocol.InService), list("old", protocol.Terminating)...)}, false)
	n.UpdateEndpoints(protocol.List{Revision: 3, Targets: list("old", protocol.Terminated)}, false)
	sendRequests()
	runOnLoop(n, func() {
		listed := 0
		for _, ep := range n.endpoints {
			if ep.removedAt == 0 {
				listed++
			}
			if ep.removedAt > 0 && len(ep.idleConns)+len(ep.waitingAttempts)+ep.pendingDials > 0 {
				t.Errorf("endpoint %d is removed and still has connections or waiting attempts", ep.id)
			}
		}
		if listed != endpointCount {
			t.Errorf("%d endpoints are listed, want only the new ones", listed)
		}
	})
	changed := *n.settings
	changed.Balancer.MaxAttempts = 2
	n.Reconfigure(changed)
	sendRequests()
}
