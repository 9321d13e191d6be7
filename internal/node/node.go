// Package node holds the state of a running node: requests and their attempts, connections to clients and backends,
// endpoints and timers. A Node implements balancer.Commands on real sockets.
//
// A single goroutine, which runs the event loop in Node.Run, owns the balancer and all state. All other goroutines (the
// poller's callbacks, dials, writes, the watch of discovery) only post callbacks to the event loop, and no callback may
// block.
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

// Discovery is the client with which a node requests endpoint lists. Its methods must not block; results are returned
// by calls of Node.UpdateEndpoints, Node.UpdateEndpointsAsOf and Node.DiscoveryCallFailed.
type Discovery interface {
	// Watch starts or stops the watch for changes of the endpoint list.
	Watch(on bool)
	// Poll requests the full endpoint list once.
	Poll()
}

// decisionModule is the part of balancer.Balancer that the node calls. Tests wrap it to record the calls.
type decisionModule interface {
	HandleEndpointsAsOf(now, asOf balancer.Time, kind balancer.ListKind, list []balancer.Endpoint)
	HandleRequest(now balancer.Time, request balancer.Request)
	HandleUpload(now balancer.Time, id balancer.RequestID, on bool)
	HandlePartialResponse(now balancer.Time, id balancer.RequestID) (forwardBy balancer.Time)
	HandleResponseStart(now balancer.Time, id balancer.RequestID)
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

// Node is one load balancer node: it accepts requests from clients and forwards them to the backends that the balancer
// selects.
type Node struct {
	settings        *Settings // the current settings, with classes and tenants indexed by the balancer's numbers
	log             *slog.Logger
	discovery       Discovery
	balancer        decisionModule
	startedAt       time.Time
	startedAtMicros int64

	mu              sync.Mutex // guards posted and priorityPosted
	posted          []func()
	priorityPosted  []func()      // operators' calls, which run before the callbacks in posted
	priorityPending atomic.Bool   // priorityPosted is not empty
	wake            chan struct{} // wakes the event loop after a callback was posted

	memory         *memoryAccount
	pendingAccepts atomic.Int32 // accepted connections that the event loop has not registered

	// The following fields are only accessed on the event loop.

	deferred           []func() // results for the balancer, which must not be called from within its commands
	timers             timerHeap
	lastTimerSequence  uint64
	invalidTransitions map[invalidTransition]struct{} // invalid state transitions that have been logged
	warningCounts      map[string]int                 // warnings by message since the last run of runMaintenance

	classIndex, tenantIndex, zoneIndex map[string]int

	requests          map[balancer.RequestID]*request
	traceIDsInUse     map[string]struct{} // requests' trace IDs, each until the request would be overdue
	lastRequestID     balancer.RequestID
	openRequests      int           // requests that are admitted and not yet answered
	answersInProgress int           // answers that are being written
	activeForwarders  int           // large messages that are being forwarded
	pausedClients     []*clientConn // connections that are not read for lack of memory, paused for longest first
	relieving         bool          // relieveMemory is scheduled
	memoryTightAt     int64         // when memory was last tight, or a client paused, as relieveMemory found it
	reserveUsers      int           // connections that use the reserved memory, see setUsesReserve
	overflowBytes     int           // pipelined input that clients have sent while an earlier request is unanswered

	endpoints       map[balancer.EndpointID]*endpoint
	endpointsByUID  map[string]*endpoint
	lastEndpointID  balancer.EndpointID
	tombstones      tombstones
	listRevision    int64 // revision of the latest endpoint list that was in order
	endpointsKnown  bool  // at least one endpoint has been listed since the start
	listFreshness   listFreshness
	openDescriptors int
	processCount    int // number of processes that share this node's address; 0 means one

	clients          map[*clientConn]struct{}
	newClients       list.List // of *clientConn: connections that have never sent a request, oldest first
	idleClients      list.List // of *clientConn: connections that are between two requests, idle for longest first
	lingeringClients list.List // of *clientConn: connections in state clientLingering, oldest first

	idleBackends          list.List       // of *backendConn, idle for longest first
	idleOutcomes          [64]idleOutcome // by idle time, two entries for each doubling of it
	learnedIdleLimit      int64           // observed idle time after which backend connections break
	learnedIdleLimitUntil int64           // when learnedIdleLimit expires

	drain          drainState
	violations     map[safety.Reason]int // invariant violations that the audit has found, by reason
	traceRequests  bool                  // log each step of each request
	testWriteDelay int64                 // set by tests: simulated delay of the first byte of attempts, in microseconds
	testReuseDelay int64                 // if longer than reuseDelay, replaces it
	// testBeforeFirstWrite is set by tests. It is called once the timeout of an attempt has been computed.
	testBeforeFirstWrite func()
	// testReportDelay is set by tests. It returns the delay before the result of a system call is posted.
	testReportDelay atomic.Pointer[func(reportKind) time.Duration]
}

// New returns a Node that is not running: what is posted to it takes effect once Run is called.
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
		memory:             newMemoryAccount(settings.MemoryLimit),
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

// indexByName maps each name to its position in the slice.
func indexByName(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, name := range names {
		m[name] = i
	}
	return m
}

// now returns the time of the node's clock, in microseconds. The clock begins at the Unix time of the node's start and
// advances monotonically, so Unix times from other sources, such as the start of a backend, need no conversion.
func (n *Node) now() int64 { return n.startedAtMicros + time.Since(n.startedAt).Microseconds() }

// nodeTime converts a time that was read in this process to the node's clock.
func (n *Node) nodeTime(t time.Time) int64 {
	return n.startedAtMicros + t.Sub(n.startedAt).Microseconds()
}
