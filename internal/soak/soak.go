// Package soak plays overlapping faults, drawn from a seed, against real node processes on loopback, and checks what clients, backends
// and discovery saw against the rules. A failing seed is a bug report: the same seed draws the same schedule.
//
// Everything but the nodes runs in one process and on one monotonic clock. Each node reaches discovery and every backend at addresses of
// its own, so that every record tells which node it belongs to.
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
	// VaryLists has discovery answer in all forms, with revisions that start over at each move, and lists lose many backends at once.
	VaryLists bool
	Dir       string                               // for the nodes' configurations
	Command   func(configuration string) *exec.Cmd // returns a command that runs a node in the foreground
}

// The deployment of every run. Times are those of the settings that the nodes get.
const (
	drainGrace        = 500 * time.Millisecond
	longestDeadline   = 1500 * time.Millisecond
	idempotencyWindow = 5 * time.Second
	pollInterval      = 90 * time.Second // ten processes spread their calls as far as 300 do with the usual 10 s
	clientsPerNode    = 4
	nodeDescriptors   = 256
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

// run is the state of one run.
type run struct {
	options          Options
	started          time.Time
	list             *endpointList
	backends         []*backend
	nodes            []*node
	record           *record
	done             <-chan struct{} // closed at the end of the run
	clients          sync.WaitGroup
	ownDelays        delayWatch
	faultsInProgress sync.WaitGroup
}

// now returns the time since the start of the run.
func (r *run) now() time.Duration { return time.Since(r.started) }

// sleep waits for a time, or until the end of the run.
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

// Run plays the schedule of a seed and returns what it has shown.
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

func (r *run) close() {
	for _, n := range r.nodes {
		n.close()
	}
	for _, b := range r.backends {
		b.close()
	}
}
