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
	// reloadableAfter is how long after its start a process gets SIGHUP at the earliest.
	reloadableAfter = time.Second
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
	faultMu    sync.Mutex // held by the fault that starts, stops or signals the process

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
	exitStatus     string
}

func newNode(r *run, index int) (*node, error) {
	n := &node{
		run:        r,
		index:      index,
		configPath: filepath.Join(r.options.Dir, fmt.Sprintf("n%d.json", index)),
		log:        &logWatch{run: r},
	}
	if r.hasIdleConnections(index) {
		n.log.allowed = idleConnectionLogTexts
	}
	for i := range n.discovery {
		d, err := newDiscovery(r, index, i)
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
		n.incarnations[number].exitStatus = command.ProcessState.String()
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

// terminate sends SIGTERM, and kills the process at the earliest moment that the rules allow.
func (n *node) terminate(series termination) {
	n.mu.Lock()
	current := len(n.incarnations) - 1
	n.incarnations[current].terminatedAt = n.run.now() // no request that comes from now on proves that the process still serves
	exited := n.exited
	n.mu.Unlock()
	sentAt := n.signalTermination(series)
	n.mu.Lock()
	n.incarnations[current].terminatedAt = sentAt
	n.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(sentAt + shutdownLimit - n.run.now()):
		n.kill()
	}
}

// acceptsNewClients reports whether a frontend sends new connections to the node: until newClientsLimit after SIGTERM.
func (n *node) acceptsNewClients() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	current := n.incarnations[len(n.incarnations)-1]
	return current.terminatedAt == 0 || n.run.now() < current.terminatedAt+newClientsLimit
}

// mayBeReloaded reports whether SIGHUP may reach the process: never in its first second, nor before it is ready. One that has
// not come so far as to catch the signal would end by it.
func (n *node) mayBeReloaded() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	current := n.incarnations[len(n.incarnations)-1]
	return current.ready > 0 && n.run.now()-current.started >= reloadableAfter
}

// awaitReloadable waits until the process may get SIGHUP, and returns false where that takes too long.
func (n *node) awaitReloadable() bool {
	for end := n.run.now() + readyLimit; !n.mayBeReloaded(); n.run.sleep(readyPollInterval) {
		if n.run.ended() || n.run.now() > end {
			return false
		}
	}
	return true
}

// shutDown terminates the process at the end of the run, as in a planned stop.
func (n *node) shutDown() {
	n.faultMu.Lock()
	defer n.faultMu.Unlock()
	n.terminate(terminateOnce)
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
	n.recordReachability()
	n.signal(syscall.SIGHUP)
	go func() {
		time.Sleep(migrationOverlap)
		old.stopListening()
	}()
	return nil
}

// mustAnswer reports whether the process to which a client was connected had to answer a request: one that was sent after
// it was ready, and that was not killed with it. If the process had been told to end before it was killed, only requests
// of the first mayBeKilledWithin after that may be unanswered. One that ends by itself owes all that it has taken.
func (n *node) mustAnswer(q *request) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := len(n.incarnations) - 1; i >= 0; i-- {
		p := n.incarnations[i]
		if p.started > q.connectedAt {
			continue
		}
		killed := p.killedAt > 0 && q.finished >= p.killedAt
		late := p.terminatedAt > 0 && p.terminatedAt < p.killedAt && q.sent > p.terminatedAt+killedShutdownWindow
		return p.ready > 0 && q.sent >= p.ready && (!killed || late)
	}
	return false
}
