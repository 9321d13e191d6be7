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

// A request is open while its class is removed, and added again as an idempotent one: it is not sent again; a new one
// is. The class's old number becomes free only with its last request.
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
		t.Errorf("a class that was removed: %d, closing %v", code, closing)
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
		t.Errorf("under the old rules: %d after %d attempts", code, attempts.Load())
	}
	attempts.Store(0) // the next request is reset as well
	go func() { <-arrived }()
	if code, _, _ := dialNode(t, addr).exchange(requestText("once", 9000)); code != 200 || attempts.Load() != 2 {
		t.Errorf("under the new rules: %d after %d attempts", code, attempts.Load())
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

// Reducing the maximum of attempts below what an open request has used does not end it; new requests have the new
// maximum.
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
		t.Errorf("by the old number: %d after %d attempts", code, attempts.Load())
	}
	if code, _, _ := dialNode(t, addr).exchange(requestText("read", 9000)); code != 503 || attempts.Load() != 4 {
		t.Errorf("by the new one: %d after %d attempts", code, attempts.Load()-3)
	}
}

// Settings change again and again under load: each request is answered, and the table of classes does not grow.
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
			t.Errorf("%d classes: %s", len(n.settings.Classes), strings.Join(n.settings.Classes, " "))
		}
		return true
	})
}

// Where tenants are introduced or removed while requests are open, no tenant inherits the number of those: quotas and
// requests in flight are counted apart.
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
		t.Errorf("an unknown tenant got %d", code)
	}
}
