// Package agent is the I/O round a member of the group that agrees on leases: its disk, its clock, what it says to the others
// over HTTP/1.1 and what holders and operators ask of it. It holds no choice of its own. Loopback only: nothing here proves
// who asks.
package agent

import (
	"bytes"
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"tulipglade/internal/consensus"
	"tulipglade/internal/lease"
	"tulipglade/internal/loopback"
)

// TickInterval is one step of the clock by which a leader is missed; Silence is for how many of them, to twice as many.
const (
	TickInterval  = 50 * time.Millisecond
	ElectionTicks = 10
	// RemovedGrace is for how long a member that was removed stays.
	RemovedGrace = 10 * time.Second

	compactEach = 2000 // entries
	patience    = 100  // beats until a request is given up
	queueMost   = 1024 // of what waits for the member
	postMost    = 256  // of messages that wait for another one
	postWithin  = ElectionTicks * TickInterval
	idlePost    = time.Minute
	bodyMost    = 4 * lease.MaxNoteBytes // of a request: quotes in a note take more than they are
	messageMost = 32 << 20
	connsMost   = 4096 // nodes that tell keep one each
	batch       = 256  // requests between two writes
)

// Header names of what members say to each other.
const (
	headGroup   = "X-Group"
	headAddress = "X-Address"
)

// Options are what an Agent is made of. What is not set is as in service.
type Options struct {
	Log         *slog.Logger
	Clock       func() time.Duration                                    // monotonic
	WrapStorage func(consensus.Storage) consensus.Storage               // what lies before the disk
	Dial        func(context.Context, string, string) (net.Conn, error) // to the others
	Failover    *FailoverOptions                                        // of failover; nil: it takes no part
	Listener    net.Listener                                            // already open, at the member's address
}

// Agent is one member at work.
type Agent struct {
	o      Options
	who    Identity
	member *consensus.Member
	do     chan func()
	down   chan struct{} // closed when the member's goroutine has ended
	client *http.Client
	log    *slog.Logger

	mu    sync.Mutex
	posts map[string]chan post
	wait  sync.WaitGroup
}

type post struct {
	id   uint64
	raw  []byte
	snap bool
}

// CheckAddress tells whether a member may listen there.
func CheckAddress(addr string) error {
	if err := loopback.Check(addr); err != nil {
		return err
	}
	_, port, _ := net.SplitHostPort(addr) // it has just been split
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		return fmt.Errorf("%q: no such port", addr)
	}
	return nil
}

// Serve runs the member of a folder until ctx ends, or it can't go on.
func Serve(ctx context.Context, dir string, o Options) (err error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Clock == nil {
		began := time.Now()
		o.Clock = func() time.Duration { return time.Since(began) }
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: postWithin}).DialContext
	}
	disk, kept, err := Open(dir)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, disk.Close()) }()
	a := &Agent{o: o, who: disk.Identity, do: make(chan func(), queueMost), down: make(chan struct{}), log: o.Log, posts: map[string]chan post{}}
	a.client = &http.Client{Timeout: postWithin, Transport: &http.Transport{DialContext: o.Dial, MaxIdleConnsPerHost: 2, IdleConnTimeout: idlePost,
		DisableCompression: true}}
	var saves consensus.Storage = disk
	if o.WrapStorage != nil {
		saves = o.WrapStorage(disk)
	}
	var seed [16]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return err
	}
	r := rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
	a.member, err = consensus.New(consensus.Options{ID: a.who.ID, Clock: o.Clock, Rand: r, Storage: saves, Send: a.send, ElectionTicks: ElectionTicks, SnapshotEntries: compactEach,
		RequestTimeoutTicks: patience}, kept)
	if err != nil {
		return err
	}
	ln := o.Listener
	if ln == nil {
		if ln, err = net.Listen("tcp", a.who.Address); err != nil {
			return err
		}
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer a.wait.Wait()
	defer a.client.CloseIdleConnections()
	mux := a.handler(ctx)
	if o.Failover != nil {
		d, err := newDirector(a, *o.Failover)
		if err != nil {
			return errors.Join(err, ln.Close())
		}
		d.routes(ctx, mux)
		a.wait.Go(func() { d.pass(ctx) })
		a.wait.Go(func() { d.direct(ctx) })
	}
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 2 * time.Second, ReadTimeout: 5 * time.Second, IdleTimeout: idlePost,
		MaxHeaderBytes: 8 << 10, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	a.log.Info("agent serves", "group", a.who.Group, "id", a.who.ID, "addr", a.who.Address, "members", len(a.member.Status().Members))
	var g errgroup.Group
	g.Go(func() error {
		defer stop()
		if err := server.Serve(netutil.LimitListener(ln, connsMost)); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go(func() error {
		defer stop()
		defer close(a.down)
		return a.run(ctx)
	})
	g.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	err = g.Wait()
	a.log.Info("agent stopped", "err", err)
	return err
}

// run is the member's goroutine.
func (a *Agent) run(ctx context.Context) error {
	beat := time.NewTicker(TickInterval)
	defer beat.Stop()
	led, leader, removed := false, uint64(0), time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-beat.C:
			a.member.Tick()
		case f := <-a.do:
			f()
		}
		for range min(len(a.do), batch) { // one write for all that wait
			(<-a.do)()
		}
		if err := a.member.Flush(); err != nil {
			a.log.Error("the disk failed: this member ends", "err", err)
			return fmt.Errorf("disk: %w", err)
		}
		switch leads := a.member.IsLeader(); {
		case leads != led:
			led = leads
			a.log.Info("lead", "leads", leads, "term", a.member.Term())
		case a.member.Leader() != leader:
			leader = a.member.Leader()
			a.log.Info("leader", "id", leader, "term", a.member.Term())
		}
		switch now := a.o.Clock(); {
		case !a.member.Removed():
			removed = 0
		case removed == 0:
			removed = now
			a.log.Info("removed from the group", "stays", RemovedGrace)
		case now-removed > RemovedGrace:
			return nil
		}
	}
}

// ask has the member's goroutine do something. It is false where that has ended, or is too far behind.
func (a *Agent) ask(f func()) bool {
	select {
	case <-a.down:
		return false
	default:
	}
	select {
	case a.do <- f:
		return true
	default:
		return false
	}
}

// ---- to the other members ----

// send is called on the member's goroutine.
func (a *Agent) send(to string, m *pb.Message) {
	raw, err := proto.Marshal(m)
	if err != nil {
		a.log.Error("message not sent", "err", err)
		return
	}
	p := post{m.GetTo(), raw, m.GetType() == pb.MsgSnap}
	a.mu.Lock()
	defer a.mu.Unlock()
	queue := a.posts[to]
	if queue == nil {
		queue = make(chan post, postMost)
		a.posts[to] = queue
		a.wait.Go(func() { a.postman(to, queue) })
	}
	select {
	case queue <- p:
	default: // it is lost; raft sends anew
		if p.snap {
			a.ask(func() { a.member.Delivered(p.id, false) })
		}
	}
}

// postman brings messages to one address, in order, until there has been none for a while.
func (a *Agent) postman(to string, queue chan post) {
	idle := time.NewTimer(idlePost)
	defer idle.Stop()
	for {
		idle.Reset(idlePost)
		select {
		case <-a.down:
			return
		case <-idle.C:
			a.mu.Lock()
			if len(queue) == 0 {
				delete(a.posts, to)
				a.mu.Unlock()
				return
			}
			a.mu.Unlock()
		case p := <-queue:
			err := a.deliver(to, p)
			switch {
			case p.snap:
				a.ask(func() { a.member.Delivered(p.id, err == nil) })
			case err != nil:
				a.ask(func() { a.member.Unreachable(p.id) })
			}
		}
	}
}

func (a *Agent) deliver(to string, p post) error {
	req, err := http.NewRequest("POST", "http://"+to+"/raft", bytes.NewReader(p.raw))
	if err != nil {
		return err
	}
	req.Header.Set(headGroup, a.who.Group)
	req.Header.Set(headAddress, a.who.Address)
	resp, err := a.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, bodyMost)); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// ---- what is asked ----

// Response is what a request comes back with. Code says why not; see codes.
type Response struct {
	Grant  *lease.Grant      `json:"grant,omitempty"`
	Terms  *lease.Terms      `json:"terms,omitempty"`
	Status *consensus.Status `json:"view,omitempty"`
	Code   string            `json:"code,omitempty"`
	Error  string            `json:"error,omitempty"`
	Leader string            `json:"leader,omitempty"` // where to ask instead, if it is known
}

// codes are the refusals, by what they are called in an Answer, and their statuses.
var codes = map[string]struct {
	err    error
	status int
}{
	"taken": {lease.ErrNoFreeSlot, 409}, "not-held": {lease.ErrNotGranted, 409}, "fewer": {lease.ErrFewer, 409}, "bad": {lease.ErrInvalid, 400},
	"full": {lease.ErrFull, 507}, "unsure": {consensus.ErrOutcomeUnknown, 503}, "busy": {consensus.ErrBusy, 503}, "not-now": {consensus.ErrInvalidChange, 409},
}

const codeLeader = "not-leader"

// verbs are the commands on leases, by their paths.
var verbs = map[string]lease.Kind{"acquire": lease.Acquire, "renew": lease.Renew, "release": lease.Release, "most": lease.SetMaxHolders, "note": lease.SetNote}

func (a *Agent) handler(ctx context.Context) *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /raft", a.raft)
	mux.HandleFunc("POST /lease/{verb}", func(w http.ResponseWriter, r *http.Request) {
		kind, ok := verbs[r.PathValue("verb")]
		if !ok {
			http.NotFound(w, r)
			return
		}
		var c lease.Command
		if !read(w, r, &c) {
			return
		}
		c.Kind = kind
		a.answer(ctx, w, r, func(reply func(Response, error)) {
			a.member.Propose(c, func(g lease.Grant, err error) {
				terms := a.member.Terms()
				reply(Response{Grant: &g, Terms: &terms}, err)
			})
		})
	})
	mux.HandleFunc("GET /leases", func(w http.ResponseWriter, r *http.Request) {
		a.answer(ctx, w, r, func(reply func(Response, error)) {
			a.member.ReadIndex(func(err error) {
				v := a.member.Status()
				reply(Response{Status: &v}, err)
			})
		})
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) { // of this member, whatever it is worth
		a.answer(ctx, w, r, func(reply func(Response, error)) {
			v := a.member.Status()
			reply(Response{Status: &v}, nil)
		})
	})
	mux.HandleFunc("POST /members", func(w http.ResponseWriter, r *http.Request) {
		var c MembershipChange
		if !read(w, r, &c) {
			return
		}
		for _, addr := range c.Add {
			if err := CheckAddress(addr); err != nil {
				tell(w, 400, Response{Code: "bad", Error: err.Error()})
				return
			}
		}
		a.answer(ctx, w, r, func(reply func(Response, error)) {
			a.member.ChangeMembers(c.Add, c.Remove, func(err error) { reply(Response{}, err) })
		})
	})
	return mux
}

// MembershipChange is a change of members.
type MembershipChange struct {
	Add    map[uint64]string `json:"add,omitempty"`
	Remove []uint64          `json:"remove,omitempty"`
}

func read(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyMost))
	if err := d.Decode(into); err != nil {
		tell(w, 400, Response{Code: "bad", Error: err.Error()})
		return false
	}
	return true
}

func tell(w http.ResponseWriter, status int, a Response) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a) // whoever asked may have gone
}

// answer has the member's goroutine do something, and answers with what comes of it.
func (a *Agent) answer(ctx context.Context, w http.ResponseWriter, r *http.Request, do func(reply func(Response, error))) {
	type result struct {
		Response
		err error
	}
	got := make(chan result, 1)
	if !a.ask(func() { do(func(of Response, err error) { got <- result{of, err} }) }) {
		tell(w, 503, Response{Code: "busy", Error: consensus.ErrBusy.Error()})
		return
	}
	select {
	case is := <-got:
		status, out := 200, is.Response
		if is.err != nil {
			status, out = 500, Response{Error: is.err.Error()}
			for code, c := range codes {
				if errors.Is(is.err, c.err) {
					status, out.Code = c.status, code
				}
			}
			var not consensus.NotLeaderError
			if errors.As(is.err, &not) {
				status, out.Code, out.Leader = http.StatusMisdirectedRequest, codeLeader, not.Address
			}
		}
		tell(w, status, out)
	case <-r.Context().Done():
	case <-ctx.Done():
	case <-a.down:
	}
}

// raft takes in a message of another member. It is answered before it has had any effect: what comes of it is a message.
func (a *Agent) raft(w http.ResponseWriter, r *http.Request) {
	if got := r.Header.Get(headGroup); got != a.who.Group {
		http.Error(w, "not of this group", http.StatusForbidden)
		return
	}
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, messageMost))
	var m pb.Message
	if err == nil {
		err = proto.Unmarshal(raw, &m)
	}
	if err != nil || m.GetTo() != a.who.ID {
		http.Error(w, "not a message for this member", http.StatusBadRequest)
		return
	}
	from := r.Header.Get(headAddress)
	if CheckAddress(from) != nil || !a.ask(func() {
		if err := a.member.Step(from, &m); err != nil {
			a.log.Warn("message not taken", "from", m.GetFrom(), "err", err)
		}
	}) {
		http.Error(w, "not now", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
