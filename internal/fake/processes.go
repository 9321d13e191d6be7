package fake

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"tulipglade/internal/balancer"
	"tulipglade/internal/faultinject"
)

// reportFields are what a report may hold: as scenarios name it, as settings do, and as it is written on sockets.
var reportFields = []struct {
	scenario, setting, wire string
	value                   func(balancer.LoadReport) float64
}{
	{"held", "outstanding", "inflight", func(r balancer.LoadReport) float64 { return r.Outstanding }},
	{"queue", "backlog", "queue", func(r balancer.LoadReport) float64 { return r.Backlog }},
	{"util", "utilization", "util", func(r balancer.LoadReport) float64 { return r.Utilization }},
}

// reportText is a report as it is written, empty where it tells nothing.
func reportText(r balancer.LoadReport) string {
	var parts []string
	for _, f := range reportFields {
		if v := f.value(r); v >= 0 {
			parts = append(parts, f.wire+"="+strconv.FormatFloat(v, 'f', -1, 64))
		}
	}
	if len(parts) == 0 {
		return ""
	}
	return "TEXT " + strings.Join(parts, ", ")
}

// NodeConfig is the configuration file of a node in this world, as the platform would write it.
func (cl *Cluster) NodeConfig(node int, limits NodeLimits) ([]byte, error) {
	type obj = map[string]any
	sc := cl.scenario
	us := func(ms float64) int64 { return int64(ms * 1000) }
	settings := obj{"discovery": "push", "me": node, "my_zone": sc.Site(node), "peers_total": sc.Nodes.Count, "zones": sc.Fleet.Sites,
		"tick_us": us(sc.Nodes.Tick),
		"limits": obj{"max_attempts": sc.Rules.MaxAttempts, "may_duplicate": sc.Rules.AllowHedging, "cancelling": sc.Rules.AllowCancel,
			"probing": sc.Rules.AllowHealthChecks, "retry_after": sc.Clients.Heed > 0, "max_retry_after_us": us(sc.Clients.MaxRetryAfter), "max_open": limits.MaxInFlight,
			"connect_timeout_us": us(sc.Fleet.Conns.Timeout), "keepalive_us": us(sc.Fleet.Conns.Idle)},
		"prices":  obj{"cross_zone": sc.Rules.CrossSite, "probe": sc.Rules.HealthCheckCost},
		"clients": obj{"marks_retry": sc.Clients.Marks}, "specifics": obj{"warm_keys": sc.Fleet.Affinity.Gain > 0},
		"rules": obj{"ask_every_us": us(sc.Discovery.PollInterval), "cold_from": sc.Rules.SlowStartInitial, "ramp_time_us": us(sc.Rules.SlowStartDuration),
			"overload_factor": sc.Rules.OverloadFactor, "fall_us": us(sc.Rules.OverloadWindow), "drain_grace_us": us(sc.Rules.DrainGrace),
			"grace_to_answer_us": us(sc.Rules.AnswerGrace)},
	}
	if sc.Discovery.Poll {
		settings["discovery"] = "ask"
	}
	fields, how := []string{}, "silent"
	for _, f := range reportFields {
		if sc.Fleet.Report.Includes(f.scenario) {
			fields, how = append(fields, f.setting), "piggyback"
		}
	}
	if len(fields) > 0 && sc.Fleet.Report.By == "probes" {
		how = "pull"
	}
	settings["report"] = obj{"fields": fields, "how": how}
	var profiles, orgs []obj
	scopes := map[string]string{"": "all", "all": "all", "site": "zone", "rack": "cell"}
	for _, c := range sc.Classes {
		profiles = append(profiles, obj{"name": c.Name, "aim_us": us(c.LatencyObjective), "deadline_us": us(c.Deadline), "effect": c.Idempotency,
			"key_scope": scopes[c.KeyScope], "window_us": us(c.IdempotencyWindow), "late_share": c.LateValue, "credit": c.PriorityWeight})
	}
	shares := 0.0
	for _, t := range sc.Tenants {
		shares += t.Share
	}
	for _, t := range sc.Tenants {
		orgs = append(orgs, obj{"name": t.Name, "share": t.Share / shares})
	}
	settings["profiles"], settings["orgs"] = profiles, orgs
	known := endpointList{Full: true, Endpoints: []listedEndpoint{}}
	cl.call(func() {
		var lines []endpointRecord
		lines, known.Revision = cl.endpointsSince(node, -1)
		for _, l := range lines {
			known.Endpoints = append(known.Endpoints, cl.listedEndpoint(node, l))
		}
	})
	return json.MarshalIndent(obj{"name": fmt.Sprintf("n%d", node), "listen": cl.options.Nodes[node], "discovery": cl.Discovery(node),
		"seed":   fmt.Sprintf("%016x", cl.options.Seed*31+uint64(node)+1),
		"limits": obj{"cores": limits.Cores, "memory_mb": limits.MemoryMB, "sockets": limits.Descriptors},
		"known":  known, "settings": settings}, "", "  ")
}

// NodeLimits are what a node may use.
type NodeLimits struct {
	Cores                 float64
	MemoryMB, Descriptors int
	MaxInFlight           int
}

// DefaultLimits are those of the platform's scored days.
var DefaultLimits = NodeLimits{Cores: 1, MemoryMB: 192, Descriptors: 1024, MaxInFlight: 20000}

// FreeAddrs finds loopback addresses that nothing listens on.
func FreeAddrs(count int) ([]string, error) {
	var listeners []net.Listener
	defer func() {
		for _, listener := range listeners {
			listener.Close()
		}
	}()
	var addrs []string
	for range count {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners, addrs = append(listeners, listener), append(addrs, listener.Addr().String())
	}
	return addrs, nil
}

// Processes are node processes that a world starts, kills as its faults say, and ends.
type Processes struct {
	program string
	dir     string
	cluster *Cluster
	limits  NodeLimits

	mu         sync.Mutex
	commands   []*exec.Cmd
	logs       []*os.File
	killFaults []int // faults that keep it dead
	stopped    bool
	wg         sync.WaitGroup
}

// StartNodes starts a process of the program for each of the world's nodes. Configurations and logs are left in dir.
func (cl *Cluster) StartNodes(program, dir string, limits NodeLimits) (*Processes, error) {
	processes := &Processes{program: program, dir: dir, cluster: cl, limits: limits, commands: make([]*exec.Cmd, len(cl.options.Nodes)),
		logs: make([]*os.File, len(cl.options.Nodes)), killFaults: make([]int, len(cl.options.Nodes))}
	for i := range cl.options.Nodes {
		f, err := os.Create(filepath.Join(dir, fmt.Sprintf("node-%d.log", i)))
		if err == nil {
			processes.logs[i] = f
			err = processes.start(i)
		}
		if err != nil {
			return nil, errors.Join(err, processes.Stop())
		}
	}
	cl.call(func() { cl.processes = processes })
	return processes, nil
}

func (p *Processes) start(node int) error {
	raw, err := p.cluster.NodeConfig(node, p.limits)
	if err != nil {
		return err
	}
	file := filepath.Join(p.dir, fmt.Sprintf("node-%d.json", node))
	if err := os.WriteFile(file, raw, 0o644); err != nil {
		return err
	}
	cmd := exec.Command(p.program, "serve", "--config", file)
	cmd.Stdout, cmd.Stderr = p.logs[node], p.logs[node]
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("node %d: %w", node, err)
	}
	p.mu.Lock()
	p.commands[node] = cmd
	p.mu.Unlock()
	p.cluster.log.write(logEvent{Time: p.cluster.now(), Kind: "node-started", Node: node})
	return nil
}

// Pid is the process that serves as a node, 0 while there is none.
func (p *Processes) Pid(node int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.commands[node]; c != nil {
		return c.Process.Pid
	}
	return 0
}

// applyFault kills the nodes that a fault hits, or starts them again at its end. It is called on the world's goroutine, which
// must not wait for processes.
func (p *Processes) applyFault(fault faultinject.Fault, began bool) {
	var hit []int
	switch {
	case fault.Kind == faultinject.NodeKill:
		hit = fault.Nodes
	case fault.WithNodes:
		for i := range p.commands {
			if p.cluster.scenario.Fleet.Sites[p.cluster.scenario.Site(i)] == fault.Site {
				hit = append(hit, i)
			}
		}
	}
	if len(hit) == 0 {
		return
	}
	p.wg.Go(func() {
		for i := range p.commands {
			if !slices.Contains(hit, i) {
				continue
			}
			p.mu.Lock()
			cmd, end := p.commands[i], p.stopped
			p.killFaults[i] += map[bool]int{true: 1, false: -1}[began]
			dead := p.killFaults[i] > 0
			if dead {
				p.commands[i] = nil
			}
			p.mu.Unlock()
			switch {
			case end:
			case dead && cmd != nil:
				p.cluster.log.write(logEvent{Time: p.cluster.now(), Kind: "node-killed", Node: i})
				_ = cmd.Process.Kill() // it may have ended by itself
				_ = cmd.Wait()
			case !dead && cmd == nil:
				if err := p.start(i); err != nil {
					p.cluster.log.write(logEvent{Time: p.cluster.now(), Kind: "node not started: " + err.Error(), Node: i})
				}
			}
		}
	})
}

// Stop ends the processes as the platform does, with SIGTERM, and tells of those that did not end well.
func (p *Processes) Stop() error {
	p.mu.Lock()
	p.stopped = true
	cmds := slices.Clone(p.commands)
	p.mu.Unlock()
	p.wg.Wait()
	var errs []error
	for i, c := range cmds {
		if c == nil {
			continue
		}
		_ = c.Process.Signal(syscall.SIGTERM) // it may have ended by itself; Wait tells
		late := time.AfterFunc(10*time.Second, func() { _ = c.Process.Kill() })
		if err := c.Wait(); err != nil {
			errs = append(errs, fmt.Errorf("node %d: %w; see %s", i, err, filepath.Join(p.dir, fmt.Sprintf("node-%d.log", i))))
		}
		late.Stop()
	}
	for _, f := range p.logs {
		if f != nil {
			errs = append(errs, f.Close())
		}
	}
	return errors.Join(errs...)
}

func (cl *Cluster) listedEndpoint(node int, l endpointRecord) listedEndpoint {
	t := listedEndpoint{UID: fmt.Sprintf("box-%d", l.Backend), Endpoint: cl.backends[l.Place][node].addr, Zone: cl.scenario.Fleet.Sites[l.Site],
		Model: "box", Group: l.Rack, State: phaseNames[l.Phase], Capacity: l.Weight}
	if l.Started >= 0 {
		t.BootMs = cl.startedAt.UnixMilli() + l.Started/1000
	}
	return t
}
