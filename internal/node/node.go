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

// module is what the node asks of the decision module: a tulipglade.Balancer.
type module interface {
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

// reserve is the part of the descriptors that are neither clients' nor backends': standard streams, poller,
// listener, discovery, and the few that the runtime opens.
const reserve = 32

// Node serves requests by the module's decisions.
type Node struct {
	set       *Settings // in force; classes and tenants in the order of the module's numbers
	log       *slog.Logger
	discovery Discovery
	bal       module
	epoch     time.Time
	epochUs   int64

	mu     sync.Mutex
	posted []func()
	asked  []func() // by operators: these come before what is posted
	urgent atomic.Bool
	wake   chan struct{}

	unseen atomic.Int32 // connections accepted of which Run's goroutine has not heard
	// What follows belongs to Run's goroutine.
	later    []func() // results for the module, which must not be called from within its Actions
	timers   timerHeap
	timerSeq uint64

	classes, tenants, zones map[string]int
	requests                map[balancer.RequestID]*request
	ids                     map[string]struct{} // the clients' own, each until its request's time is over
	lastID                  balancer.RequestID
	open                    int // requests taken and not answered
	writing                 int // answers on their way out
	flows                   int // large messages on their way through
	flowQueue               []func()
	kept                    int // bytes that clients have sent behind a request that is not answered
	hosts                   map[balancer.EndpointID]*host
	forgotten               tombstones
	byUID                   map[string]*host
	lastHost                balancer.EndpointID
	rev                     int64          // the latest version of the list of backends
	warned                  map[string]int // lines by text since the last sweep
	clients                 map[*client]struct{}
	fresh                   list.List // of *client: connections that have never asked, oldest first
	idleClients             list.List // of *client: the others that hold no request, oldest first
	lingering               list.List // of *client: those that have been shut, oldest first
	idleBackends            list.List // of *backend, oldest first
	idleRecords             [64]idleRecord
	idleMost, idleMostTill  int64 // what learnIdle found, and for how long it holds
	descriptors             int
	listed                  bool // at least one backend has been named
	list                    listState
	drain                   drain
	shared                  int // processes that are this node; 0: one
	violations              map[safety.Reason]int
	tracing                 bool  // a line for each step of each request
	heldUp                  int64 // by so much every first byte is late, in tests
}

// New returns a Node that has not started. Run must be called before anything else has an effect.
func New(set Settings, discovery Discovery, log *slog.Logger) (*Node, error) {
	start := time.Now()
	set.nameless()
	n := &Node{set: &set, log: log, discovery: discovery, list: listState{since: start.UnixMicro()}, epoch: start, epochUs: start.UnixMicro(),
		wake: make(chan struct{}, 1), classes: index(set.Classes), tenants: index(set.Tenants),
		zones: index(set.Zones), requests: map[balancer.RequestID]*request{}, byUID: map[string]*host{},
		hosts: map[balancer.EndpointID]*host{}, warned: map[string]int{},
		clients: map[*client]struct{}{}, ids: map[string]struct{}{}, violations: map[safety.Reason]int{}, tracing: traces(log)}
	bal, err := balancer.New(set.Balancer, set.Seed, n)
	if err != nil {
		return nil, err
	}
	n.bal = bal
	return n, nil
}

func index(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, name := range names {
		m[name] = i
	}
	return m
}

// now is the node's clock: microseconds that run monotonically from the Unix time of the start. Unix times
// from elsewhere, such as a backend's start, so need no further conversion.
func (n *Node) now() int64 { return n.epochUs + time.Since(n.epoch).Microseconds() }

// timeOf is a moment of this process on the node's clock.
func (n *Node) timeOf(t time.Time) int64 { return n.epochUs + t.Sub(n.epoch).Microseconds() }

// post hands f to Run's goroutine. It never blocks.
func (n *Node) post(f func()) {
	n.mu.Lock()
	n.posted = append(n.posted, f)
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// ask hands f to Run's goroutine ahead of all that is posted: what clients cause must not hold up an operator.
func (n *Node) ask(f func()) {
	n.mu.Lock()
	n.asked = append(n.asked, f)
	n.urgent.Store(true) // before anybody can see that it was asked: what Run's goroutine does next is to look
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// answerAsked runs what operators have asked for.
func (n *Node) answerAsked() {
	if !n.urgent.Swap(false) {
		return
	}
	n.mu.Lock()
	asked := n.asked
	n.asked = nil
	n.mu.Unlock()
	for _, f := range asked {
		f()
		n.settleLater()
	}
}

// Run serves until stop is closed.
func (n *Node) Run(stop <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var batch []func()
	n.at(n.now()+sweepEvery, n.sweep)
	for {
		n.mu.Lock()
		batch, n.posted = n.posted, batch[:0]
		n.mu.Unlock()
		n.answerAsked()
		for i, f := range batch {
			n.answerAsked()
			f()
			n.settleLater()
			batch[i] = nil
		}
		next := n.fire()
		n.checkDrained()
		n.mu.Lock()
		more := len(n.posted)+len(n.asked) > 0
		n.mu.Unlock()
		if more {
			continue
		}
		timer.Reset(next)
		select {
		case <-stop:
			return
		case <-n.wake:
		case <-timer.C:
		}
	}
}

// settleLater delivers the results that Actions have queued, and those that these lead to.
func (n *Node) settleLater() {
	for i := 0; i < len(n.later); i++ {
		f := n.later[i]
		n.later[i] = nil
		f()
	}
	n.later = n.later[:0]
}

// ---- timers ----

type timer struct {
	at  int64
	seq uint64 // those due at the same time fire in the order they were set
	f   func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
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

func (n *Node) at(when int64, f func()) {
	n.timerSeq++
	heap.Push(&n.timers, timer{when, n.timerSeq, f})
}

// fire runs what is due by now and returns how long until the next timer. What these set for a moment later
// waits for the next round, after all that has been posted meanwhile: a timer that sets itself anew with next
// to no delay would otherwise keep every request and answer out.
func (n *Node) fire() time.Duration {
	for now := n.now(); len(n.timers) > 0 && n.timers[0].at <= now; {
		n.answerAsked()
		heap.Pop(&n.timers).(timer).f()
		n.settleLater()
	}
	if len(n.timers) == 0 {
		return time.Hour
	}
	return time.Duration(max(n.timers[0].at-n.now(), 0)) * time.Microsecond
}

// sweepEvery is how often idle connections are looked at, in microseconds.
const sweepEvery = 250_000

// sweep looks after the connections that carry nothing. It closes backend connections that stood idle for half the time after which the backend would: a
// request written to one that is just being closed would end as a reset. Where they break sooner, they close sooner.
func (n *Node) sweep() {
	n.at(n.now()+sweepEvery, n.sweep)
	for e := n.idleBackends.Front(); e != nil; e = n.idleBackends.Front() {
		b := e.Value.(*backend)
		if n.now()-b.idleSince < n.idleLimit() {
			break
		}
		n.closeBackend(b, endIdle)
	}
	n.sweepClients()
	n.noteList()
	n.forgetHosts()
	for msg, k := range n.warned {
		if k > warnMost {
			n.log.Warn("lines left out", "of", msg, "lines", k-warnMost)
		}
	}
	clear(n.warned)
}

// warnMost is how many lines of one text are logged between two sweeps.
const warnMost = 5

// warn logs what a peer can cause as often as it likes.
func (n *Node) warn(msg string, args ...any) {
	if n.warned[msg]++; n.warned[msg] <= warnMost {
		n.log.Warn(msg, args...)
	}
}

// ---- discovery ----

// UpdateEndpoints is news about the backends. Cached tells that the list may be out of date.
func (n *Node) UpdateEndpoints(l protocol.List, cached bool) { n.members(l, cached, time.Now()) }

// UpdateEndpointsAsOf is an answer of discovery's that held at a time.
func (n *Node) UpdateEndpointsAsOf(l protocol.List, asOf time.Time) { n.members(l, false, asOf) }

func (n *Node) members(l protocol.List, cached bool, asOf time.Time) {
	n.post(func() {
		kind := balancer.ListDelta
		if l.All {
			kind = balancer.ListFull
		}
		if cached {
			kind = balancer.ListCached
		}
		if n.list.noteVersion(l.Rev, n.rev) {
			asOf = time.Time{} // a list that is older than the last says nothing of what is current
		}
		hosts, kind := n.merge(l, kind)
		if cached || len(hosts) > 0 {
			n.log.Info("backends", "rev", l.Rev, "all", l.All, "cached", cached, "entries", len(hosts))
		}
		n.listed = n.listed || len(hosts) > 0
		if len(hosts) == 0 && kind == balancer.ListDelta && !n.set.Balancer.PollDiscovery {
			return // where nothing was asked, nothing is owed: the module hears of changes alone
		}
		n.bal.HandleEndpointsAsOf(n.now(), n.timeOf(asOf), kind, hosts)
		n.noteList()
	})
}

// DiscoveryCallFailed tells that a call to discovery has failed, and how: ListFailed, ListSilent or ListBusy. Nothing newer could be had as of a time.
func (n *Node) DiscoveryCallFailed(err error, how balancer.ListKind, asOf time.Time) {
	n.post(func() {
		n.log.Warn("discovery failed", "err", err)
		n.bal.HandleEndpointsAsOf(n.now(), n.timeOf(asOf), how, nil)
		n.noteList()
	})
}

// DiscoveryAddressChanged tells that discovery has another address from now on: what was heard at the one before counts for so long at most.
func (n *Node) DiscoveryAddressChanged(within time.Duration) {
	n.post(func() {
		n.list.moved = true
		n.bal.ExpireListAt(n.now(), n.now()+within.Microseconds())
	})
}
