package fake

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"tulipglade/internal/faultinject"
)

// stopTimeout bounds the graceful shutdown of a node; after it the node is killed.
const stopTimeout = 10 * time.Second

// Processes manages the node processes of a cluster: it starts and stops them, and kills and restarts them with faults.
type Processes struct {
	program string
	dir     string
	cluster *Cluster
	limits  NodeLimits

	mu         sync.Mutex
	commands   []*exec.Cmd // by node; nil: the node is not running
	logs       []*os.File
	killFaults []int // by node: the number of active faults during which it must not run
	stopped    bool
	wg         sync.WaitGroup
}

// StartNodes starts a process of the program for each of the cluster's nodes. It writes their configurations and logs
// to files in dir, which it leaves there.
func (cl *Cluster) StartNodes(program, dir string, limits NodeLimits) (*Processes, error) {
	count := len(cl.options.Nodes)
	p := &Processes{
		program:    program,
		dir:        dir,
		cluster:    cl,
		limits:     limits,
		commands:   make([]*exec.Cmd, count),
		logs:       make([]*os.File, count),
		killFaults: make([]int, count),
	}
	for node := range count {
		logFile, err := os.Create(p.logPath(node))
		if err == nil {
			p.logs[node] = logFile
			err = p.start(node)
		}
		if err != nil {
			return nil, errors.Join(err, p.Stop())
		}
	}
	cl.call(func() { cl.processes = p })
	return p, nil
}

func (p *Processes) logPath(node int) string {
	return filepath.Join(p.dir, fmt.Sprintf("node-%d.log", node))
}

func (p *Processes) start(node int) error {
	config, err := p.cluster.NodeConfig(node, p.limits)
	if err != nil {
		return err
	}
	path := filepath.Join(p.dir, fmt.Sprintf("node-%d.json", node))
	if err := os.WriteFile(path, config, 0o644); err != nil {
		return err
	}
	command := exec.Command(p.program, "serve", "--config", path)
	command.Stdout = p.logs[node]
	command.Stderr = p.logs[node]
	command.Env = append(os.Environ(), "GOMAXPROCS=1")
	if err := command.Start(); err != nil {
		return fmt.Errorf("node %d: %w", node, err)
	}
	p.mu.Lock()
	p.commands[node] = command
	p.mu.Unlock()
	p.logEvent(eventNodeStarted, node)
	return nil
}

func (p *Processes) logEvent(kind eventKind, node int) {
	p.cluster.log.write(logEvent{Time: p.cluster.now(), Kind: kind, Node: node})
}

// Pid returns the process ID of a node, or 0 while the node is not running.
func (p *Processes) Pid(node int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if command := p.commands[node]; command != nil {
		return command.Process.Pid
	}
	return 0
}

// applyFault kills the nodes that a fault affects when it begins, and starts them again when it ends. It is called on
// the cluster's goroutine, which must not wait for processes, and therefore does the work on another one.
func (p *Processes) applyFault(fault faultinject.Fault, begins bool) {
	hit := p.nodesHit(fault)
	if len(hit) == 0 {
		return
	}
	p.wg.Go(func() {
		for node := range p.commands {
			if slices.Contains(hit, node) {
				p.applyNodeFault(node, begins)
			}
		}
	})
}

// nodesHit returns the nodes that must not run during the fault.
func (p *Processes) nodesHit(fault faultinject.Fault) []int {
	if fault.Kind == faultinject.NodeKill {
		return fault.Nodes
	}
	if !fault.WithNodes {
		return nil
	}
	sc := p.cluster.scenario
	var hit []int
	for node := range p.commands {
		if sc.Fleet.Sites[sc.Site(node)] == fault.Site {
			hit = append(hit, node)
		}
	}
	return hit
}

// applyNodeFault counts the beginning or the end of a fault of a node. It kills the node if a fault is active and the
// node is running, and starts it if no fault is active and the node is not running.
func (p *Processes) applyNodeFault(node int, begins bool) {
	p.mu.Lock()
	command, stopped := p.commands[node], p.stopped
	if begins {
		p.killFaults[node]++
	} else {
		p.killFaults[node]--
	}
	killed := p.killFaults[node] > 0
	if killed {
		p.commands[node] = nil
	}
	p.mu.Unlock()
	switch {
	case stopped:
	case killed && command != nil:
		p.logEvent(eventNodeKilled, node)
		_ = command.Process.Kill() // an error means that the process has already ended
		_ = command.Wait()         // the exit status only reports the kill
	case !killed && command == nil:
		if err := p.start(node); err != nil {
			p.logEvent(errorEvent("node not started", err), node)
		}
	}
}

// Stop ends the processes with SIGTERM, as the platform does. Its error names those that did not exit with status 0.
func (p *Processes) Stop() error {
	p.mu.Lock()
	p.stopped = true
	commands := slices.Clone(p.commands)
	p.mu.Unlock()
	p.wg.Wait()
	var errs []error
	for node, command := range commands {
		if command == nil {
			continue
		}
		if err := terminate(command); err != nil {
			errs = append(errs, fmt.Errorf("node %d: %w; see %s", node, err, p.logPath(node)))
		}
	}
	for _, logFile := range p.logs {
		if logFile != nil {
			errs = append(errs, logFile.Close())
		}
	}
	return errors.Join(errs...)
}

// terminate sends SIGTERM to a process and waits for its end. It kills the process after stopTimeout.
func terminate(command *exec.Cmd) error {
	_ = command.Process.Signal(syscall.SIGTERM) // an error means that the process has already ended, which Wait reports
	timer := time.AfterFunc(stopTimeout, func() { _ = command.Process.Kill() })
	defer timer.Stop()
	return command.Wait()
}
