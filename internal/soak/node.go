package soak

import (
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	readyPollInterval = 20 * time.Millisecond
	readyPollTimeout  = 500 * time.Millisecond
	// migrationOverlap is how long the old address of discovery still answers after a node was told of another one.
	migrationOverlap = 1500 * time.Millisecond
)

// node is one process of the program at a time, with its configuration and the record of all its processes.
type node struct {
	run        *run
	index      int
	discovery  [2]*discovery // at two addresses: SIGHUP changes from one to the other
	listen     string
	configPath string
	log        *logWatch
	faulted    sync.Mutex // held by the fault that starts, stops or signals the process

	mu              sync.Mutex
	activeDiscovery int // the one that the configuration names
	command         *exec.Cmd
	exited          chan struct{}
	incarnations    []incarnation
	reachability    []reachabilityChange
}

// incarnation is the record of one process. Times are 0 for what has not happened.
type incarnation struct {
	started, ready time.Duration
	terminatedAt   time.Duration // SIGTERM
	killedAt       time.Duration // SIGKILL
	exitedAt       time.Duration
}

func newNode(r *run, index int) (*node, error) {
	n := &node{
		run:        r,
		index:      index,
		configPath: filepath.Join(r.options.Dir, fmt.Sprintf("n%d.json", index)),
		log:        &logWatch{run: r},
	}
	for i := range n.discovery {
		d, err := newDiscovery(r, index)
		if err != nil {
			return nil, err
		}
		n.discovery[i] = d
	}
	var err error
	n.listen, err = r.freeAddress(index)
	return n, err
}

func (n *node) close() {
	for _, d := range n.discovery {
		d.stopListening()
	}
	n.kill()
}

func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.writeConfig(); err != nil {
		return err
	}
	command := n.run.options.Command(n.configPath)
	command.Stderr, command.Stdout = n.log, n.log
	if err := command.Start(); err != nil {
		return fmt.Errorf("start node %d: %w", n.index, err)
	}
	exited := make(chan struct{})
	number := len(n.incarnations)
	n.command, n.exited = command, exited
	n.incarnations = append(n.incarnations, incarnation{started: n.run.now()})
	go func() {
		defer close(exited)
		_ = command.Wait() // check looks at when it exited, and the log at why
		n.mu.Lock()
		defer n.mu.Unlock()
		n.incarnations[number].exitedAt = n.run.now()
	}()
	go n.awaitReady(number, exited)
	return nil
}

// awaitReady polls /ready as a frontend does, and notes when the process is ready.
func (n *node) awaitReady(number int, exited <-chan struct{}) {
	client := http.Client{Timeout: readyPollTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		if response, err := client.Get("http://" + n.listen + "/ready"); err == nil {
			_ = response.Body.Close() // it has no body
			if response.StatusCode == http.StatusOK {
				n.mu.Lock()
				defer n.mu.Unlock()
				n.incarnations[number].ready = n.run.now()
				return
			}
		}
		select {
		case <-exited:
			return
		case <-time.After(readyPollInterval):
		}
	}
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command != nil {
		_ = n.command.Process.Signal(s) // it may have exited
	}
}

// kill ends the process with SIGKILL and waits until it has exited.
func (n *node) kill() {
	n.mu.Lock()
	if len(n.incarnations) > 0 {
		n.incarnations[len(n.incarnations)-1].killedAt = n.run.now()
	}
	exited := n.exited
	n.mu.Unlock()
	n.signal(syscall.SIGKILL)
	if exited != nil {
		<-exited
	}
}

// terminate sends SIGTERM and waits as long as the rules allow, and kills the process after that.
func (n *node) terminate() {
	n.mu.Lock()
	n.incarnations[len(n.incarnations)-1].terminatedAt = n.run.now()
	exited := n.exited
	n.mu.Unlock()
	n.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(shutdownLimit + 2*schedulingDelay):
		n.kill()
	}
}

// shutDown terminates the process at the end of the run, as in a planned stop.
func (n *node) shutDown() {
	n.faulted.Lock()
	defer n.faulted.Unlock()
	n.terminate()
}

// migrateDiscovery has the node change to its other address of discovery.
func (n *node) migrateDiscovery() error {
	n.mu.Lock()
	old := n.discovery[n.activeDiscovery]
	n.activeDiscovery = 1 - n.activeDiscovery
	n.discovery[n.activeDiscovery].startListening()
	err := n.writeConfig()
	n.mu.Unlock()
	if err != nil {
		return err
	}
	n.noteReachability()
	n.signal(syscall.SIGHUP)
	go func() {
		time.Sleep(migrationOverlap)
		old.stopListening()
	}()
	return nil
}

// served reports whether one process was ready for all of a time and had not been told to end. Such a process must answer a request that
// was sent at the start of that time.
func (n *node) served(from, to time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.incarnations {
		end := p.exitedAt
		if p.killedAt > 0 && (end == 0 || p.killedAt < end) {
			end = p.killedAt
		}
		started := p.ready > 0 && from >= p.ready
		running := end == 0 || to < end
		serving := p.terminatedAt == 0 || to < p.terminatedAt
		if started && running && serving {
			return true
		}
	}
	return false
}
