// Package fake serves the surroundings of a deployment's nodes on loopback sockets: backends, discovery, and frontends
// that balance clients' connections over the nodes. The backends are those of the emulator, driven in real time, and
// the faults are those of package faultinject. An event log records every arrival, response, list change and fault. It
// is the reference to which the figures of nodes and load tools are compared.
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

// Options configure a Cluster.
type Options struct {
	Seed uint64
	// Log receives the event log as JSON lines; nil: no log is written.
	Log io.Writer
	// Port is the port of every backend, at each of its per-node addresses; 0: the system chooses the ports.
	Port int
	// Nodes are the addresses of the nodes behind the frontends, by node index.
	Nodes []string
	// OnReady is called when the frontends put a node into rotation.
	OnReady func(node int)
}

const (
	// taskQueueLength is the number of tasks that can wait for the cluster's goroutine.
	taskQueueLength = 1024
	// maxIdle is the longest time for which the cluster's goroutine sleeps.
	maxIdle = time.Second
)

// Cluster is a running set of fake backends, discovery services and frontends. One goroutine owns live and the fields
// below it; other goroutines access them by posting tasks to it.
type Cluster struct {
	scenario  *scenario.Scenario
	options   Options
	startedAt time.Time
	tasks     chan func()
	done      chan struct{} // closed when run returns
	ctx       context.Context
	stop      context.CancelFunc
	wg        sync.WaitGroup
	log       *eventLog

	backends         [][]*backendListener // by address index and node
	discoveries      []*discovery         // by node
	discoveryLimiter rateLimiter
	frontends        []*frontend // by site
	nodes            []*frontendNode

	live            *emulator.LiveBackends
	faults          map[int]faultinject.Fault // active faults that were begun by Inject
	discoveryFaults int                       // number of active faults that keep discovery down
	responseFaults  []faultinject.Fault       // active faults that alter the bytes of responses
	endpoints       []endpointRecord          // discovery's endpoint list, one entry for each backend process
	revision        int
	listChanged     chan struct{} // closed at the next change of the endpoint list
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

// backendIP returns the address in 127.0.0.0/8 at which a node reaches a backend; it differs for each pair of them.
func backendIP(node, addressIndex int) string {
	return fmt.Sprintf("127.%d.%d.%d", nodeNetwork(node), addressIndex/250, 1+addressIndex%250)
}

// discoveryIP returns the address at which a node reaches discovery, which tells its callers apart by this address.
func discoveryIP(node int) string {
	return fmt.Sprintf("127.%d.255.1", nodeNetwork(node))
}

// nodeNetwork returns the second byte of all addresses that only the given node uses.
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

// listenBackend opens the listening sockets of one backend, one for each node.
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

// Elapsed returns the time since the start.
func (cl *Cluster) Elapsed() time.Duration { return time.Since(cl.startedAt) }

// Discovery returns the address at which a node reaches discovery. Each node has its own address, by which discovery
// identifies it.
func (cl *Cluster) Discovery(node int) string { return cl.discoveries[node].addr }

// Frontend returns the address at which the clients of a site reach the nodes.
func (cl *Cluster) Frontend(site int) string { return cl.frontends[site].listener.Addr().String() }

// Close stops all servers and goroutines of the cluster, and returns the first error in writing the event log.
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

// post queues a task for the cluster's goroutine. It returns false once the cluster is closed.
func (cl *Cluster) post(task func()) bool {
	select {
	case cl.tasks <- task:
		return true
	case <-cl.done:
		return false
	}
}

// call runs a task on the cluster's goroutine and waits until it has returned. It returns false once the cluster is
// closed.
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

// now returns the time since the start in µs.
func (cl *Cluster) now() int64 { return time.Since(cl.startedAt).Microseconds() }

// run advances the emulated backends in real time and runs posted tasks, until the cluster is closed.
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

// classIndex returns the index of the class with this name, or -1.
func (cl *Cluster) classIndex(name string) int {
	for i := range cl.scenario.Classes {
		if cl.scenario.Classes[i].Name == name {
			return i
		}
	}
	return -1
}
