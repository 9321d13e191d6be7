package node

import (
	"errors"
	"io"
	"testing"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
	"tulipglade/internal/safety"
)

// leased has the node send nothing by a list of unknown age.
func leased(s *Settings) {
	s.Balancer.PollDiscovery, s.Balancer.PollInterval, s.Balancer.ListLease = true, 10_000_000, balancer.NotificationDeadline
	s.DrainGrace = 500_000
}

// A process that has just started takes clients once it has word of its list, whatever that is, or nobody could give it any for a while.
func TestReadyWithWordOfTheList(t *testing.T) {
	app := newApp(t, serve)
	for name, word := range map[string]func(*Node){
		"an answer": func(n *Node) { n.UpdateEndpoints(protocol.List{Rev: 1}, false) },
		"a refusal": func(n *Node) { n.DiscoveryCallFailed(errors.New("refused"), balancer.ListFailed, n.startedAt) },
		"no word": func(n *Node) {
			on(n, func() { n.listFreshness.processStartedAt -= readyTimeout })
		},
	} {
		t.Run(name, func(t *testing.T) {
			n, addr := start(t, app.targets(), leased)
			conn := dial(t, addr)
			if code, _, _ := conn.ask(ready); code != 503 {
				t.Errorf("before: %d", code)
			}
			word(n)
			on(n, func() {}) // it has been heard
			if code, _, _ := conn.ask(ready); code != 200 {
				t.Errorf("after: %d", code)
			}
			on(n, func() { n.balancer.ExpireListAt(n.now(), n.now()) })
			if code, _, _ := conn.ask(ready); code != 200 {
				t.Errorf("with a list that has become too old: %d", code)
			}
		})
	}
}

// An attempt that was held up between its check and its first byte is checked again: it goes out once it is not held up any more, and not at all if
// its backend drains by then.
func TestHeldUpAttemptIsCheckedAgain(t *testing.T) {
	for name, drains := range map[string]bool{"still allowed": false, "its backend drains": true} {
		t.Run(name, func(t *testing.T) {
			app := newApp(t, serve)
			n, addr := start(t, app.targets(), nil)
			conn := dial(t, addr)
			conn.ask(text("read", 9000))
			until(n, func() bool { return n.idleBackends.Len() == 1 && len(n.requests) == 0 }) // so that no connection is waited for
			ends := &endings{decisionModule: n.balancer}
			on(n, func() { n.balancer, n.testWriteDelay = ends, 2*maxWriteDelay })
			_, _ = io.WriteString(conn, text("once", 9000))
			until(n, func() bool { return len(n.requests) == 1 && n.requests[2].pendingAttempts == 1 })
			if !drains {
				on(n, func() { n.testWriteDelay = 0 })
				if code, body, _ := conn.answer(); code != 200 || body != "body of /once" {
					t.Errorf("%d %q", code, body)
				}
				return
			}
			targets := app.targets()
			targets[0].State = protocol.Terminating
			n.UpdateEndpoints(protocol.List{Rev: 1, Targets: targets}, false)
			until(n, func() bool { return len(ends.outcomes) > 0 })
			if ends.outcomes[0] != balancer.OutcomeNotSent || app.seen.Load() > 1 {
				t.Errorf("ended as %v, %d requests at the backend", ends.outcomes, app.seen.Load())
			}
		})
	}
}

// What must not happen is counted at the moment of the first byte, whatever decided it.
func TestFirstBytesAreAudited(t *testing.T) {
	n, _ := start(t, newApp(t, serve).targets(), leased)
	on(n, func() {
		now := n.now()
		h := &endpoint{address: "h"}
		r := &request{settings: n.settings, clientConn: &clientConn{node: n}, deadline: now + 1_000_000}
		a := &attempt{request: r, endpoint: h, deadline: r.deadline}
		fine := firstByte{writtenAt: now, statedTimeout: 1_000_000, listExpiresAt: now}
		for _, c := range []struct {
			name   string
			change func(*firstByte)
			want   safety.Reason
		}{
			{"as it should be", func(*firstByte) {}, safety.Allowed},
			{"backend left", func(*firstByte) { h.outOfServiceSince = now - n.settings.DrainGrace - auditSlack - 1 }, safety.BackendDraining},
			{"list too old", func(f *firstByte) { f.listExpiresAt = now - n.settings.DrainGrace - auditSlack - 1 }, safety.ListStale},
			{"client gone", func(*firstByte) { r.clientConn.disconnectedAt.Store(now - maxDisconnectDelay - 1) }, safety.ClientDisconnected},
			{"more time than is left", func(f *firstByte) { f.statedTimeout += deadlineSlack + 1 }, safety.DeadlinePassed},
		} {
			clear(n.violations)
			h.outOfServiceSince = 0
			r.clientConn.disconnectedAt.Store(0)
			f := fine
			c.change(&f)
			n.audit(a, f)
			if want := map[safety.Reason]int{c.want: 1}; c.want == safety.Allowed && len(n.violations) > 0 || c.want != safety.Allowed && n.violations[c.want] != want[c.want] {
				t.Errorf("%s: counted %v", c.name, n.violations)
			}
		}
		clear(n.violations)
	})
}

// The answer of a discovery that is behind says nothing of what is current, unless discovery has moved: another's versions may be lower. One that goes on
// to be behind has been restarted with other versions, and must not end the service.
func TestOldAnswerRenewsNoLease(t *testing.T) {
	n, _ := start(t, newApp(t, serve).targets(), leased)
	n.UpdateEndpoints(protocol.List{Rev: 9}, false)
	on(n, func() { n.balancer.ExpireListAt(n.now(), n.now()) })
	for _, step := range []struct {
		name string
		do   func()
		want bool
	}{
		{"behind", func() { n.UpdateEndpoints(protocol.List{Rev: 8}, false) }, false},
		{"behind again", func() { n.UpdateEndpoints(protocol.List{Rev: 8}, false) }, true},
		{"run out", func() { on(n, func() { n.balancer.ExpireListAt(n.now(), n.now()) }) }, false},
		{"up to date in between", func() { n.UpdateEndpoints(protocol.List{Rev: 9}, false) }, true},
		{"run out again", func() { on(n, func() { n.balancer.ExpireListAt(n.now(), n.now()) }) }, false},
		{"behind once more", func() { n.UpdateEndpoints(protocol.List{Rev: 8}, false) }, false},
		{"the same", func() { n.UpdateEndpoints(protocol.List{Rev: 9}, false) }, true},
		{"moved", func() { n.DiscoveryAddressChanged(0) }, false},
		{"lower versions there", func() { n.UpdateEndpoints(protocol.List{Rev: 1}, false) }, true},
	} {
		step.do()
		on(n, func() {
			if current, _ := n.balancer.ListCurrent(n.now()); current != step.want {
				t.Errorf("%s: current %v", step.name, current)
			}
		})
	}
}

// No probe goes out by a list of unknown age either.
func TestNoProbeByAnOldList(t *testing.T) {
	n, _ := start(t, newApp(t, serve).targets(), func(s *Settings) {
		leased(s)
		s.Balancer.AllowHealthChecks = true
	})
	on(n, func() {
		if n.CheckHealth(1); n.endpoints[1].pendingDials > 0 {
			t.Error("probed")
		}
	})
	n.UpdateEndpoints(protocol.List{Rev: 1}, false)
	on(n, func() {
		if n.CheckHealth(1); n.endpoints[1].pendingDials != 1 {
			t.Error("not probed by a list that is current")
		}
	})
}
