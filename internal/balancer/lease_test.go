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
		g := startNode(t, leasedConfig(), testEndpoints(4)...)
		g.request(1, 0, 0)
		g.advance(20 * ms)
		if len(g.attempts[1]) > 0 {
			t.Errorf("%s: sent before it", name)
		}
		g.balancer.HandleEndpointsAsOf(g.now, g.now, word, nil)
		if len(g.attempts[1]) != 1 {
			t.Errorf("%s: %d attempts behind it", name, len(g.attempts[1]))
		}
	}
}

// An answer lets requests be sent for as long as a change may take to count as notified, from the time as of which it held; so does no list of
// the configuration's, and no watch that has fallen silent.
func TestListLeaseEndsAndIsRenewed(t *testing.T) {
	g := startNode(t, leasedConfig(), testEndpoints(4)...)
	heard := g.now
	g.balancer.HandleEndpointsAsOf(g.now, heard, ListDelta, nil)
	sent := func(id RequestID) bool {
		g.request(id, 0, 0)
		defer g.balancer.HandleCancellation(g.now, id)
		return len(g.attempts[id]) > 0
	}
	g.advance(NotificationDeadline - 10*ms)
	if !sent(1) {
		t.Error("not sent while the lease holds")
	}
	g.balancer.HandleEndpointsAsOf(g.now, g.now, ListTimeout, nil)
	g.balancer.HandleEndpointsAsOf(g.now, g.now, ListCached, testEndpoints(4))
	if g.advance(heard + NotificationDeadline - g.now); sent(2) {
		t.Error("sent after the end of the lease")
	}
	if current, until := g.balancer.ListCurrent(g.now); current || until != heard+NotificationDeadline {
		t.Errorf("current %v, until %d", current, until)
	}
	if g.balancer.HandleEndpointsAsOf(g.now, g.now, ListFailed, nil); !sent(3) {
		t.Error("not sent though nothing newer could be had")
	}
	g.balancer.ExpireListAt(g.now, g.now+100*ms)
	if g.advance(100 * ms); sent(4) {
		t.Error("sent by what was heard before a move of discovery")
	}
}

// An attempt that has waited for its connection is not begun by a list that has become too old meanwhile.
func TestAttemptDoesNotStartByStaleList(t *testing.T) {
	cfg := leasedConfig()
	cfg.Classes[0].LatencyObjective, cfg.Classes[0].Deadline = 2*NotificationDeadline, 2*NotificationDeadline
	g := startNode(t, cfg, testEndpoints(4)...)
	g.balancer.HandleEndpointsAsOf(g.now, g.now, ListDelta, nil)
	if g.request(1, 0, 0); len(g.attempts[1]) != 1 {
		t.Fatal("not sent")
	}
	if why := g.balancer.MayStartAttempt(g.now, 1, 0); why != safety.Allowed {
		t.Error(why)
	}
	if why := g.balancer.MayStartAttempt(g.now+NotificationDeadline, 1, 0); why != safety.ListStale {
		t.Errorf("%v, want %v", why, safety.ListStale)
	}
}

// Where nothing is sent before the answer, hundreds that start together call within half a second, and again within 3 s after having been turned away:
// a list that is not asked for is too old before it is told.
func TestCallsComeBeforeListIsStale(t *testing.T) {
	cfg := leasedConfig()
	cfg.PeerCount = 300
	for seed := range uint64(50) {
		g := startNodeWithSeed(t, seed, cfg, testEndpoints(4)...)
		began := g.now
		g.advance(NotificationDeadline)
		if g.watchCalls == 0 || g.firstWatchAt-began > NotificationDeadline/12 {
			t.Fatalf("seed %d: first call after %d us", seed, g.firstWatchAt-began)
		}
		g.balancer.HandleEndpointsAsOf(g.now, g.now, ListOverloaded, nil)
		g.watchCalls = 0
		if g.advance(NotificationDeadline/2 + 10*ms); g.watchCalls == 0 {
			t.Fatalf("seed %d: no call %d us after too many callers", seed, NotificationDeadline/2)
		}
	}
}

// Another process goes on with what is left of the lease on the list that it takes over, less what the hand-over may have taken.
func TestListLeaseIsHandedOver(t *testing.T) {
	g := startNode(t, leasedConfig(), testEndpoints(4)...)
	g.balancer.HandleEndpointsAsOf(g.now, g.now, ListDelta, nil)
	heard := g.now
	g.advance(1000 * ms)
	next := startNode(t, leasedConfig(), testEndpoints(4)...)
	next.advance(g.now - next.now)
	next.balancer.ImportState(next.now, g.balancer.ExportState(g.now))
	if _, until := next.balancer.ListCurrent(next.now); until != heard+NotificationDeadline-maxHandoffDuration {
		t.Errorf("until %d us after it was heard", until-heard)
	}
	late := startNode(t, leasedConfig(), testEndpoints(4)...)
	for _, left := range []Span{0, -1, maxHandoffDuration, NotificationDeadline + 1} {
		if late.balancer.ImportState(late.now, Learned{ListLeaseLeft: left}); late.balancer.listLease.Valid(late.now) {
			t.Errorf("%d us left are taken for a lease", left)
		}
	}
}
