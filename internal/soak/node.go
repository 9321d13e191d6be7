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
	// reloadableAfter is the minimum age of a process that is sent SIGHUP.
	reloadableAfter = time.Second
	// migrationOverlap is the time for which the old address of discovery still answers after a node was told to use
	// the other one.
	migrationOverlap = 1500 * time.Millisecond
)

// node is one node under test. It runs one process of the program at a time and keeps a record of all of them.
type node struct {
	run        *run
	index      int
	discovery  [2]*discovery // at two addresses: DiscoveryMoved changes from one to the other
	listen     string
	configPath string
	log        *logWatch
	faultMu    sync.Mutex // held while a fault starts, stops or signals the process

	mu              sync.Mutex
	activeDiscovery int // index in discovery of the address that the configuration names
	command         *exec.Cmd
	exited          chan struct{} // closed when the current process has exited
	incarnations    []incarnation
	reachability    []reachabilityChange
}

// incarnation is the record of one process of a node. The time of an event that has not happened is 0.
type incarnation struct {
	started, ready time.Duration
	terminatedAt   time.Duration // when SIGTERM was sent
	killedAt       time.Duration // when SIGKILL was sent
	exitedAt       time.Duration
	exitStatus     string
}

// newNode returns a node with its two discovery addresses. Its process is not started yet.
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

// close kills the node's process and stops its discovery addresses.
func (n *node) close() {
	for _, d := range n.discovery {
		d.stopListening()
	}
	n.kill()
}

// start writes the configuration and starts a new process of the node.
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
		_ = command.Wait() // check evaluates the exit time and the exit status
		n.mu.Lock()
		defer n.mu.Unlock()
		n.incarnations[number].exitedAt = n.run.now()
		n.incarnations[number].exitStatus = command.ProcessState.String()
	}()
	go n.awaitReady(number, exited)
	return nil
}

// awaitReady polls /ready, as a frontend does, and records when the process becomes ready.
func (n *node) awaitReady(number int, exited <-chan struct{}) {
	client := http.Client{Timeout: readyPollTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		if response, err := client.Get("http://" + n.listen + "/ready"); err == nil {
			_ = response.Body.Close() // an error does not matter: the answer has no body
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

// signal sends a signal to the node's process, if one was started.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command != nil {
		_ = n.command.Process.Signal(s) // an error does not matter: the process may have exited
	}
}

// kill sends SIGKILL to the process and waits until it has exited.
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

// terminate sends a sequence of signals that includes SIGTERM. If the process has not exited shutdownLimit after
// SIGTERM, which is the earliest time that the rules allow, it kills the process.
func (n *node) terminate(series termination) {
	n.mu.Lock()
	current := len(n.incarnations) - 1
	// From now on, the process may stop serving at any time. The exact time of SIGTERM replaces this one below.
	n.incarnations[current].terminatedAt = n.run.now()
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

// acceptsNewClients reports whether a frontend would still open new connections to the node, which it does until
// newClientsLimit after SIGTERM.
func (n *node) acceptsNewClients() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	current := n.incarnations[len(n.incarnations)-1]
	return current.terminatedAt == 0 || n.run.now() < current.terminatedAt+newClientsLimit
}

// mayBeReloaded reports whether the process may be sent SIGHUP: not in its first second and not before it is ready.
// SIGHUP ends a process that has not yet installed its signal handler.
func (n *node) mayBeReloaded() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	current := n.incarnations[len(n.incarnations)-1]
	return current.ready > 0 && n.run.now()-current.started >= reloadableAfter
}

// awaitReloadable waits until the process may be sent SIGHUP. It returns false if the process is not ready for it
// within readyLimit or if the run ends.
func (n *node) awaitReloadable() bool {
	for end := n.run.now() + readyLimit; !n.mayBeReloaded(); n.run.sleep(readyPollInterval) {
		if n.run.ended() || n.run.now() > end {
			return false
		}
	}
	return true
}

// shutDown terminates the process at the end of the run with a single SIGTERM, as in a planned stop.
func (n *node) shutDown() {
	n.faultMu.Lock()
	defer n.faultMu.Unlock()
	n.terminate(terminateOnce)
}

// migrateDiscovery makes the node change to its other address of discovery, by SIGHUP with a new configuration.
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

// mustAnswer reports whether the process to which a client was connected had to answer a request. It had to if the
// request was sent after the process was ready, unless the process was killed before the request finished. If the
// process had received SIGTERM before it was killed, only requests that were sent within killedShutdownWindow after
// SIGTERM may remain unanswered. A process that exits by itself must have answered all requests that it accepted.
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
