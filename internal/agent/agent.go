// Package agent runs a member of the group that agrees on leases: its storage, its clock, its messages to the other members over HTTP/1.1,
// and the HTTP interface for lease holders and operators. The decisions are those of package consensus. An agent serves loopback
// addresses only, since nothing authenticates its clients.
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
	// TickInterval is the interval of the clock that measures how long there has been no leader.
	TickInterval = 50 * time.Millisecond
	// ElectionTicks is after how many ticks without a leader, to twice as many, an election starts.
	ElectionTicks = 10
	// RemovedGracePeriod is for how long a removed member goes on.
	RemovedGracePeriod = 10 * time.Second

	snapshotEntries     = 2000 // between two snapshots
	requestTimeoutTicks = 100
	taskQueueSize       = 1024 // tasks that wait for the member's goroutine
	taskBatchSize       = 256  // tasks between two writes to the storage

	peerRequestTimeout = ElectionTicks * TickInterval // for a message to another member
	idleTimeout        = time.Minute                  // of connections, and of queues to other members
	readHeaderTimeout  = 2 * time.Second
	readTimeout        = 5 * time.Second
	maxHeaderBytes     = 8 << 10
	maxBodyBytes       = 4 * lease.MaxNoteBytes // escaped characters in a note take more bytes than they stand for
	maxMessageBytes    = 32 << 20               // of a message between members, or of a client's answer
	maxConnections     = 4096                   // each node that sends digests keeps one
)

// Options are the dependencies of an agent. The zero value is for production.
type Options struct {
	Log         *slog.Logger
	Clock       func() time.Duration                                    // monotonic
	WrapStorage func(consensus.Storage) consensus.Storage               // injects faults between the member and its storage
	Dial        func(context.Context, string, string) (net.Conn, error) // to other members
	Failover    *FailoverOptions                                        // nil: the agent takes no part in failover
	Listener    net.Listener                                            // already listening at the member's address
}

// setDefaults sets what is needed and was not given.
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

// Agent is a running member.
type Agent struct {
	options    Options
	identity   Identity
	member     *consensus.Member // used by the member's goroutine alone
	tasks      chan func()       // for the member's goroutine
	stopped    chan struct{}     // closed when the member's goroutine has ended
	httpClient *http.Client
	log        *slog.Logger
	background sync.WaitGroup

	mu    sync.Mutex
	peers map[string]chan outboundMessage // queues by address
}

// CheckAddress reports why a member can't listen at an address.
func CheckAddress(addr string) error {
	if err := loopback.Check(addr); err != nil {
		return err
	}
	_, port, _ := net.SplitHostPort(addr) // loopback.Check has split it
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		return fmt.Errorf("%q: no such port", addr)
	}
	return nil
}

// Serve runs the member of a folder until ctx ends, the member has been removed from its group, or a failure.
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

// newAgent returns an Agent whose member continues from its durable state.
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

// newRandom returns a generator with a seed of the system's.
func newRandom() (*rand.Rand, error) {
	var seed [16]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return nil, err
	}
	return rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:]))), nil
}

// serveUntilDone runs the HTTP server and the member until ctx ends or one of them does.
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

// runMember is the member's goroutine.
func (a *Agent) runMember(ctx context.Context) error {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	watch := statusTracker{agent: a}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			a.member.Tick()
		case task := <-a.tasks:
			task()
		}
		for range min(len(a.tasks), taskBatchSize) { // one write to the storage for all that wait
			task := <-a.tasks
			task()
		}
		if err := a.member.Flush(); err != nil {
			a.log.Error("storage failed", "err", err)
			return fmt.Errorf("disk: %w", err)
		}
		watch.logLeadership()
		if watch.removalGraceEnded() {
			return nil
		}
	}
}

// statusTracker logs changes of the member's status.
type statusTracker struct {
	agent     *Agent
	isLeader  bool
	leader    uint64
	removedAt time.Duration // 0: it has not been removed
}

// logLeadership logs that this member has become or is no longer the leader, or that another one is.
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

// removalGraceEnded reports whether the member was removed from the group longer than RemovedGracePeriod ago.
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

// enqueueTask has the member's goroutine run a task. It returns false if that goroutine has ended, or too many tasks wait.
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
