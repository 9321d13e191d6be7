// Package agent runs a member of the group that agrees on leases. It provides the member's storage and clock, exchanges
// messages with the other members over HTTP/1.1, and serves the HTTP interface for lease holders and operators. Package
// consensus makes the decisions. An agent listens on loopback addresses only, since its clients are not authenticated.
package agent

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"tulipglade/internal/consensus"
	"tulipglade/internal/lease"
	"tulipglade/internal/loopback"
)

const (
	// TickInterval is the time between two ticks of the clock that measures how long the group has had no leader.
	TickInterval = 50 * time.Millisecond
	// ElectionTicks is the minimum number of ticks without a leader after which an election starts; the maximum is
	// twice as many.
	ElectionTicks = 10
	// RemovedGracePeriod is the time for which a member continues to run after its removal from the group.
	RemovedGracePeriod = 10 * time.Second

	snapshotEntries     = 2000 // entries applied between two snapshots
	requestTimeoutTicks = 100
	taskQueueSize       = 1024 // maximum number of tasks that wait for the member's goroutine
	taskBatchSize       = 256  // maximum number of tasks between two writes to the storage

	peerRequestTimeout = ElectionTicks * TickInterval // timeout of a message to another member
	idleTimeout        = time.Minute                  // for unused connections and queues to other members
	readHeaderTimeout  = 2 * time.Second
	readTimeout        = 5 * time.Second
	maxHeaderBytes     = 8 << 10
	maxBodyBytes       = 4 * lease.MaxNoteBytes // JSON escapes enlarge the characters of a note
	maxMessageBytes    = 32 << 20               // limit for a message between members, and for a response to a client
	maxConnections     = 4096                   // each node that sends digests keeps one connection open
)

// Options are the dependencies and optional features of an agent. The zero value suits production, without failover.
type Options struct {
	Log   *slog.Logger
	Clock func() time.Duration // a monotonic clock; default: the time since the start
	// WrapStorage injects faults between the member and its storage.
	WrapStorage func(consensus.Storage) consensus.Storage
	// Dial opens connections to other members.
	Dial     func(context.Context, string, string) (net.Conn, error)
	Failover *FailoverOptions // nil: the agent does not participate in failover
	// Listener, if set, is used in place of a new one at the member's address.
	Listener net.Listener
}

// setDefaults sets the default log, clock and dial function where none was set.
func (o *Options) setDefaults() {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Clock == nil {
		start := time.Now()
		o.Clock = func() time.Duration { return time.Since(start) }
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: peerRequestTimeout}).DialContext
	}
}

// Agent is a running member of the group, with its HTTP interface and its connections to the other members.
type Agent struct {
	options    Options
	identity   Identity
	member     *consensus.Member // used only by the member's goroutine
	tasks      chan func()       // run by the member's goroutine
	stopped    chan struct{}     // closed when the member's goroutine has ended
	httpClient *http.Client
	log        *slog.Logger
	background sync.WaitGroup

	mu    sync.Mutex
	peers map[string]chan outboundMessage // queues of messages by the address of the other member
}

// CheckAddress returns an error unless an address is a loopback address with a port at which a member can listen.
func CheckAddress(addr string) error {
	if err := loopback.Check(addr); err != nil {
		return err
	}
	_, port, _ := net.SplitHostPort(addr) // loopback.Check has already split it without an error
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		return fmt.Errorf("%q: no such port", addr)
	}
	return nil
}

// Serve runs the member whose state is in dir. It returns when ctx ends, when RemovedGracePeriod has passed since the
// member was removed from its group, or with an error when the server or the storage fails.
func Serve(ctx context.Context, dir string, options Options) (err error) {
	options.setDefaults()
	storage, durable, err := OpenStorage(dir)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, storage.Close()) }()
	a, err := newAgent(storage, durable, options)
	if err != nil {
		return err
	}
	listener := options.Listener
	if listener == nil {
		if listener, err = net.Listen("tcp", a.identity.Address); err != nil {
			return err
		}
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer a.background.Wait()
	defer a.httpClient.CloseIdleConnections()
	handler := a.handler(ctx)
	if options.Failover != nil {
		if err := a.startFailover(ctx, handler); err != nil {
			return errors.Join(err, listener.Close())
		}
	}
	a.log.Info("agent started", "group", a.identity.Group, "id", a.identity.ID, "address", a.identity.Address,
		"members", len(a.member.Status().Members))
	err = a.serveUntilDone(ctx, stop, listener, handler)
	a.log.Info("agent stopped", "err", err)
	return err
}

// newAgent returns an Agent whose member continues from its durable state. Nothing runs yet.
func newAgent(storage *Storage, durable consensus.DurableState, options Options) (*Agent, error) {
	a := &Agent{
		options:  options,
		identity: storage.Identity,
		tasks:    make(chan func(), taskQueueSize),
		stopped:  make(chan struct{}),
		httpClient: &http.Client{
			Timeout: peerRequestTimeout,
			Transport: &http.Transport{
				DialContext:         options.Dial,
				MaxIdleConnsPerHost: 2,
				IdleConnTimeout:     idleTimeout,
				DisableCompression:  true,
			},
		},
		log:   options.Log,
		peers: map[string]chan outboundMessage{},
	}
	random, err := newRandom()
	if err != nil {
		return nil, err
	}
	var memberStorage consensus.Storage = storage
	if options.WrapStorage != nil {
		memberStorage = options.WrapStorage(storage)
	}
	a.member, err = consensus.New(consensus.Options{
		ID:                  a.identity.ID,
		Clock:               options.Clock,
		Rand:                random,
		Storage:             memberStorage,
		Send:                a.queueMessage,
		ElectionTicks:       ElectionTicks,
		SnapshotEntries:     snapshotEntries,
		RequestTimeoutTicks: requestTimeoutTicks,
	}, durable)
	return a, err
}

// newRandom returns a random number generator that is seeded by the operating system.
func newRandom() (*rand.Rand, error) {
	var seed [16]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return nil, err
	}
	return rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:]))), nil
}

// serveUntilDone runs the HTTP server and the member's goroutine until ctx ends or one of the two ends.
func (a *Agent) serveUntilDone(ctx context.Context, stop context.CancelFunc, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
	}
	var group errgroup.Group
	group.Go(func() error {
		defer stop()
		if err := server.Serve(netutil.LimitListener(listener, maxConnections)); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		defer stop()
		defer close(a.stopped)
		return a.runMember(ctx)
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	return group.Wait()
}

// runMember is the body of the member's goroutine. It runs ticks and tasks, and saves the member's state after each
// batch.
func (a *Agent) runMember(ctx context.Context) error {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	tracker := statusTracker{agent: a}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			a.member.Tick()
		case task := <-a.tasks:
			task()
		}
		for range min(len(a.tasks), taskBatchSize) { // the waiting tasks share one write to the storage
			task := <-a.tasks
			task()
		}
		if err := a.member.Flush(); err != nil {
			a.log.Error("storage failed", "err", err)
			return fmt.Errorf("disk: %w", err)
		}
		tracker.logLeadership()
		if tracker.removalGraceEnded() {
			return nil
		}
	}
}

// statusTracker remembers the member's last status, to log changes of the leader and to time the member's removal.
type statusTracker struct {
	agent     *Agent
	isLeader  bool
	leader    uint64
	removedAt time.Duration // 0: the member has not been removed
}

// logLeadership logs when this member gains or loses the leadership, and when it learns of another leader.
func (w *statusTracker) logLeadership() {
	member := w.agent.member
	switch isLeader := member.IsLeader(); {
	case isLeader != w.isLeader:
		w.isLeader = isLeader
		w.agent.log.Info("leadership changed", "is_leader", isLeader, "term", member.Term())
	case member.Leader() != w.leader:
		w.leader = member.Leader()
		w.agent.log.Info("leader known", "id", w.leader, "term", member.Term())
	}
}

// removalGraceEnded reports whether more than RemovedGracePeriod has passed since the member was removed from the
// group.
func (w *statusTracker) removalGraceEnded() bool {
	now := w.agent.options.Clock()
	switch {
	case !w.agent.member.Removed():
		w.removedAt = 0
	case w.removedAt == 0:
		w.removedAt = now
		w.agent.log.Info("removed from the group", "stays", RemovedGracePeriod)
	default:
		return now-w.removedAt > RemovedGracePeriod
	}
	return false
}

// enqueueTask queues a task for the member's goroutine. It returns false if the goroutine has ended or the queue is
// full.
func (a *Agent) enqueueTask(task func()) bool {
	select {
	case <-a.stopped:
		return false
	default:
	}
	select {
	case a.tasks <- task:
		return true
	default:
		return false
	}
}
