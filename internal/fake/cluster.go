// Package fake serves what surrounds the nodes of a deployment on loopback sockets: backends, discovery, and frontends
// that balance clients' connections over the nodes. The backends are those of the emulator, driven in real time, and
// faults are those of package faultinject. A log records what happened, as the reference for nodes and load tools.
package fake

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"tulipglade/internal/faultinject"
	"tulipglade/internal/loopback"
	"tulipglade/internal/simulation/emulator"
	"tulipglade/internal/simulation/scenario"
)

// Options say how a Cluster is served.
type Options struct {
	Seed uint64
	// Log receives the event log as JSON lines; nil: none is written.
	Log io.Writer
	// Port is that of every backend, each of which has an address of its own for each node; 0: any port.
	Port int
	// Nodes are the addresses of the nodes behind the frontends, by number.
	Nodes []string
	// OnReady is called when the frontends put a node into rotation.
	OnReady func(node int)
}

const (
	// taskQueueLength is how many tasks can wait for the cluster's goroutine.
	taskQueueLength = 1024
	// maxIdle is the longest time for which the cluster's goroutine sleeps.
	maxIdle = time.Second
)

// Cluster is a running set of fakes. One goroutine owns the state below live; all else posts tasks to it.
type Cluster struct {
	scenario  *scenario.Scenario
	options   Options
	startedAt time.Time
	tasks     chan func()
	done      chan struct{} // closed as run ends
	ctx       context.Context
	stop      context.CancelFunc
	wg        sync.WaitGroup
	log       *eventLog

	backends         [][]*backendListener // by place and node
	discoveries      []*discovery         // by node
	discoveryLimiter rateLimiter
	frontends        []*frontend // by site
	nodes            []*frontendNode

	live            *emulator.LiveBackends
	faults          map[int]faultinject.Fault // begun through Inject
	discoveryFaults int                       // active faults under which discovery is down
	responseFaults  []faultinject.Fault       // active faults that alter the form of responses
	endpoints       []endpointRecord          // what discovery knows, by backend
	revision        int
	listChanged     chan struct{} // closed at the next change
	ledger          *ledger
	processes       *Processes // nil: the nodes are not started by the cluster
}

// Start serves the scenario until ctx ends or Close is called.
func Start(ctx context.Context, config *scenario.Scenario, opts Options) (*Cluster, error) {
	for node, addr := range opts.Nodes {
		if err := loopback.Check(addr); err != nil {
			return nil, fmt.Errorf("node %d: %w", node, err)
		}
	}
	cl := &Cluster{
		scenario:    config,
		options:     opts,
		startedAt:   time.Now(),
		tasks:       make(chan func(), taskQueueLength),
		done:        make(chan struct{}),
		log:         newEventLog(opts.Log),
		faults:      map[int]faultinject.Fault{},
		listChanged: make(chan struct{}),
		ledger:      newLedger(config),
	}
	cl.ctx, cl.stop = context.WithCancel(ctx)
	cl.live = emulator.NewLive(config, opts.Seed, eventHandler{cl})
	if err := cl.listen(); err != nil {
		cl.stop()
		cl.closeListeners()
		return nil, err
	}
	cl.startGoroutines()
	return cl, nil
}

// backendIP is the address of a backend for a node: each has one of its own in 127.0.0.0/8.
func backendIP(node, addressIndex int) string {
	return fmt.Sprintf("127.%d.%d.%d", nodeNetwork(node), addressIndex/250, 1+addressIndex%250)
}

// discoveryIP is the address of discovery for a node, of which it knows the node.
func discoveryIP(node int) string {
	return fmt.Sprintf("127.%d.255.1", nodeNetwork(node))
}

// nodeNetwork is the second byte of all addresses that only one node uses.
func nodeNetwork(node int) int { return 64 + node%128 }

// listen opens all listening sockets.
func (cl *Cluster) listen() error {
	nodeCount := max(cl.scenario.Nodes.Count, len(cl.options.Nodes))
	for addressIndex := range cl.scenario.Fleet.Backends {
		listeners, err := cl.listenBackend(addressIndex, nodeCount)
		if err != nil {
			return err
		}
		cl.backends = append(cl.backends, listeners)
	}
	for node := range nodeCount {
		d, err := newDiscovery(cl, node)
		if err != nil {
			return err
		}
		cl.discoveries = append(cl.discoveries, d)
	}
	for node, addr := range cl.options.Nodes {
		cl.nodes = append(cl.nodes, &frontendNode{cluster: cl, index: node, addr: addr})
	}
	for site := range cl.scenario.Fleet.Sites {
		f, err := newFrontend(cl, site)
		if err != nil {
			return err
		}
		cl.frontends = append(cl.frontends, f)
	}
	return nil
}

// listenBackend opens the sockets of one backend, one for each node.
func (cl *Cluster) listenBackend(addressIndex, nodeCount int) ([]*backendListener, error) {
	var listeners []*backendListener
	for node := range nodeCount {
		addr := fmt.Sprintf("%s:%d", backendIP(node, addressIndex), cl.options.Port)
		b, err := newBackendListener(cl, addressIndex, node, addr)
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, b)
	}
	return listeners, nil
}

func (cl *Cluster) startGoroutines() {
	cl.wg.Go(cl.run)
	for _, listeners := range cl.backends {
		for _, b := range listeners {
			cl.wg.Go(b.accept)
		}
	}
	for _, d := range cl.discoveries {
		cl.wg.Go(d.serve)
	}
	for _, f := range cl.frontends {
		cl.wg.Go(f.accept)
	}
	for _, n := range cl.nodes {
		cl.wg.Go(n.monitor)
	}
}

// Elapsed is the time since the start.
func (cl *Cluster) Elapsed() time.Duration { return time.Since(cl.startedAt) }

// Discovery is the address of discovery for a node: each has one of its own, by which discovery knows the node.
func (cl *Cluster) Discovery(node int) string { return cl.discoveries[node].addr }

// Frontend is the address at which clients of a site reach its nodes.
func (cl *Cluster) Frontend(site int) string { return cl.frontends[site].listener.Addr().String() }

// Close ends all that was started, and returns the first error of the event log.
func (cl *Cluster) Close() error {
	cl.stop()
	cl.closeListeners()
	cl.wg.Wait()
	return cl.log.flush()
}

func (cl *Cluster) closeListeners() {
	for _, listeners := range cl.backends {
		for _, b := range listeners {
			b.close()
		}
	}
	for _, d := range cl.discoveries {
		d.close()
	}
	for _, f := range cl.frontends {
		f.close()
	}
}

// post has the cluster's goroutine run a task. It returns false once the cluster is closed.
func (cl *Cluster) post(task func()) bool {
	select {
	case cl.tasks <- task:
		return true
	case <-cl.done:
		return false
	}
}

// call has the cluster's goroutine run a task and waits for its end. It returns false once the cluster is closed.
func (cl *Cluster) call(task func()) bool {
	ran := make(chan struct{})
	posted := cl.post(func() {
		task()
		close(ran)
	})
	if !posted {
		return false
	}
	select {
	case <-ran:
		return true
	case <-cl.done:
		return false
	}
}

// now is the time since the start in µs.
func (cl *Cluster) now() int64 { return time.Since(cl.startedAt).Microseconds() }

// run advances the backends as time passes, and runs tasks.
func (cl *Cluster) run() {
	defer close(cl.done)
	timer := time.NewTimer(maxIdle)
	for {
		next := cl.live.Advance(cl.now())
		untilNext := time.Duration(next-cl.now()) * time.Microsecond
		timer.Reset(max(0, min(untilNext, maxIdle)))
		select {
		case task := <-cl.tasks:
			task()
		case <-timer.C:
		case <-cl.ctx.Done():
			return
		}
	}
}

// classIndex is the class of that name, or -1.
func (cl *Cluster) classIndex(name string) int {
	for i := range cl.scenario.Classes {
		if cl.scenario.Classes[i].Name == name {
			return i
		}
	}
	return -1
}
