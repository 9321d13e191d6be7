package balancer

import (
	"testing"

	"tulipglade/internal/safety"
)

// leasedConfig are settings under which nothing is sent by a list of unknown age.
func leasedConfig() Config {
	cfg := testConfig()
	cfg.ListLease, cfg.PollDiscovery = NotificationDeadline, true
	return cfg
}

// Nothing is sent by a list of which nothing is known but that it was once so. A request waits for word, and goes out as that comes.
func TestNothingIsSentByListOfUnknownAge(t *testing.T) {
	for name, word := range map[string]ListKind{"an answer": ListDelta, "a refusal": ListFailed, "too many callers": ListOverloaded,
		"no answer to the first call": ListTimeout} {
		node := startNode(t, leasedConfig(), testEndpoints(4)...)
		node.request(1, 0, 0)
		node.advance(20 * ms)
		if len(node.attempts[1]) > 0 {
			t.Errorf("%s: sent before it", name)
		}
		node.balancer.HandleEndpointsAsOf(node.now, node.now, word, nil)
		if len(node.attempts[1]) != 1 {
			t.Errorf("%s: %d attempts behind it", name, len(node.attempts[1]))
		}
	}
}

// An answer lets requests be sent for as long as a change may take to count as notified, from the time as of which it held; so does no list of
// the configuration's, and no watch that has fallen silent.
func TestListLeaseEndsAndIsRenewed(t *testing.T) {
	node := startNode(t, leasedConfig(), testEndpoints(4)...)
	receivedAt := node.now
	node.balancer.HandleEndpointsAsOf(node.now, receivedAt, ListDelta, nil)
	sent := func(id RequestID) bool {
		node.request(id, 0, 0)
		defer node.balancer.HandleCancellation(node.now, id)
		return len(node.attempts[id]) > 0
	}
	node.advance(NotificationDeadline - 10*ms)
	if !sent(1) {
		t.Error("not sent while the lease holds")
	}
	node.balancer.HandleEndpointsAsOf(node.now, node.now, ListTimeout, nil)
	node.balancer.HandleEndpointsAsOf(node.now, node.now, ListCached, testEndpoints(4))
	if node.advance(receivedAt + NotificationDeadline - node.now); sent(2) {
		t.Error("sent after the end of the lease")
	}
	if current, until := node.balancer.ListCurrent(node.now); current || until != receivedAt+NotificationDeadline {
		t.Errorf("current %v, until %d", current, until)
	}
	if node.balancer.HandleEndpointsAsOf(node.now, node.now, ListFailed, nil); !sent(3) {
		t.Error("not sent though nothing newer could be had")
	}
	node.balancer.ExpireListAt(node.now, node.now+100*ms)
	if node.advance(100 * ms); sent(4) {
		t.Error("sent by what was heard before a move of discovery")
	}
}

// An attempt that has waited for its connection is not begun by a list that has become too old meanwhile.
func TestAttemptDoesNotStartByStaleList(t *testing.T) {
	cfg := leasedConfig()
	cfg.Classes[0].LatencyObjective, cfg.Classes[0].Deadline = 2*NotificationDeadline, 2*NotificationDeadline
	node := startNode(t, cfg, testEndpoints(4)...)
	node.balancer.HandleEndpointsAsOf(node.now, node.now, ListDelta, nil)
	if node.request(1, 0, 0); len(node.attempts[1]) != 1 {
		t.Fatal("not sent")
	}
	if why := node.balancer.MayStartAttempt(node.now, 1, 0); why != safety.Allowed {
		t.Error(why)
	}
	if why := node.balancer.MayStartAttempt(node.now+NotificationDeadline, 1, 0); why != safety.ListStale {
		t.Errorf("%v, want %v", why, safety.ListStale)
	}
}

// Where nothing is sent before the answer, hundreds that start together call within half a second, and again within 3 s after having been turned away:
// a list that is not asked for is too old before it is told.
func TestCallsComeBeforeListIsStale(t *testing.T) {
	cfg := leasedConfig()
	cfg.PeerCount = 300
	for seed := range uint64(50) {
		node := startNodeWithSeed(t, seed, cfg, testEndpoints(4)...)
		began := node.now
		node.advance(NotificationDeadline)
		if node.watchCalls == 0 || node.firstWatchAt-began > NotificationDeadline/12 {
			t.Fatalf("seed %d: first call after %d us", seed, node.firstWatchAt-began)
		}
		node.balancer.HandleEndpointsAsOf(node.now, node.now, ListOverloaded, nil)
		node.watchCalls = 0
		if node.advance(NotificationDeadline/2 + 10*ms); node.watchCalls == 0 {
			t.Fatalf("seed %d: no call %d us after too many callers", seed, NotificationDeadline/2)
		}
	}
}

// Another process goes on with what is left of the lease on the list that it takes over, less what the hand-over may have taken.
func TestListLeaseIsHandedOver(t *testing.T) {
	node := startNode(t, leasedConfig(), testEndpoints(4)...)
	node.balancer.HandleEndpointsAsOf(node.now, node.now, ListDelta, nil)
	receivedAt := node.now
	node.advance(1000 * ms)
	next := startNode(t, leasedConfig(), testEndpoints(4)...)
	next.advance(node.now - next.now)
	next.balancer.ImportState(next.now, node.balancer.ExportState(node.now))
	if _, until := next.balancer.ListCurrent(next.now); until != receivedAt+NotificationDeadline-maxHandoffDuration {
		t.Errorf("until %d us after it was heard", until-receivedAt)
	}
	late := startNode(t, leasedConfig(), testEndpoints(4)...)
	for _, left := range []Span{0, -1, maxHandoffDuration, NotificationDeadline + 1} {
		if late.balancer.ImportState(late.now, Learned{ListLeaseLeft: left}); late.balancer.listLease.Valid(late.now) {
			t.Errorf("%d us left are taken for a lease", left)
		}
	}
}
