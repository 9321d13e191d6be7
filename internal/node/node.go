// Package node keeps what a running node holds in memory: requests and their attempts, connections in both
// directions, hosts and timers. A Node carries out the decision module's Actions directly on the sockets.
//
// One goroutine, Run, owns the module and all state. Everything else (the poller's callbacks, dials, writes,
// discovery's watch) only posts to it. Nothing on that goroutine blocks.
package node

import (
	"container/list"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"tulipglade/internal/balancer"
	"tulipglade/internal/safety"
)

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
