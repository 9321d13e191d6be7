package node

import (
	"context"
	"flag"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"runtime"
	"sync"
	"testing"
	"time"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// maxReportDelay makes all tests run with the results of system calls arriving late, as on a busy machine.
var maxReportDelay = flag.Duration("report-delay", 0, "maximum random delay of each report of a system call to the event loop")

// setReportDelay sets the function that returns the delay of each of the node's reports.
func setReportDelay(n *Node, delay func(reportKind) time.Duration) { n.testReportDelay.Store(&delay) }

// delayReports delays the node's reports of one kind, and no others.
func delayReports(n *Node, delayed reportKind, delay time.Duration) {
	setReportDelay(n, func(kind reportKind) time.Duration {
		if kind == delayed {
			return delay
		}
		return 0
	})
}

// heldReports holds reports of a node until they are released.
type heldReports struct {
	mutex    sync.Mutex
	held     []chan struct{} // in the order in which the reports were made
	released bool            // later reports are not held
}

// holdReports holds the node's reports of one kind until they are released or the test ends.
func holdReports(t *testing.T, n *Node, held reportKind) *heldReports {
	t.Helper()
	h := &heldReports{}
	setReportDelay(n, func(kind reportKind) time.Duration {
		if kind == held {
			h.hold()
		}
		return 0
	})
	t.Cleanup(h.releaseAll)
	return h
}

// hold returns once the report of its caller is released.
func (h *heldReports) hold() {
	h.mutex.Lock()
	if h.released {
		h.mutex.Unlock()
		return
	}
	release := make(chan struct{})
	h.held = append(h.held, release)
	h.mutex.Unlock()
	<-release
}

// await waits until the given number of reports are held.
func (h *heldReports) await(count int) {
	for held := 0; held < count; runtime.Gosched() {
		h.mutex.Lock()
		held = len(h.held)
		h.mutex.Unlock()
	}
}

// release releases the oldest held reports, as many as given.
func (h *heldReports) release(count int) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, release := range h.held[:count] {
		close(release)
	}
	h.held = h.held[count:]
}

// releaseAll releases all held reports and holds no later ones.
func (h *heldReports) releaseAll() {
	h.mutex.Lock()
	h.released = true
	held := len(h.held)
	h.mutex.Unlock()
	h.release(held)
}

func TestMain(m *testing.M) {
	if err := ConfigurePoller(io.Discard); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// nopDiscovery is a Discovery whose methods do nothing. Tests update the endpoint list themselves.
type nopDiscovery struct{}

func (nopDiscovery) Watch(bool) {}

func (nopDiscovery) Poll() {}

// startNode runs a node on a free port with an endpoint list of these targets. It returns the node and its address, and
// stops the node at the end of the test. change modifies the settings, unless it is nil.
func startNode(t *testing.T, targets []protocol.Target, change func(*Settings)) (*Node, string) {
	t.Helper()
	n, addr, stop := startStoppableNode(t, targets, change)
	t.Cleanup(stop)
	return n, addr
}

// startStoppableNode starts a node as startNode does, but the test must stop the node by calling end.
func startStoppableNode(t *testing.T, targets []protocol.Target, change func(*Settings)) (n *Node, addr string, end func()) {
	t.Helper()
	second := int64(time.Second / time.Microsecond)
	settings := Settings{Classes: []string{"read", "once", "keyed"}, Tenants: []string{"t"}, Zones: []string{"z"},
		ConnectTimeout: second, Keepalive: 30 * second, OverdueGrace: 20_000, Balancer: balancer.Config{PeerCount: 1, MaxAttempts: 3,
			AllowCancel: true, TickInterval: 1000, Tenants: []balancer.Tenant{{QuotaFraction: 1}}, Classes: []balancer.Class{
				{LatencyObjective: 10 * second, Deadline: 10 * second},
				{LatencyObjective: 10 * second, Deadline: 10 * second, Idempotency: balancer.NonIdempotent},
				{LatencyObjective: 10 * second, Deadline: 10 * second, Idempotency: balancer.IdempotentByKey,
					KeyScope: balancer.ScopeCell, IdempotencyWindow: 5 * second},
			}}}
	if change != nil {
		change(&settings)
	}
	level := &slog.HandlerOptions{Level: slog.LevelInfo}
	if os.Getenv("TULIPGLADE_LOG") == "debug" { // logs each step of each request, to find the cause of a failure
		level.Level = slog.LevelDebug
	}
	n, err := New(settings, nopDiscovery{}, slog.New(slog.NewTextHandler(t.Output(), level)))
	if err != nil {
		t.Fatal(err)
	}
	if maxDelay := *maxReportDelay; maxDelay > 0 {
		setReportDelay(n, func(reportKind) time.Duration { return rand.N(maxDelay) })
	}
	ln, err := Listen("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	loop, err := n.NewClientEventLoop()
	if err != nil {
		t.Fatal(err)
	}
	n.UpdateEndpoints(protocol.List{Full: true, Targets: targets}, true)
	stop := make(chan struct{})
	go n.Run(stop)
	go func() { _ = loop.Serve(ln) }()
	return n, ln.Addr().String(), func() {
		_ = loop.Shutdown(context.Background())
		close(stop)
	}
}

// waitUntil calls reached on the node's event loop until it returns true.
func waitUntil(n *Node, reached func() bool) {
	for result := make(chan bool, 1); ; {
		n.post(func() { result <- reached() })
		if <-result {
			return
		}
	}
}

// runOnLoop runs a callback on the node's event loop and waits until it has returned.
func runOnLoop(n *Node, callback func()) {
	waitUntil(n, func() bool { callback(); return true })
}

// waitForPosted waits until at least the given number of callbacks are posted that the event loop has not picked up.
func waitForPosted(n *Node, posted int) {
	for pending := 0; pending < posted; runtime.Gosched() {
		n.mu.Lock()
		pending = len(n.posted)
		n.mu.Unlock()
	}
}

// operatorCall makes an operator's call, such as Node.Standby, and returns its answer.
func operatorCall(call func(func(error))) error {
	answer := make(chan error, 1)
	call(func(err error) { answer <- err })
	return <-answer
}

// advanceDrain moves the start of the current drain back in time, so that tests need not wait for its next step.
func advanceDrain(n *Node, micros int64) {
	done := make(chan struct{})
	n.post(func() {
		n.drain.startedAt -= micros
		n.drainTick(n.drain.generation)
		close(done)
	})
	<-done
}

// requireListLease configures a node to start no attempts while its endpoint list is not known to be current.
func requireListLease(s *Settings) {
	s.Balancer.PollDiscovery, s.Balancer.PollInterval, s.Balancer.ListLease = true, 10_000_000, balancer.NotificationDeadline
	s.DrainGrace = 500_000
}

// reconfigureNode applies settings that keep the current values of what startNode sets, with its classes in their
// original order. Most other settings become zero. change modifies the settings before they are applied.
func reconfigureNode(n *Node, change func(*Settings)) {
	done := make(chan struct{})
	n.post(func() {
		changed := Settings{
			ConnectTimeout: n.settings.ConnectTimeout,
			Keepalive:      n.settings.Keepalive,
			OverdueGrace:   n.settings.OverdueGrace,
			Zones:          n.settings.Zones,
			Balancer:       n.settings.Balancer,
		}
		changed.Balancer.Classes, changed.Balancer.Tenants = nil, nil
		for _, name := range []string{"read", "once", "keyed"} {
			if number, ok := n.classIndex[name]; ok {
				changed.Classes = append(changed.Classes, name)
				changed.Balancer.Classes = append(changed.Balancer.Classes, n.settings.Balancer.Classes[number])
			}
		}
		changed.Tenants, changed.Balancer.Tenants = []string{"t"}, []balancer.Tenant{{QuotaFraction: 1}}
		change(&changed)
		n.applySettings(changed)
		close(done)
	})
	<-done
}
