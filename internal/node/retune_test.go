package node

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// retuned has a node take up its own settings, changed.
func retuned(n *Node, change func(*Settings)) {
	done := make(chan struct{})
	n.post(func() {
		set := Settings{ConnectTimeout: n.settings.ConnectTimeout, Keepalive: n.settings.Keepalive, OverdueGrace: n.settings.OverdueGrace, Zones: n.settings.Zones,
			Balancer: n.settings.Balancer}
		set.Balancer.Classes, set.Balancer.Tenants = nil, nil
		for _, name := range []string{"read", "once", "keyed"} {
			if i, ok := n.classIndex[name]; ok {
				set.Classes = append(set.Classes, name)
				set.Balancer.Classes = append(set.Balancer.Classes, n.settings.Balancer.Classes[i])
			}
		}
		set.Tenants, set.Balancer.Tenants = []string{"t"}, []balancer.Tenant{{QuotaFraction: 1}}
		change(&set)
		n.applySettings(set)
		close(done)
	})
	<-done
}

// first answers the first request as told, and serves the others.
func first(h http.HandlerFunc) (http.HandlerFunc, *atomic.Int32) {
	var seen atomic.Int32
	return func(w http.ResponseWriter, r *http.Request) {
		if seen.Add(1) == 1 {
			h(w, r)
			return
		}
		serve(w, r)
	}, &seen
}

// A ride-start that is out as its class is dropped, and added again as one that may be repeated, is not sent again; a new
// one is. Its number comes free only with its last request.
func TestClassChangesUnderItsRequests(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	h, seen := first(func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-release
		reset("")(w, r)
	})
	n, addr := start(t, []protocol.Target{target("a", newApp(t, h)), target("b", newApp(t, h))}, nil)
	old := dial(t, addr)
	_, _ = io.WriteString(old, text("once", 9000))
	<-arrived
	drop := func(s *Settings) {
		s.Classes = append(s.Classes[:1:1], s.Classes[2:]...)
		s.Balancer.Classes = append(s.Balancer.Classes[:1:1], s.Balancer.Classes[2:]...)
	}
	retuned(n, drop)
	if code, _, closing := dial(t, addr).ask(text("once", 9000)); code != 400 || !closing {
		t.Errorf("a class that was dropped: %d, closing %v", code, closing)
	}
	add := func(s *Settings) {
		s.Classes = append(s.Classes, "once")
		s.Balancer.Classes = append(s.Balancer.Classes, balancer.Class{LatencyObjective: 10_000_000, Deadline: 10_000_000})
	}
	retuned(n, add)
	until(n, func() bool {
		if diff := cmp.Diff([]string{"read", "once", "keyed", "once"}, n.settings.Classes); diff != "" || n.classIndex["once"] != 3 {
			t.Error(diff, n.classIndex)
		}
		return true
	})
	close(release)
	if code, _, _ := old.answer(); code != 502 || seen.Load() != 1 {
		t.Errorf("under the old rules: %d after %d attempts", code, seen.Load())
	}
	seen.Store(0) // the next one meets a reset as well
	go func() { <-arrived }()
	if code, _, _ := dial(t, addr).ask(text("once", 9000)); code != 200 || seen.Load() != 2 {
		t.Errorf("under the new rules: %d after %d attempts", code, seen.Load())
	}
	until(n, func() bool { return len(n.requests) == 0 })
	retuned(n, func(s *Settings) {})
	until(n, func() bool {
		if diff := cmp.Diff([]string{"read", "once", "keyed", "once"}, n.settings.Classes); diff != "" {
			t.Error(diff)
		}
		return true
	})
	retuned(n, drop)
	until(n, func() bool {
		if len(n.settings.Classes) != 3 {
			t.Errorf("numbers are kept for nobody: %v", n.settings.Classes)
		}
		return true
	})
}

// Attempts reduced below what an open request has used do not end it, and new requests have the new number.
func TestFewerAttempts(t *testing.T) {
	var seen atomic.Int32
	arrived, release := make(chan struct{}), make(chan struct{})
	h := func(w http.ResponseWriter, r *http.Request) {
		switch seen.Add(1) {
		case 2:
			arrived <- struct{}{}
			<-release
			status(500)(w, r)
		case 3:
			serve(w, r)
		default:
			status(500)(w, r)
		}
	}
	n, addr := start(t, []protocol.Target{target("a", newApp(t, h)), target("b", newApp(t, h)), target("c", newApp(t, h))}, nil)
	old := dial(t, addr)
	_, _ = io.WriteString(old, text("read", 9000))
	<-arrived
	retuned(n, func(s *Settings) { s.Balancer.MaxAttempts = 1 })
	close(release)
	if code, _, _ := old.answer(); code != 200 || seen.Load() != 3 {
		t.Errorf("by the old number: %d after %d attempts", code, seen.Load())
	}
	if code, _, _ := dial(t, addr).ask(text("read", 9000)); code != 503 || seen.Load() != 4 {
		t.Errorf("by the new one: %d after %d attempts", code, seen.Load()-3)
	}
}

// Settings that change again and again under load: each request is answered, and the table of classes does not grow.
func TestRetuneUnderLoad(t *testing.T) {
	n, addr := start(t, []protocol.Target{target("a", newApp(t, serve)), target("b", newApp(t, serve))}, nil)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	var served atomic.Int64
	for _, class := range []string{"read", "once", "read", "keyed"} {
		wait.Add(1)
		c := dial(t, addr)
		go func() {
			defer wait.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				if _, err := io.WriteString(c, text(class, 9000)); err != nil {
					t.Error(err)
					return
				}
				if code, _, _ := c.answer(); code != 200 {
					t.Errorf("%s: %d", class, code)
					return
				}
				served.Add(1)
			}
		}()
	}
	for turn := range 50 {
		retuned(n, func(s *Settings) {
			s.Balancer.Classes[0].LatencyObjective = int64(9_000_000 + turn)
			s.Balancer.MaxAttempts = 1 + turn%3
		})
		for before := served.Load(); served.Load() < before+4 && !t.Failed(); {
			n.post(func() {})
		}
	}
	close(stop)
	wait.Wait()
	until(n, func() bool {
		if len(n.settings.Classes) > 6 {
			t.Errorf("%d classes: %s", len(n.settings.Classes), strings.Join(n.settings.Classes, " "))
		}
		return true
	})
}

// Where tenants come to be told apart, or no longer are, while requests are open, nobody goes on under the number of those: their shares and
// what is in flight for them are their own.
func TestTenantsAreToldApartUnderOpenRequests(t *testing.T) {
	app, arrived, release := newHeldApp(t)
	n, addr := start(t, []protocol.Target{target("a", app)}, func(s *Settings) { s.Tenants, s.Balancer.Tenants = nil, nil })
	conns := []*caller{dial(t, addr), dial(t, addr), dial(t, addr)}
	of := func(k int, change func(*Settings)) {
		if k > 0 {
			retuned(n, change)
		}
		_, _ = io.WriteString(conns[k], strings.Replace(text("read", 9000), "X-Customer: t", "X-Customer: "+[]string{"any", "t", "any"}[k], 1))
		<-arrived
	}
	of(0, nil)
	of(1, func(*Settings) {})
	of(2, func(s *Settings) { s.Tenants, s.Balancer.Tenants = nil, nil })
	on(n, func() {
		names := map[int]string{}
		for _, r := range n.requests {
			names[r.tenant] += r.settings.Tenants[r.tenant] + ","
		}
		if diff := cmp.Diff(map[int]string{0: ",", 1: "t,", 2: ","}, names); diff != "" {
			t.Error("tenants by number\n", diff)
		}
	})
	close(release)
	for _, c := range conns {
		if code, _, _ := c.answer(); code != 200 {
			t.Error(code)
		}
	}
	retuned(n, func(*Settings) {})
	if code, _, _ := dial(t, addr).ask(strings.Replace(text("read", 9000), "X-Customer: t", "X-Customer: any", 1)); code != 400 {
		t.Errorf("an unknown tenant got %d", code)
	}
}
