// Package node holds the state of a running node: requests and their attempts, connections to clients and backends,
// endpoints and timers. A Node implements balancer.Commands on real sockets.
//
// One goroutine, that of Node.Run, owns the balancer and all state. Everything else (the poller's callbacks, dials, writes,
// discovery's watch) only posts to it, and nothing on it blocks.
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

// Discovery is how a node asks for changes of the endpoint list. Its methods must not block; results come back
// through Node.UpdateEndpoints, Node.UpdateEndpointsAsOf and Node.DiscoveryCallFailed.
type Discovery interface {
	Watch(on bool)
	Poll()
}

// decisionModule is the part of balancer.Balancer that the node calls; tests put a recording one in between.
type decisionModule interface {
	HandleEndpointsAsOf(now, asOf balancer.Time, kind balancer.ListKind, list []balancer.Endpoint)
	HandleRequest(now balancer.Time, request balancer.Request)
	HandleUpload(now balancer.Time, id balancer.RequestID, on bool)
	HandleAttemptResult(now balancer.Time, result balancer.AttemptResult)
	HandleHealthCheck(
		now balancer.Time, id balancer.EndpointID, outcome balancer.Outcome, took balancer.Span, report *balancer.LoadReport,
	)
	MayStartAttempt(now balancer.Time, id balancer.RequestID, attempt int) safety.Reason
	ListCurrent(now balancer.Time) (current bool, until balancer.Time)
	HandleDiscoveryMoved(now balancer.Time, validity balancer.Span)
	HandleCancellation(now balancer.Time, id balancer.RequestID)
	HandleTimer(now balancer.Time, timer balancer.TimerID)
	Reconfigure(now balancer.Time, cfg balancer.Config, classes, tenants []int) error
	ExportState(now balancer.Time) balancer.LearnedState
	ImportState(now balancer.Time, state balancer.LearnedState)
	SetProcessCount(processes int)
}

// Node forwards clients' requests to backends as the balancer decides.
type Node struct {
	settings        *Settings // in force; classes and tenants in the order of the balancer's numbers
	log             *slog.Logger
	discovery       Discovery
	balancer        decisionModule
	startedAt       time.Time
	startedAtMicros int64

	mu              sync.Mutex // guards posted and priorityPosted
	posted          []func()
	priorityPosted  []func() // operators' calls, which run before what is posted
	priorityPending atomic.Bool
	wake            chan struct{}

	readBudget     *readBudget
	pendingAccepts atomic.Int32 // accepted connections that the event loop has not registered

	// What follows belongs to the event loop.

	deferred           []func() // results for the balancer, which must not be called from within its commands
	timers             timerHeap
	lastTimerSequence  uint64
	invalidTransitions map[invalidTransition]struct{} // those that have been logged
	warningCounts      map[string]int                 // by message, since the last maintenance

	classIndex, tenantIndex, zoneIndex map[string]int

	requests          map[balancer.RequestID]*request
	traceIDsInUse     map[string]struct{} // clients' trace IDs, each until its request's time is over
	lastRequestID     balancer.RequestID
	openRequests      int // admitted and not answered
	answersInProgress int // answers that are being written
	activeForwarders  int // large messages that are being forwarded
	queuedForwarders  []func()
	overflowBytes     int // input that clients have sent behind a request that is not answered

	endpoints       map[balancer.EndpointID]*endpoint
	endpointsByUID  map[string]*endpoint
	lastEndpointID  balancer.EndpointID
	tombstones      tombstones
	listRevision    int64 // of the latest endpoint list
	endpointsKnown  bool  // at least one endpoint has been listed
	listFreshness   listFreshness
	openDescriptors int
	processCount    int // processes that share this node's address; 0: one

	clients          map[*clientConn]struct{}
	newClients       list.List // of *clientConn: those that have never sent a request, oldest first
	idleClients      list.List // of *clientConn: the others without a request, oldest first
	lingeringClients list.List // of *clientConn: those in state clientLingering, oldest first

	idleBackends          list.List // of *backendConn, oldest first
	idleOutcomes          [64]idleOutcome
	learnedIdleLimit      int64 // idle time after which backend connections break
	learnedIdleLimitUntil int64 // when learnedIdleLimit expires

	drain          drainState
	violations     map[safety.Reason]int // by the audit
	traceRequests  bool                  // log each step of each request
	testWriteDelay int64                 // set by tests: delay of every first byte
	// testReportDelay is set by tests: how long the result of a system call waits for its post.
	testReportDelay atomic.Pointer[func(reportKind) time.Duration]
}

// New returns a Node that has not started. Run must be called before anything else has an effect.
func New(settings Settings, discovery Discovery, log *slog.Logger) (*Node, error) {
	start := time.Now()
	settings.addDefaultTenant()
	n := &Node{
		settings:           &settings,
		log:                log,
		discovery:          discovery,
		startedAt:          start,
		startedAtMicros:    start.UnixMicro(),
		wake:               make(chan struct{}, 1),
		readBudget:         newReadBudget(settings.MemoryLimit),
		invalidTransitions: map[invalidTransition]struct{}{},
		warningCounts:      map[string]int{},
		classIndex:         indexByName(settings.Classes),
		tenantIndex:        indexByName(settings.Tenants),
		zoneIndex:          indexByName(settings.Zones),
		requests:           map[balancer.RequestID]*request{},
		traceIDsInUse:      map[string]struct{}{},
		endpoints:          map[balancer.EndpointID]*endpoint{},
		endpointsByUID:     map[string]*endpoint{},
		listFreshness:      listFreshness{processStartedAt: start.UnixMicro()},
		clients:            map[*clientConn]struct{}{},
		violations:         map[safety.Reason]int{},
		traceRequests:      debugEnabled(log),
	}
	newBalancer, err := balancer.New(settings.Balancer, settings.Seed, n)
	if err != nil {
		return nil, err
	}
	n.balancer = newBalancer
	return n, nil
}

// indexByName maps each name to its position.
func indexByName(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, name := range names {
		m[name] = i
	}
	return m
}

// now reads the node's clock: microseconds that run monotonically from the Unix time of the start. Unix times from
// elsewhere, such as a backend's start, so need no conversion.
func (n *Node) now() int64 { return n.startedAtMicros + time.Since(n.startedAt).Microseconds() }

// nodeTime converts a time of this process to the node's clock.
func (n *Node) nodeTime(t time.Time) int64 {
	return n.startedAtMicros + t.Sub(n.startedAt).Microseconds()
}
