// Package node keeps what a running node holds in memory: requests and their attempts, connections in both
// directions, hosts and timers. A Node carries out the decision module's Actions directly on the sockets.
//
// One goroutine, Run, owns the module and all state. Everything else (the poller's callbacks, dials, writes,
// discovery's watch) only posts to it. Nothing on that goroutine blocks.
package node

import (
	"container/heap"
	"container/list"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
	"tulipglade/internal/safety"
)

// Settings is what a node is told at its start, and what Retune changes. All times are in microseconds. One that has been
// taken up is not changed any more: an open request keeps the one that it came under.
type Settings struct {
	Balancer       balancer.Config
	Seed           uint64
	Classes        []string // by number, as in Module.Classes
	Tenants        []string
	Zones          []string
	MaxInFlight    int // open requests; 0: no limit but that of sockets
	ConnectTimeout int64
	Keepalive      int64 // a backend closes a connection that stood idle so long
	LoadReports    bool  // backends report their load
	OverdueGrace   int64 // past its deadline, after which a request is overdue
	DrainGrace     int64 // after the word that a backend drains or is gone, for what still goes to it
	MaxDescriptors int   // descriptors of the whole process
	MemoryLimit    int64 // bytes that the process may use; 0: no limit
}

// Discovery is how a node asks for news about backends. Its methods must not block; what they lead to comes
// back through Node.Members and Node.MembersFailed.
type Discovery interface {
	Watch(on bool)
	Poll()
}

// decisionModule is what the node asks of the decision module: a tulipglade.Balancer.
type decisionModule interface {
	HandleEndpointsAsOf(now, asOf balancer.Time, kind balancer.ListKind, list []balancer.Endpoint)
	HandleRequest(now balancer.Time, a balancer.Request)
	HandleUpload(now balancer.Time, id balancer.RequestID, on bool)
	HandleAttemptResult(now balancer.Time, s balancer.AttemptResult)
	HandleHealthCheck(now balancer.Time, id balancer.EndpointID, out balancer.Outcome, took balancer.Span, rep *balancer.LoadReport)
	MayStartAttempt(now balancer.Time, id balancer.RequestID, attempt int) safety.Reason
	ListCurrent(now balancer.Time) (current bool, until balancer.Time)
	ExpireListAt(now, at balancer.Time)
	HandleCancellation(now balancer.Time, id balancer.RequestID)
	HandleTimer(now balancer.Time, t balancer.TimerID)
	Reconfigure(now balancer.Time, cfg balancer.Config, classes, tenants []int) error
	ExportState(now balancer.Time) balancer.Learned
	ImportState(now balancer.Time, m balancer.Learned)
	SetProcessCount(processes int)
}

// reservedDescriptors is the part of the descriptors that are neither clients' nor backends': standard streams, poller,
// listener, discovery, and the few that the runtime opens.
const reservedDescriptors = 32

// Node serves requests by the module's decisions.
type Node struct {
	settings        *Settings // in force; classes and tenants in the order of the module's numbers
	log             *slog.Logger
	discovery       Discovery
	balancer        decisionModule
	startedAt       time.Time
	startedAtMicros int64

	mu              sync.Mutex
	posted          []func()
	priorityPosted  []func() // by operators: these come before what is posted
	priorityPending atomic.Bool
	wake            chan struct{}

	pendingAccepts atomic.Int32 // connections accepted of which Run's goroutine has not heard
	// What follows belongs to Run's goroutine.
	deferred          []func() // results for the module, which must not be called from within its Actions
	timers            timerHeap
	lastTimerSequence uint64

	classIndex, tenantIndex, zoneIndex      map[string]int
	requests                                map[balancer.RequestID]*request
	requestIDsInUse                         map[string]struct{} // the clients' own, each until its request's time is over
	lastRequestID                           balancer.RequestID
	openRequests                            int // requests taken and not answered
	answersInProgress                       int // answers on their way out
	activeForwarders                        int // large messages on their way through
	queuedForwarders                        []func()
	overflowBytes                           int // bytes that clients have sent behind a request that is not answered
	endpoints                               map[balancer.EndpointID]*endpoint
	tombstones                              tombstones
	endpointsByUID                          map[string]*endpoint
	lastEndpointID                          balancer.EndpointID
	listRevision                            int64          // the latest version of the list of backends
	warningCounts                           map[string]int // lines by text since the last sweep
	clients                                 map[*clientConn]struct{}
	newClients                              list.List // of *client: connections that have never asked, oldest first
	idleClients                             list.List // of *client: the others that hold no request, oldest first
	lingeringClients                        list.List // of *client: those that have been shut, oldest first
	idleBackends                            list.List // of *backend, oldest first
	idleOutcomes                            [64]idleOutcome
	learnedIdleLimit, learnedIdleLimitUntil int64 // what learnIdle found, and for how long it holds
	openDescriptors                         int
	endpointsKnown                          bool // at least one backend has been named
	listFreshness                           listFreshness
	drain                                   drainState
	processCount                            int // processes that are this node; 0: one
	violations                              map[safety.Reason]int
	traceRequests                           bool  // a line for each step of each request
	testWriteDelay                          int64 // by so much every first byte is late, in tests
}

// New returns a Node that has not started. Run must be called before anything else has an effect.
func New(settings Settings, discovery Discovery, log *slog.Logger) (*Node, error) {
	start := time.Now()
	settings.addDefaultTenant()
	n := &Node{settings: &settings, log: log, discovery: discovery, listFreshness: listFreshness{processStartedAt: start.UnixMicro()}, startedAt: start, startedAtMicros: start.UnixMicro(),
		wake: make(chan struct{}, 1), classIndex: indexByName(settings.Classes), tenantIndex: indexByName(settings.Tenants),
		zoneIndex: indexByName(settings.Zones), requests: map[balancer.RequestID]*request{}, endpointsByUID: map[string]*endpoint{},
		endpoints: map[balancer.EndpointID]*endpoint{}, warningCounts: map[string]int{},
		clients: map[*clientConn]struct{}{}, requestIDsInUse: map[string]struct{}{}, violations: map[safety.Reason]int{}, traceRequests: debugEnabled(log)}
	decisions, err := balancer.New(settings.Balancer, settings.Seed, n)
	if err != nil {
		return nil, err
	}
	n.balancer = decisions
	return n, nil
}

func indexByName(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, name := range names {
		m[name] = i
	}
	return m
}

// now is the node's clock: microseconds that run monotonically from the Unix time of the start. Unix times
// from elsewhere, such as a backend's start, so need no further conversion.
func (n *Node) now() int64 { return n.startedAtMicros + time.Since(n.startedAt).Microseconds() }

// nodeTime is a moment of this process on the node's clock.
func (n *Node) nodeTime(t time.Time) int64 {
	return n.startedAtMicros + t.Sub(n.startedAt).Microseconds()
}

// post hands f to Run's goroutine. It never blocks.
func (n *Node) post(callback func()) {
	n.mu.Lock()
	n.posted = append(n.posted, callback)
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// postPriority hands f to Run's goroutine ahead of all that is posted: what clients cause must not hold up an operator.
func (n *Node) postPriority(callback func()) {
	n.mu.Lock()
	n.priorityPosted = append(n.priorityPosted, callback)
	n.priorityPending.Store(true) // before anybody can see that it was asked: what Run's goroutine does next is to look
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// runPriority runs what operators have asked for.
func (n *Node) runPriority() {
	if !n.priorityPending.Swap(false) {
		return
	}
	n.mu.Lock()
	callbacks := n.priorityPosted
	n.priorityPosted = nil
	n.mu.Unlock()
	for _, callback := range callbacks {
		callback()
		n.runDeferred()
	}
}

// Run serves until stop is closed.
func (n *Node) Run(stop <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var batch []func()
	n.scheduleAt(n.now()+maintenanceInterval, n.runMaintenance)
	for {
		n.mu.Lock()
		batch, n.posted = n.posted, batch[:0]
		n.mu.Unlock()
		n.runPriority()
		for i, callback := range batch {
			n.runPriority()
			callback()
			n.runDeferred()
			batch[i] = nil
		}
		delay := n.runDueTimers()
		n.checkDrained()
		n.mu.Lock()
		pending := len(n.posted)+len(n.priorityPosted) > 0
		n.mu.Unlock()
		if pending {
			continue
		}
		timer.Reset(delay)
		select {
		case <-stop:
			return
		case <-n.wake:
		case <-timer.C:
		}
	}
}

// runDeferred delivers the results that Actions have queued, and those that these lead to.
func (n *Node) runDeferred() {
	for i := 0; i < len(n.deferred); i++ {
		callback := n.deferred[i]
		n.deferred[i] = nil
		callback()
	}
	n.deferred = n.deferred[:0]
}

// ---- timers ----

type timer struct {
	dueAt    int64
	sequence uint64 // those due at the same time fire in the order they were set
	callback func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].dueAt < h[j].dueAt || h[i].dueAt == h[j].dueAt && h[i].sequence < h[j].sequence
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return t
}

func (n *Node) scheduleAt(dueAt int64, callback func()) {
	n.lastTimerSequence++
	heap.Push(&n.timers, timer{dueAt, n.lastTimerSequence, callback})
}

// runDueTimers runs what is due by now and returns how long until the next timer. What these set for a moment later
// waits for the next round, after all that has been posted meanwhile: a timer that sets itself anew with next
// to no delay would otherwise keep every request and answer out.
func (n *Node) runDueTimers() time.Duration {
	for now := n.now(); len(n.timers) > 0 && n.timers[0].dueAt <= now; {
		n.runPriority()
		heap.Pop(&n.timers).(timer).callback()
		n.runDeferred()
	}
	if len(n.timers) == 0 {
		return time.Hour
	}
	return time.Duration(max(n.timers[0].dueAt-n.now(), 0)) * time.Microsecond
}

// maintenanceInterval is how often idle connections are looked at, in microseconds.
const maintenanceInterval = 250_000

// runMaintenance looks after the connections that carry nothing. It closes backend connections that stood idle for half the time after which the backend would: a
// request written to one that is just being closed would end as a reset. Where they break sooner, they close sooner.
func (n *Node) runMaintenance() {
	n.scheduleAt(n.now()+maintenanceInterval, n.runMaintenance)
	for element := n.idleBackends.Front(); element != nil; element = n.idleBackends.Front() {
		conn := element.Value.(*backendConn)
		if n.now()-conn.idleSince < n.idleLimit() {
			break
		}
		n.closeBackend(conn, closeIdle)
	}
	n.closeStalledClients()
	n.updateListFreshness()
	n.deleteExpiredEndpoints()
	for message, count := range n.warningCounts {
		if count > maxWarningsPerInterval {
			n.log.Warn("lines left out", "of", message, "lines", count-maxWarningsPerInterval)
		}
	}
	clear(n.warningCounts)
}

// maxWarningsPerInterval is how many lines of one text are logged between two sweeps.
const maxWarningsPerInterval = 5

// warnLimited logs what a peer can cause as often as it likes.
func (n *Node) warnLimited(message string, args ...any) {
	if n.warningCounts[message]++; n.warningCounts[message] <= maxWarningsPerInterval {
		n.log.Warn(message, args...)
	}
}

// ---- discovery ----

// UpdateEndpoints is news about the backends. Cached tells that the list may be out of date.
func (n *Node) UpdateEndpoints(update protocol.List, cached bool) {
	n.handleEndpointList(update, cached, time.Now())
}

// UpdateEndpointsAsOf is an answer of discovery's that held at a time.
func (n *Node) UpdateEndpointsAsOf(update protocol.List, asOf time.Time) {
	n.handleEndpointList(update, false, asOf)
}

func (n *Node) handleEndpointList(update protocol.List, cached bool, asOf time.Time) {
	n.post(func() {
		kind := balancer.ListDelta
		if update.All {
			kind = balancer.ListFull
		}
		if cached {
			kind = balancer.ListCached
		}
		if n.listFreshness.observeRevision(update.Rev, n.listRevision) {
			asOf = time.Time{} // a list that is older than the last says nothing of what is current
		}
		endpoints, kind := n.applyEndpointList(update, kind)
		if cached || len(endpoints) > 0 {
			n.log.Info("backends", "rev", update.Rev, "all", update.All, "cached", cached, "entries", len(endpoints))
		}
		n.endpointsKnown = n.endpointsKnown || len(endpoints) > 0
		if len(endpoints) == 0 && kind == balancer.ListDelta && !n.settings.Balancer.PollDiscovery {
			return // where nothing was asked, nothing is owed: the module hears of changes alone
		}
		n.balancer.HandleEndpointsAsOf(n.now(), n.nodeTime(asOf), kind, endpoints)
		n.updateListFreshness()
	})
}

// DiscoveryCallFailed tells that a call to discovery has failed, and how: ListFailed, ListSilent or ListBusy. Nothing newer could be had as of a time.
func (n *Node) DiscoveryCallFailed(err error, how balancer.ListKind, asOf time.Time) {
	n.post(func() {
		n.log.Warn("discovery failed", "err", err)
		n.balancer.HandleEndpointsAsOf(n.now(), n.nodeTime(asOf), how, nil)
		n.updateListFreshness()
	})
}

// DiscoveryAddressChanged tells that discovery has another address from now on: what was heard at the one before counts for so long at most.
func (n *Node) DiscoveryAddressChanged(within time.Duration) {
	n.post(func() {
		n.listFreshness.addressChanged = true
		n.balancer.ExpireListAt(n.now(), n.now()+within.Microseconds())
	})
}
