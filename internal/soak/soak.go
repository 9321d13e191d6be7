// Package soak injects overlapping faults into real node processes on loopback and checks the records of clients,
// backends and discovery against the rules. The schedule of faults is drawn from a seed. A failing seed serves as a bug
// report, because the same seed always gives the same schedule.
//
// Everything except the nodes runs in one process and uses one monotonic clock. Each node has addresses of its own for
// discovery and for every backend, so that each record can be attributed to a node.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"sync"
	"time"
)

// Options configure a run.
type Options struct {
	Seed     uint64
	Nodes    int
	Backends int
	Length   time.Duration
	// VaryLists makes discovery vary the form of its answers and use other revisions at each of a node's addresses, and
	// adds faults in which many backends leave the list at once.
	VaryLists bool
	Dir       string                               // directory for the nodes' configuration files
	Command   func(configuration string) *exec.Cmd // returns a command that runs a node in the foreground
}

// Parameters of the deployment in every run. The times are also used in the settings of the nodes.
const (
	drainGrace        = 500 * time.Millisecond
	longestDeadline   = 1500 * time.Millisecond
	idempotencyWindow = 5 * time.Second
	// pollInterval makes ten processes spread their first calls to discovery over as long a time as 300 with the usual
	// 10 s.
	pollInterval    = 90 * time.Second
	clientsPerNode  = 4
	nodeDescriptors = 256
)

// The values of a class's effect in the settings.
const (
	effectRepeatable = "repeatable"
	effectOnce       = "once"
	effectByKey      = "by_key"
)

// class is a class of requests.
type class struct {
	name, effect string
	deadline     time.Duration
}

var classes = []class{
	{"read", effectRepeatable, 900 * time.Millisecond},
	{"pay", effectOnce, longestDeadline},
	{"settle", effectByKey, 1200 * time.Millisecond},
}

// run is the state of one soak run.
type run struct {
	options          Options
	started          time.Time
	list             *endpointList
	backends         []*backend
	nodes            []*node
	record           *record
	done             <-chan struct{} // closed at the end of the run
	clients          sync.WaitGroup  // goroutines of clients, idle connections and the delay watch
	ownDelays        delayWatch
	faultsInProgress sync.WaitGroup
}

// now returns the time since the start of the run.
func (r *run) now() time.Duration { return time.Since(r.started) }

// sleep waits for the given time, but at most until the end of the run.
func (r *run) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.done:
	}
}

// ended reports whether the run is over.
func (r *run) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// Run starts the nodes, injects the faults of the seed's schedule into them, and returns the result of the checks.
func Run(ctx context.Context, options Options) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{options: options, started: time.Now(), done: ctx.Done(), record: newRecord()}
	r.list = newEndpointList(r, options.Backends)
	defer r.close()
	if err := r.startProcesses(); err != nil {
		return Result{}, err
	}
	r.clients.Go(func() { r.ownDelays.watch(r) })
	r.startClients()
	r.startIdleConnections()
	r.startUnreadClients()
	plan := drawSchedule(options)
	for _, fault := range plan {
		r.faultsInProgress.Go(func() { r.injectFault(fault) })
	}
	r.faultsInProgress.Wait()
	r.sleep(options.Length - r.now())
	cancel()
	r.clients.Wait()
	for _, n := range r.nodes {
		n.shutDown()
	}
	return r.check(plan), nil
}

// startProcesses starts the backends, the discovery services and the nodes.
func (r *run) startProcesses() error {
	for i := range r.options.Backends {
		b, err := newBackend(r, i, r.options.Nodes)
		if err != nil {
			return err
		}
		r.backends = append(r.backends, b)
	}
	for i := range r.options.Nodes {
		n, err := newNode(r, i)
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
	}
	for _, n := range r.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// startClients starts the clients of all nodes. Each client has its own random stream of the seed.
func (r *run) startClients() {
	for _, n := range r.nodes {
		for i := range clientsPerNode {
			stream := uint64(n.index*clientsPerNode + i + 1)
			c := &client{
				run:    r,
				node:   n,
				name:   fmt.Sprintf("n%d-c%d", n.index, i),
				random: rand.New(rand.NewPCG(r.options.Seed, stream)),

				ignoresClose: i%ignoresCloseOneIn == 0,
			}
			r.clients.Go(c.sendRequests)
		}
	}
}

// close stops all nodes and backends.
func (r *run) close() {
	for _, n := range r.nodes {
		n.close()
	}
	for _, b := range r.backends {
		b.close()
	}
}
