package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds.
const (
	NodeKilled          Kind = "node killed"     // SIGKILL; it starts again later with the list that it had been told
	NodeStopped         Kind = "node stopped"    // SIGTERM; it starts again as it has ended
	NodeStalled         Kind = "node held up"    // SIGSTOP for up to 0.15 s, again and again
	NodeMoved           Kind = "discovery moved" // SIGHUP with another address of discovery
	DiscoveryDown       Kind = "discovery down"  // calls and watches are reset
	DiscoveryBusy       Kind = "discovery busy"  // calls wait, and are turned away
	DiscoverySlow       Kind = "discovery slow"  // answers come late
	WatchesSilent       Kind = "watches silent"  // watches that are open are never answered
	BackendDrains       Kind = "backend drains"  // it is listed as draining, then as gone, and answers all along
	BackendRemoved      Kind = "backend gone"    // it is off the list at once, and answers all along
	BackendCrashed      Kind = "backend crashed" // its process dies, and the list says so later
	BackendHangs        Kind = "backend hangs"   //
	BackendResets       Kind = "backend resets"  //
	BackendRefuses      Kind = "backend refuses" // 503 marked as never run
	BackendSendsGarbage Kind = "backend garbles" //
	SitePowerLost       Kind = "power of a site" // a third of the nodes and of the backends die together, and come back together
	kindsOfOneThing          = 15
)

var kinds = []Kind{NodeKilled, NodeStopped, NodeStalled, NodeMoved, DiscoveryDown, DiscoveryBusy, DiscoverySlow, WatchesSilent, BackendDrains,
	BackendRemoved, BackendCrashed, BackendHangs, BackendResets, BackendRefuses, BackendSendsGarbage}

// Fault is one thing that goes wrong for a time.
type Fault struct {
	Kind      Kind
	At, For   time.Duration
	Target    []int // nodes or backends
	Parameter uint64
}

func (f Fault) String() string {
	return fmt.Sprintf("%.3f %s %v for %.3f", f.At.Seconds(), f.Kind, f.Target, f.For.Seconds())
}

// How schedules are drawn.
const (
	firstFault   = 1500 * time.Millisecond
	lastFault    = 4 * time.Second // before the end
	faultEvery   = 350 * time.Millisecond
	longestFault = 7 * time.Second
)

// draw is the schedule of a seed: faults overlap, and one in eight schedules loses a site on top of them.
func draw(opts Options) []Fault {
	random := rand.New(rand.NewPCG(opts.Seed, 0))
	var plan []Fault
	for at := firstFault; at < opts.Length-lastFault; at += time.Duration(random.Int64N(int64(2 * faultEvery))) {
		f := Fault{Kind: kinds[random.IntN(len(kinds))], At: at, Parameter: random.Uint64()}
		f.For = 200*time.Millisecond + time.Duration(random.Int64N(int64(longestFault)))
		of, most := opts.Nodes, max(opts.Nodes/3, 1)
		switch f.Kind {
		case DiscoveryDown, DiscoveryBusy, DiscoverySlow, WatchesSilent:
			most = opts.Nodes
		case BackendDrains, BackendRemoved, BackendCrashed, BackendHangs, BackendResets, BackendRefuses, BackendSendsGarbage:
			of, most = opts.Backends, max(opts.Backends/3, 1)
		}
		f.Target = random.Perm(of)[:1+random.IntN(most)]
		slices.Sort(f.Target)
		plan = append(plan, f)
	}
	if random.IntN(8) == 0 || opts.Seed%4 == 0 {
		plan = append(plan, Fault{Kind: SitePowerLost, At: firstFault + time.Second, For: 5 * time.Second, Target: []int{random.IntN(3)}})
	}
	return plan
}

// play is one fault from its beginning to its end.
func (r *run) play(f Fault) {
	if !r.sleepUntil(f.At) {
		return
	}
	switch f.Kind {
	case DiscoveryDown, DiscoveryBusy, DiscoverySlow:
		is := map[Kind]behaviour{DiscoveryDown: down, DiscoveryBusy: busy, DiscoverySlow: slow}[f.Kind]
		r.eachDiscovery(f.Target, func(d *discovery) { d.become(is) })
		r.sleep(min(f.For, 5*time.Second))
		r.eachDiscovery(f.Target, func(d *discovery) { d.become(answers) })
	case WatchesSilent:
		r.eachDiscovery(f.Target, func(d *discovery) { d.hush() })
	case NodeKilled, NodeStopped, NodeStalled, NodeMoved:
		for _, i := range f.Target {
			r.schedules.Go(func() { r.playNode(f, r.nodes[i]) })
		}
	case SitePowerLost:
		r.losePower(f)
	default:
		for _, i := range f.Target {
			r.schedules.Go(func() { r.playBackend(f, r.backends[i]) })
		}
	}
}

func (r *run) eachDiscovery(who []int, do func(*discovery)) {
	for _, i := range who {
		for _, d := range r.nodes[i].discovery {
			do(d)
		}
	}
}

// playNode plays a fault of one process. One at a time happens to each.
func (r *run) playNode(f Fault, n *node) {
	if !n.busy.TryLock() {
		return
	}
	defer n.busy.Unlock()
	switch f.Kind {
	case NodeKilled:
		n.kill()
		r.sleep(f.For)
		_ = n.start()
	case NodeStopped:
		n.terminate()
		r.sleep(f.For / 4)
		_ = n.start()
	case NodeStalled:
		for k := range 5 {
			n.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(50+(f.Parameter>>k)%90) * time.Millisecond)
			n.signal(syscall.SIGCONT)
			r.sleep(300 * time.Millisecond)
		}
	case NodeMoved:
		_ = n.move()
		r.sleep(2 * time.Second) // the old address has ended by then
	}
}

// playBackend plays a fault of one backend. One at a time happens to each.
func (r *run) playBackend(f Fault, b *backend) {
	if !b.busy.TryLock() {
		return
	}
	defer b.busy.Unlock()
	switch f.Kind {
	case BackendDrains:
		r.members.set(b.index, terminating, false)
		r.sleep(f.For / 2)
		r.members.set(b.index, terminated, false)
		r.sleep(f.For / 2)
		r.members.set(b.index, inService, true)
	case BackendRemoved:
		r.members.set(b.index, terminated, false)
		r.sleep(f.For)
		r.members.set(b.index, inService, true)
	case BackendCrashed:
		b.become(crashed)
		r.sleep(time.Second)
		r.members.set(b.index, terminated, false)
		r.sleep(f.For)
		b.become(healthy)
		r.members.set(b.index, inService, true)
	default:
		b.become(map[Kind]trouble{BackendHangs: hangs, BackendResets: resets, BackendRefuses: refuses, BackendSendsGarbage: garbles}[f.Kind])
		r.sleep(min(f.For, 3*time.Second))
		b.become(healthy)
	}
}

// losePower has a third of all nodes and backends die in one moment. The backends' removal is listed while the nodes are down, and they are
// back before the list says so.
func (r *run) losePower(f Fault) {
	for i, n := range r.nodes {
		if i%3 == f.Target[0] {
			r.schedules.Go(func() { r.playNode(Fault{Kind: NodeKilled, For: f.For}, n) })
		}
	}
	for i, b := range r.backends {
		if i%3 != f.Target[0] {
			continue
		}
		r.schedules.Go(func() {
			b.busy.Lock()
			defer b.busy.Unlock()
			b.become(crashed)
			r.sleep(f.For * 2 / 5)
			r.members.set(i, terminated, false)
			r.sleep(f.For * 3 / 5)
			b.become(healthy)
			r.sleep(f.For / 2)
			r.members.set(i, inService, true)
		})
	}
}

func (r *run) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.stop.Done():
	}
}

func (r *run) sleepUntil(at time.Duration) bool {
	r.sleep(at - r.now())
	return r.stop.Err() == nil
}
