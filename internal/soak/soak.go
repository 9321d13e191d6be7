// Package soak plays overlapping faults, drawn from a seed, against real node processes on loopback, and holds what clients, backends and
// discovery saw against the rules. A failing seed is a bug report: the same seed draws the same schedule.
//
// Everything but the nodes runs in one process and on one monotonic clock. Each node reaches discovery and every backend at addresses of its
// own, so that every record tells which node it belongs to.
package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Options say what to play.
type Options struct {
	Seed     uint64
	Nodes    int
	Backends int
	Length   time.Duration
	Dir      string                               // for configurations
	Command  func(configuration string) *exec.Cmd // starts a node in the foreground
}

// The deployment that is played. Times are those of the settings that the nodes get.
const (
	drainGrace      = 500 * time.Millisecond
	longestDeadline = 1500 * time.Millisecond
	keyWindow       = 5 * time.Second
	askEvery        = 90 * time.Second // ten processes spread their calls as far as 300 do by the usual 10 s
	clientsPerNode  = 4
)

// class is a kind of request that is played.
type class struct {
	name, effect string
	deadline     time.Duration
}

var classes = []class{
	{"read", "repeatable", 900 * time.Millisecond},
	{"pay", "once", longestDeadline},
	{"settle", "by_key", 1200 * time.Millisecond},
}

// run is the world of one seed.
type run struct {
	opts      Options
	began     time.Time
	members   *membership
	backends  []*backend
	nodes     []*node
	record    record
	stop      context.Context
	clients   sync.WaitGroup
	schedules sync.WaitGroup
}

// now is the time since the start.
func (r *run) now() time.Duration { return time.Since(r.began) }

// Play plays one seed and returns what broke the rules, and how many faults of each kind were played.
func Play(ctx context.Context, opts Options) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{opts: opts, began: time.Now(), stop: ctx}
	r.record.requests = map[string]*request{}
	r.members = newMembership(r, opts.Backends)
	for i := range opts.Backends {
		b, err := newBackend(r, i, opts.Nodes)
		if err != nil {
			return Result{}, err
		}
		defer b.close()
		r.backends = append(r.backends, b)
	}
	for i := range opts.Nodes {
		n, err := newNode(r, i)
		if err != nil {
			return Result{}, err
		}
		defer n.close()
		r.nodes = append(r.nodes, n)
	}
	for _, n := range r.nodes {
		if err := n.start(); err != nil {
			return Result{}, err
		}
	}
	for _, n := range r.nodes {
		for k := range clientsPerNode {
			c := &client{run: r, node: n, name: fmt.Sprintf("n%d-c%d", n.index, k), random: rand.New(rand.NewPCG(opts.Seed, uint64(n.index*clientsPerNode+k+1)))}
			r.clients.Go(c.loop)
		}
	}
	plan := draw(opts)
	for _, f := range plan {
		r.schedules.Go(func() { r.play(f) })
	}
	r.schedules.Wait()
	select {
	case <-time.After(opts.Length - r.now()):
	case <-ctx.Done():
	}
	cancel()
	r.clients.Wait()
	for _, n := range r.nodes {
		n.end()
	}
	return r.check(plan), nil
}

// node is one process of the program, its configuration, and what is known of its life.
type node struct {
	run       *run
	index     int
	discovery [2]*discovery // at two addresses: SIGHUP moves from one to the other
	listen    string

	mu     sync.Mutex
	busy   sync.Mutex // held by whoever starts, stops or signals it
	at     int        // which discovery its configuration names
	cmd    *exec.Cmd
	exited chan struct{}
	lives  []life
	log    *logWatch
	config string
	reach  []reach
}

// reach is from when on the discovery that the node is to ask could be reached, or could not.
type reach struct {
	at time.Duration
	is bool
}

// noteReach notes whether that is so now.
func (n *node) noteReach() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reach = append(n.reach, reach{n.run.now(), n.discovery[n.at].reachable()})
}

// reachedFor is when discovery had been within reach for so long on end, all of it after a time; ok is false where it never had.
func (n *node) reachedFor(d, after time.Duration) (at time.Duration, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	since, is := after, true
	for _, r := range n.reach {
		switch {
		case r.at <= after:
			is = r.is
		case is && r.at-since >= d:
			return since + d, true
		default:
			if r.is && !is {
				since = r.at
			}
			is = r.is
		}
	}
	return since + d, is
}

// life is one process.
type life struct {
	began, ready  time.Duration
	toldToEnd     time.Duration // SIGTERM; 0: it was not
	killed, ended time.Duration
}

func newNode(r *run, index int) (*node, error) {
	n := &node{run: r, index: index, config: filepath.Join(r.opts.Dir, fmt.Sprintf("n%d.json", index)), log: &logWatch{run: r}}
	for i := range n.discovery {
		d, err := newDiscovery(r, index)
		if err != nil {
			return nil, err
		}
		n.discovery[i] = d
	}
	addr, err := r.freeAddress(index)
	n.listen = addr
	return n, err
}

func (n *node) close() {
	for _, d := range n.discovery {
		if d != nil {
			d.close()
		}
	}
	n.kill()
}

// writeConfig writes the configuration with the list as this node was last told it.
func (n *node) writeConfig() error {
	type object = map[string]any
	var profiles []object
	for _, c := range classes {
		profiles = append(profiles, object{"name": c.name, "aim_us": (c.deadline / 2).Microseconds(), "deadline_us": c.deadline.Microseconds(),
			"effect": c.effect, "key_scope": "all", "window_us": keyWindow.Microseconds(), "late_share": 0.5})
	}
	rev, list := n.run.members.toldTo(n.index)
	text, err := json.Marshal(object{"name": fmt.Sprintf("n%d", n.index), "listen": n.listen, "discovery": n.discovery[n.at].addr(),
		"limits": object{"cores": 1, "memory_mb": 192, "sockets": 256},
		"known":  object{"rev": rev, "all": true, "targets": n.targets(list)},
		"settings": object{"discovery": "ask", "me": n.index, "peers_total": n.run.opts.Nodes, "zones": []string{"z"}, "tick_us": 5000,
			"orgs": []object{{"name": "t", "share": 1}}, "profiles": profiles,
			"limits": object{"connect_timeout_us": 250000, "keepalive_us": 30000000, "max_attempts": 3, "max_open": 20000, "cancelling": true},
			"rules":  object{"ask_every_us": askEvery.Microseconds(), "grace_to_answer_us": 20000, "drain_grace_us": drainGrace.Microseconds()}}})
	if err != nil {
		return err
	}
	temporary := n.config + ".new"
	if err := os.WriteFile(temporary, text, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, n.config)
}

func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.writeConfig(); err != nil {
		return err
	}
	n.cmd = n.run.opts.Command(n.config)
	n.cmd.Stderr, n.cmd.Stdout = n.log, n.log
	if err := n.cmd.Start(); err != nil {
		return fmt.Errorf("node %d: %w", n.index, err)
	}
	n.lives = append(n.lives, life{began: n.run.now()})
	exited, cmd, number := make(chan struct{}), n.cmd, len(n.lives)-1
	n.exited = exited
	go func() {
		_ = cmd.Wait()
		n.mu.Lock()
		n.lives[number].ended = n.run.now()
		n.mu.Unlock()
		close(exited)
	}()
	go n.awaitReady(number, exited)
	return nil
}

// awaitReady asks /ready as the front does.
func (n *node) awaitReady(number int, exited <-chan struct{}) {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		if resp, err := c.Get("http://" + n.listen + "/ready"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				n.mu.Lock()
				n.lives[number].ready = n.run.now()
				n.mu.Unlock()
				return
			}
		}
		select {
		case <-exited:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

func (n *node) kill() {
	n.mu.Lock()
	if len(n.lives) > 0 {
		n.lives[len(n.lives)-1].killed = n.run.now()
	}
	exited := n.exited
	n.mu.Unlock()
	n.signal(syscall.SIGKILL)
	if exited != nil {
		<-exited
	}
}

// terminate sends SIGTERM and waits as long as the rules allow, and SIGKILL after that.
func (n *node) terminate() {
	n.mu.Lock()
	n.lives[len(n.lives)-1].toldToEnd = n.run.now()
	exited := n.exited
	n.mu.Unlock()
	n.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(stopWithin + 2*scheduling):
		n.kill()
	}
}

// end is the end of the play: every process is told to end, as at a planned stop.
func (n *node) end() {
	n.busy.Lock()
	defer n.busy.Unlock()
	n.terminate()
}

// move has the node turn to its other discovery.
func (n *node) move() error {
	n.mu.Lock()
	old := n.discovery[n.at]
	n.at = 1 - n.at
	n.discovery[n.at].open()
	err := n.writeConfig()
	n.mu.Unlock()
	if err != nil {
		return err
	}
	n.noteReach()
	n.signal(syscall.SIGHUP)
	go func() {
		time.Sleep(1500 * time.Millisecond)
		old.shutForNow()
	}()
	return nil
}

// taken tells whether the process may be held to a request sent at a time and not answered by another: it lived all that while, and had not
// been told to end.
func (n *node) served(from, to time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.lives {
		end := l.ended
		if l.killed > 0 && (end == 0 || l.killed < end) {
			end = l.killed
		}
		if l.ready > 0 && from >= l.ready && (end == 0 || to < end) && (l.toldToEnd == 0 || to < l.toldToEnd) {
			return true
		}
	}
	return false
}

// logWatch keeps the lines of a log that must not be there.
type logWatch struct {
	mu   sync.Mutex
	rest []byte
	bad  []string
	// discovery has the lines on lists and calls, each with when it was written.
	discovery []string
	run       *run
}

// membershipLines are in the log where the list of backends, or its age, changes.
var membershipLines = [][]byte{[]byte("msg=backends"), []byte("discovery failed"), []byte("list of backends"), []byte("msg=serving"), []byte("taken up"),
	[]byte("msg=draining")}

var forbidden = [][]byte{[]byte("invariant violated"), []byte("panic:"), []byte("request overdue"), []byte("DATA RACE"),
	[]byte("attempt without"), []byte("requests unanswered"), []byte("within a request")}

func (l *logWatch) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rest = append(l.rest, p...)
	for {
		line, rest, whole := bytes.Cut(l.rest, []byte("\n"))
		if !whole {
			return len(p), nil
		}
		for _, f := range forbidden {
			if bytes.Contains(line, f) {
				l.bad = append(l.bad, string(line))
			}
		}
		for _, f := range membershipLines {
			if bytes.Contains(line, f) {
				l.discovery = append(l.discovery, fmt.Sprintf("%.3f %s", l.run.now().Seconds(), line))
			}
		}
		l.rest = rest
	}
}
