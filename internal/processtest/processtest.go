package processtest

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"tulipglade/internal/agent"
	"tulipglade/internal/consensus"
	"tulipglade/internal/faultinject"
	"tulipglade/internal/lease"
)

// Options are what a Rig is made of.
type Options struct {
	Agents, Holders int
	Spares          int // agents that are no members yet; they come after the others
	Terms           lease.Terms
	LeaseDuration   time.Duration // of a lease
	Without         Without
	Plans           *agent.FailoverOptions // of agents
	Acts            int                    // that a holder makes before it lets the lease go; 0: some
	Seed            uint64
	Dir             string // set by Start
}

// The terms of schedules: short, so that much happens.
var (
	Terms    = lease.Terms{Interval: 100 * time.Millisecond, Drift: 0.01}
	leaseFor = 1500 * time.Millisecond
)

// part is one process of a Rig. While it is down, its settings wait.
type part struct {
	settings
	cmd   *exec.Cmd
	in    io.WriteCloser
	ended chan struct{}
}

// Harness is processes with relays between them, and their one log.
type Harness struct {
	o      Options
	parts  []*part // agents, then holders, then the target
	relays map[[2]int]*relay
	wait   sync.WaitGroup

	mu    sync.Mutex
	log   []Event
	more  chan struct{}                           // closed when the log has grown
	on    map[int]func(from, to int) (link, bool) // what faults do to links, by a number of theirs
	next  int
	ended bool
}

// Start starts the processes.
func Start(o Options) (r *Harness, err error) {
	if o.Terms.Interval == 0 {
		o.Terms, o.LeaseDuration = Terms, leaseFor
	}
	if o.Dir, err = os.MkdirTemp("", "rig"); err != nil {
		return nil, err
	}
	r = &Harness{o: o, relays: map[[2]int]*relay{}, more: make(chan struct{}), on: map[int]func(int, int) (link, bool){}}
	defer func() {
		if err != nil {
			r.Stop()
		}
	}()
	addrs, err := freeAddresses(nextLoopbackHost(), o.Agents+o.Spares+1)
	if err != nil {
		return nil, err
	}
	target := addrs[o.Agents+o.Spares]
	members := map[uint64]string{}
	for i := range o.Agents {
		members[uint64(i+1)] = addrs[i]
	}
	kept, err := consensus.Bootstrap(members, o.Terms)
	if err != nil {
		return nil, err
	}
	for i := range o.Agents + o.Spares {
		if i == o.Agents {
			kept = consensus.EmptyState()
		}
		s := settings{Role: "agent", Name: fmt.Sprint("agent", i+1), Dir: filepath.Join(o.Dir, fmt.Sprint("agent", i+1)), Listen: addrs[i], Plans: o.Plans}
		if err := agent.Create(s.Dir, agent.Identity{Group: "rig", ID: uint64(i + 1), Address: addrs[i]}, kept); err != nil {
			return nil, err
		}
		r.parts = append(r.parts, &part{settings: s})
	}
	for i := range o.Holders {
		r.parts = append(r.parts, &part{settings: settings{Role: "holder", Name: fmt.Sprint("holder", i+1), Agents: addrs[:o.Agents], Target: target,
			For: o.LeaseDuration, Acts: o.Acts}})
	}
	r.parts = append(r.parts, &part{settings: settings{Role: "target", Name: "target", Listen: target}})
	for i, p := range r.parts[:len(r.parts)-1] {
		p.Without, p.Dial = o.Without, map[string]string{}
		for j, q := range r.parts {
			if i == j || q.Role == "holder" || p.Role == "agent" && q.Role == "target" {
				continue
			}
			way, err := newRelay(q.Listen, o.Seed)
			if err != nil {
				return nil, err
			}
			r.relays[[2]int{i, j}] = way
			p.Dial[q.Listen] = way.addr()
		}
	}
	r.parts[len(r.parts)-1].Without = o.Without
	for i := range r.parts {
		if err := r.start(i); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func (r *Harness) start(i int) error {
	p := r.parts[i]
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.cmd != nil || r.ended {
		return nil
	}
	raw, err := json.Marshal(p.settings)
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.Command(self)
	cmd.Env = append(os.Environ(), roleEnv+"="+string(raw))
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	errs, err := os.OpenFile(filepath.Join(r.o.Dir, p.Name+".err"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer errs.Close()
	cmd.Stderr = errs
	in, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.in, p.ended = cmd, in, make(chan struct{})
	ended := p.ended
	r.wait.Go(func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			var e Event
			if json.Unmarshal(lines.Bytes(), &e) == nil { // a process that is killed leaves half a line
				r.add(e)
			}
		}
		_ = cmd.Wait()
		r.mu.Lock()
		if p.cmd == cmd {
			p.cmd = nil
		}
		r.mu.Unlock()
		close(ended)
	})
	return nil
}

func (r *Harness) add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log = append(r.log, e)
	close(r.more)
	r.more = make(chan struct{})
}

// Log is what all processes have said so far, by the one clock.
func (r *Harness) Log() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	log := slices.Clone(r.log)
	slices.SortStableFunc(log, func(a, b Event) int { return int(a.At - b.At) })
	return log
}

// Await waits until the log from that place on has a line that is wanted, and returns it with the place after it.
func (r *Harness) Await(ctx context.Context, from int, want func(Event) bool) (Event, int, error) {
	for {
		r.mu.Lock()
		log, more := r.log[min(from, len(r.log)):], r.more
		r.mu.Unlock()
		for _, e := range log {
			from++
			if want(e) {
				return e, from, nil
			}
		}
		select {
		case <-ctx.Done():
			return Event{}, from, ctx.Err()
		case <-more:
		}
	}
}

// Here is the place after the last line of the log.
func (r *Harness) Here() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.log)
}

// Index is a process's number, by its name.
func (r *Harness) Index(name string) int {
	return slices.IndexFunc(r.parts, func(p *part) bool { return p.Name == name })
}

// Leader is the agent that was the last to say that it leads; -1: none has.
func (r *Harness) Leader() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range slices.Backward(r.log) {
		if e.Kind == "lead" && strings.Contains(e.Text, "leads=true") {
			return r.Index(e.Process)
		}
	}
	return -1
}

func (r *Harness) signal(i int, s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.parts[i]; p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // it may have ended
	}
}

func (r *Harness) order(i int, line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.parts[i]; p.cmd != nil {
		_, _ = io.WriteString(p.in, line+"\n") // it may have ended
	}
}

// kill ends a process, and waits for that.
func (r *Harness) kill(i int) {
	r.mu.Lock()
	ended := r.parts[i].ended
	r.mu.Unlock()
	r.signal(i, syscall.SIGKILL)
	if ended != nil {
		<-ended
	}
}

// relink has the relays do what the faults that are on ask for.
func (r *Harness) relink() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for way, relay := range r.relays {
		var is link
		for _, f := range r.on {
			if l, hit := f(way[0], way[1]); hit {
				is = link{is.cut || l.cut, is.silent || l.silent, max(is.delay, l.delay), max(is.reset, l.reset)}
			}
		}
		relay.set(is)
	}
}

// hit is which links a fault changes, and how.
func (r *Harness) hit(f faultinject.Fault, who int) func(from, to int) (link, bool) {
	either := func(from, to int) bool { return from == who || to == who }
	ms := time.Duration(f.Size) * time.Millisecond
	switch f.Kind {
	case faultinject.LinkCut, faultinject.LinkFlap:
		return func(from, to int) (link, bool) { return link{cut: true}, either(from, to) }
	case faultinject.LinkSendCut:
		return func(from, _ int) (link, bool) { return link{cut: true}, from == who }
	case faultinject.LinkReceiveCut:
		return func(_, to int) (link, bool) { return link{cut: true}, to == who }
	case faultinject.LinkBridge:
		return func(from, to int) (link, bool) {
			return link{cut: true}, !either(from, to) && from%2 != to%2 && to < r.o.Agents
		}
	case faultinject.LinkSilent:
		return func(from, to int) (link, bool) { return link{silent: true}, either(from, to) }
	case faultinject.LinkDelay:
		return func(from, to int) (link, bool) { return link{delay: ms}, either(from, to) }
	case faultinject.LinkReset:
		return func(from, _ int) (link, bool) { return link{reset: f.Size}, from == who }
	}
	return nil
}

// Fault begins a fault; end ends it. Whom it hits is settled when it begins.
func (r *Harness) Fault(f faultinject.Fault) (end func()) {
	var ends []func()
	for _, who := range f.Processes {
		if who < 0 {
			who = max(r.Leader(), 0)
		}
		r.add(Event{At: agent.Clock(), Process: r.parts[who].Name, Kind: "fault", Text: f.String()})
		ends = append(ends, r.fault(f, who))
	}
	return func() {
		for _, f := range ends {
			f()
		}
		r.add(Event{At: agent.Clock(), Process: "rig", Kind: "fault ends", Text: f.String()})
	}
}

func (r *Harness) fault(f faultinject.Fault, who int) (end func()) {
	again := func() { _ = r.start(who) } // what does not come up shows in the log
	switch f.Kind {
	case faultinject.ProcessKill:
		r.kill(who)
		return again
	case faultinject.ProcessStop:
		r.signal(who, syscall.SIGSTOP)
		return func() { r.signal(who, syscall.SIGCONT) }
	case faultinject.ClockRate:
		r.order(who, fmt.Sprint("rate ", f.Size))
		return func() { r.order(who, "rate 1") }
	case faultinject.ClockJump:
		r.order(who, fmt.Sprint("jump ", f.Size))
		return func() {}
	case faultinject.DiskStall:
		r.order(who, fmt.Sprint("stall ", f.Size))
		return func() { r.order(who, "stall 0") }
	case faultinject.DiskFull, faultinject.DiskSync:
		r.order(who, map[faultinject.Kind]string{faultinject.DiskFull: "full", faultinject.DiskSync: "sync"}[f.Kind])
		return func() { // by then it has ended, if it had anything to write
			r.kill(who)
			again()
		}
	}
	r.mu.Lock()
	id := r.next
	r.next++
	r.mu.Unlock()
	set := func(on bool) {
		r.mu.Lock()
		if delete(r.on, id); on {
			r.on[id] = r.hit(f, who)
		}
		r.mu.Unlock()
		r.relink()
	}
	set(true)
	if f.Kind != faultinject.LinkFlap {
		return func() { set(false) }
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for on := false; ; on = !on {
			select {
			case <-stop:
				set(false)
				return
			case <-time.After(time.Duration(f.Size) * time.Millisecond):
				set(on)
			}
		}
	}()
	return func() {
		close(stop)
		<-stopped
	}
}

// Heal has everything run again that is stopped or down.
func (r *Harness) Heal() error {
	for i := range r.parts {
		r.signal(i, syscall.SIGCONT)
		if err := r.start(i); err != nil {
			return err
		}
	}
	return nil
}

// Stop ends all processes and relays, and waits for that.
func (r *Harness) Stop() {
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	for i := range r.parts {
		r.kill(i)
	}
	for _, way := range r.relays {
		way.close()
	}
	r.wait.Wait()
	_ = os.RemoveAll(r.o.Dir)
}

// Plan draws what goes wrong, and when, from a seed.
func Plan(o Options, length time.Duration, count int) []faultinject.Fault {
	r := rand.New(rand.NewPCG(o.Seed, 0x419))
	drawn := faultinject.RandomFaults{Count: count, MinMs: 300, MaxMs: 2500}
	return drawn.Draw(faultinject.Scope{Processes: o.Agents + o.Holders}, length.Milliseconds(), r)
}

// Play begins and ends faults when they are due, heals all, and waits until somebody acts again.
func (r *Harness) Play(ctx context.Context, plan []faultinject.Fault, bound time.Duration) error {
	type turn struct {
		at time.Duration
		do func()
	}
	var turns []turn
	for _, f := range plan {
		var end func()
		turns = append(turns, turn{time.Duration(f.Start) * time.Millisecond, func() { end = r.Fault(f) }},
			turn{time.Duration(f.End()) * time.Millisecond, func() { end() }})
	}
	slices.SortStableFunc(turns, func(a, b turn) int { return int(a.at - b.at) })
	began := time.Now()
	for _, t := range turns {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(began.Add(t.at))):
		}
		t.do()
	}
	if err := r.Heal(); err != nil {
		return err
	}
	r.add(Event{At: agent.Clock(), Process: "rig", Kind: "healed"})
	ctx, stop := context.WithTimeout(ctx, bound)
	defer stop()
	if _, _, err := r.Await(ctx, r.Here(), func(e Event) bool { return e.Kind == "begins" }); err != nil {
		return errors.Join(ErrIdle, err)
	}
	return nil
}

// ErrIdle is a schedule after whose faults nobody acted any more.
var ErrIdle = errors.New("nobody acts after the faults")

// Schedules plays so many schedules, of seeds from the first, a few at a time, and adds up what they show. Report is called after each.
func Schedules(ctx context.Context, first uint64, n, parallel int, without Without, report func(seed uint64, f Findings, err error)) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(parallel)
	var mu sync.Mutex
	for i := range n {
		seed := first + uint64(i)
		g.Go(func() error {
			f, err := Schedule(ctx, seed, without)
			if ctx.Err() != nil {
				return ctx.Err()
			}
			mu.Lock()
			defer mu.Unlock()
			report(seed, f, err)
			return nil
		})
	}
	return g.Wait()
}

// Of one schedule: how long faults begin for, how many, and how long the group may take to be well again after them: elections, a
// lease's length and a holder's pauses take 4 s on a machine that has nothing else to do.
const (
	faulty = 6 * time.Second
	count  = 8
	well   = 30 * time.Second
)

// Schedule plays the schedule of a seed: 3 agents, or 5 for every third, and 3 holders.
func Schedule(ctx context.Context, seed uint64, without Without) (Findings, error) {
	return play(ctx, seed, without, Faults(seed))
}

func options(seed uint64, without Without) Options {
	o := Options{Agents: 3, Holders: 3, Seed: seed, Without: without}
	if seed%3 == 0 {
		o.Agents = 5
	}
	return o
}

// Faults are those of a seed's schedule.
func Faults(seed uint64) []faultinject.Fault { return Plan(options(seed, Without{}), faulty, count) }

// Fails tells whether these faults of a seed's schedule break something in one of so many tries: when each process does what is
// not drawn from the seed.
func Fails(ctx context.Context, seed uint64, without Without, plan []faultinject.Fault, tries int) (bool, error) {
	for range tries {
		f, err := play(ctx, seed, without, plan)
		if err != nil && !errors.Is(err, ErrIdle) {
			return false, err
		}
		if err != nil || len(f.Broken) > 0 {
			return true, nil
		}
	}
	return false, nil
}

func play(ctx context.Context, seed uint64, without Without, plan []faultinject.Fault) (Findings, error) {
	o := options(seed, without)
	r, err := Start(o)
	if err != nil {
		return Findings{}, err
	}
	defer r.Stop()
	err = r.Play(ctx, plan, well)
	return Check(r.Log()), err
}
