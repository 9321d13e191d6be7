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

// If a class is removed and added again as an idempotent one while a request of it is open, that request must keep the
// old rules and not be retried, whereas a new request is retried. The class's old number must stay reserved until the
// class has no open request any more.
func TestClassChangeWithOpenRequests(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	handler, attempts := handleFirst(func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-release
		closeAfterSending("")(w, r)
	})
	n, addr := startNode(t, []protocol.Target{targetOf("a", newTestBackend(t, handler)), targetOf("b", newTestBackend(t, handler))}, nil)
	client := dialNode(t, addr)
	_, _ = io.WriteString(client, requestText("once", 9000))
	<-arrived
	removeClass := func(s *Settings) {
		s.Classes = append(s.Classes[:1:1], s.Classes[2:]...)
		s.Balancer.Classes = append(s.Balancer.Classes[:1:1], s.Balancer.Classes[2:]...)
	}
	reconfigureNode(n, removeClass)
	if code, _, closing := dialNode(t, addr).exchange(requestText("once", 9000)); code != 400 || !closing {
		t.Errorf("a request of a removed class: %d, closing %v", code, closing)
	}
	addClass := func(s *Settings) {
		s.Classes = append(s.Classes, "once")
		s.Balancer.Classes = append(s.Balancer.Classes, balancer.Class{LatencyObjective: 10_000_000, Deadline: 10_000_000})
	}
	reconfigureNode(n, addClass)
	waitUntil(n, func() bool {
		if diff := cmp.Diff([]string{"read", "once", "keyed", "once"}, n.settings.Classes); diff != "" || n.classIndex["once"] != 3 {
			t.Error(diff, n.classIndex)
		}
		return true
	})
	close(release)
	if code, _, _ := client.readAnswer(); code != 502 || attempts.Load() != 1 {
		t.Errorf("a request under the old rules: %d after %d attempts", code, attempts.Load())
	}
	attempts.Store(0) // the next request is reset as well
	go func() { <-arrived }()
	if code, _, _ := dialNode(t, addr).exchange(requestText("once", 9000)); code != 200 || attempts.Load() != 2 {
		t.Errorf("a request under the new rules: %d after %d attempts", code, attempts.Load())
	}
	waitUntil(n, func() bool { return len(n.requests) == 0 })
	reconfigureNode(n, func(*Settings) {})
	waitUntil(n, func() bool {
		if diff := cmp.Diff([]string{"read", "once", "keyed", "once"}, n.settings.Classes); diff != "" {
			t.Error(diff)
		}
		return true
	})
	reconfigureNode(n, removeClass)
	waitUntil(n, func() bool {
		if len(n.settings.Classes) != 3 {
			t.Errorf("unused numbers are kept: %v", n.settings.Classes)
		}
		return true
	})
}

// If the maximum number of attempts is reduced below the number that an open request has used, the request must keep
// the old maximum. The new one applies to new requests.
func TestReducedMaxAttempts(t *testing.T) {
	var attempts atomic.Int32
	arrived, release := make(chan struct{}), make(chan struct{})
	handler := func(w http.ResponseWriter, r *http.Request) {
		switch attempts.Add(1) {
		case 2:
			arrived <- struct{}{}
			<-release
			respondWith(500)(w, r)
		case 3:
			serve(w, r)
		default:
			respondWith(500)(w, r)
		}
	}
	var targets []protocol.Target
	for _, uid := range []string{"a", "b", "c"} {
		targets = append(targets, targetOf(uid, newTestBackend(t, handler)))
	}
	n, addr := startNode(t, targets, nil)
	client := dialNode(t, addr)
	_, _ = io.WriteString(client, requestText("read", 9000))
	<-arrived
	reconfigureNode(n, func(s *Settings) { s.Balancer.MaxAttempts = 1 })
	close(release)
	if code, _, _ := client.readAnswer(); code != 200 || attempts.Load() != 3 {
		t.Errorf("a request under the old maximum: %d after %d attempts", code, attempts.Load())
	}
	if code, _, _ := dialNode(t, addr).exchange(requestText("read", 9000)); code != 503 || attempts.Load() != 4 {
		t.Errorf("a request under the new maximum: %d after %d attempts", code, attempts.Load()-3)
	}
}

// While settings change repeatedly under load, each request must be answered, and the numbers of classes must not
// increase without bound.
func TestReconfigureUnderLoad(t *testing.T) {
	n, addr := startNode(t, []protocol.Target{targetOf("a", newTestBackend(t, serve)), targetOf("b", newTestBackend(t, serve))}, nil)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var served atomic.Int64
	for _, class := range []string{"read", "once", "read", "keyed"} {
		wg.Add(1)
		client := dialNode(t, addr)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				if _, err := io.WriteString(client, requestText(class, 9000)); err != nil {
					t.Error(err)
					return
				}
				if code, _, _ := client.readAnswer(); code != 200 {
					t.Errorf("%s: %d", class, code)
					return
				}
				served.Add(1)
			}
		}()
	}
	for round := range 50 {
		reconfigureNode(n, func(s *Settings) {
			s.Balancer.Classes[0].LatencyObjective = int64(9_000_000 + round)
			s.Balancer.MaxAttempts = 1 + round%3
		})
		for before := served.Load(); served.Load() < before+4 && !t.Failed(); {
			n.post(func() {})
		}
	}
	close(stop)
	wg.Wait()
	waitUntil(n, func() bool {
		if len(n.settings.Classes) > 6 {
			t.Errorf("%d numbers of classes are in use: %s", len(n.settings.Classes), strings.Join(n.settings.Classes, " "))
		}
		return true
	})
}

// If tenants are added to the settings or removed while requests are open, no tenant must get the number of a tenant of
// open requests: otherwise their quotas and requests in flight would be counted together.
func TestTenantsChangeWithOpenRequests(t *testing.T) {
	backend, arrived, release := newBlockedBackend(t)
	n, addr := startNode(t, []protocol.Target{targetOf("a", backend)}, func(s *Settings) { s.Tenants, s.Balancer.Tenants = nil, nil })
	conns := []*testClient{dialNode(t, addr), dialNode(t, addr), dialNode(t, addr)}
	sendAfter := func(i int, change func(*Settings)) {
		if i > 0 {
			reconfigureNode(n, change)
		}
		tenant := []string{"any", "t", "any"}[i]
		_, _ = io.WriteString(conns[i], strings.Replace(requestText("read", 9000), "X-Customer: t", "X-Customer: "+tenant, 1))
		<-arrived
	}
	sendAfter(0, nil)
	sendAfter(1, func(*Settings) {})
	sendAfter(2, func(s *Settings) { s.Tenants, s.Balancer.Tenants = nil, nil })
	runOnLoop(n, func() {
		names := map[int]string{}
		for _, req := range n.requests {
			names[req.tenant] += req.settings.Tenants[req.tenant] + ","
		}
		if diff := cmp.Diff(map[int]string{0: ",", 1: "t,", 2: ","}, names); diff != "" {
			t.Error("tenants by number\n", diff)
		}
	})
	close(release)
	for _, conn := range conns {
		if code, _, _ := conn.readAnswer(); code != 200 {
			t.Error(code)
		}
	}
	reconfigureNode(n, func(*Settings) {})
	unknownTenant := strings.Replace(requestText("read", 9000), "X-Customer: t", "X-Customer: any", 1)
	if code, _, _ := dialNode(t, addr).exchange(unknownTenant); code != 400 {
		t.Errorf("a request of an unknown tenant: %d", code)
	}
}
