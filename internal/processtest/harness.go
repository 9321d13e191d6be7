// Package processtest injects faults into a group of real processes and the connections between them. The processes are
// agents, lease holders, and the target that the holders act on. Connections pass through relays, one for each
// direction between two processes. The program that uses the package starts itself again as each of these processes
// (see RunRole). The processes therefore run the same code as the real programs, and the harness can also disturb their
// disks and clocks, for which the real programs have no settings.
package processtest

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"tulipglade/internal/agent"
	"tulipglade/internal/consensus"
	"tulipglade/internal/lease"
	"tulipglade/internal/loopback"
)

// Options configure a Harness.
type Options struct {
	Agents, Holders int
	SpareAgents     int // agents that are not members at first; their indexes follow those of the members
	Terms           lease.Terms
	LeaseDuration   time.Duration
	Disabled        DisabledParts
	Failover        *agent.FailoverOptions // failover options of the agents; nil if they plan no failover
	ActionsPerLease int                    // actions before a holder releases its lease; 0 for a random number
	Seed            uint64
}

// scheduledTerms are the lease terms of schedules. They are short, so that elections and expiries happen within
// seconds.
var scheduledTerms = lease.Terms{Interval: 100 * time.Millisecond, Drift: 0.01}

const (
	scheduledLeaseDuration = 1500 * time.Millisecond
	agentGroup             = "processtest"
)

// Harness runs processes with relays between them and collects their events.
type Harness struct {
	options   Options
	directory string
	processes []*managedProcess // agents, then holders, then the target
	relays    map[route]*relay
	readers   sync.WaitGroup // goroutines that read the events of the processes
	log       *eventLog

	mu         sync.Mutex
	linkFaults map[int]linkFault // active link faults by ID, see newLinkFaultID
	nextFault  int               // ID of the newest link fault
	stopped    bool              // Stop was called; no process is started any more
}

// route is the direction of a connection: the indexes of the process that opens it and of the process that accepts it.
type route struct{ from, to int }

// Start starts the processes of a harness and the relays between them.
func Start(options Options) (h *Harness, err error) {
	if options.Terms.Interval == 0 {
		options.Terms, options.LeaseDuration = scheduledTerms, scheduledLeaseDuration
	}
	directory, err := os.MkdirTemp("", "processtest")
	if err != nil {
		return nil, err
	}
	h = &Harness{
		options:    options,
		directory:  directory,
		relays:     map[route]*relay{},
		log:        newEventLog(),
		linkFaults: map[int]linkFault{},
	}
	defer func() {
		if err != nil {
			h.Stop()
		}
	}()
	agentCount := options.Agents + options.SpareAgents
	addresses, err := loopback.FreeAddresses(nextLoopbackHost(), agentCount+1)
	if err != nil {
		return nil, err
	}
	if err := h.addAgents(addresses[:agentCount]); err != nil {
		return nil, err
	}
	h.addHolders(addresses[:options.Agents], addresses[agentCount])
	h.addTarget(addresses[agentCount])
	if err := h.addRelays(); err != nil {
		return nil, err
	}
	for i := range h.processes {
		if err := h.start(i); err != nil {
			return nil, err
		}
	}
	return h, nil
}

// addAgents adds the agents, members first and spare agents after them, and creates their state directories.
func (h *Harness) addAgents(addresses []string) error {
	members := map[uint64]string{}
	for i := range h.options.Agents {
		members[uint64(i+1)] = addresses[i]
	}
	memberState, err := consensus.Bootstrap(members, h.options.Terms)
	if err != nil {
		return err
	}
	for i, address := range addresses {
		state := memberState
		if i >= h.options.Agents {
			state = consensus.EmptyState()
		}
		name := fmt.Sprint("agent", i+1)
		directory := filepath.Join(h.directory, name)
		identity := agent.Identity{Group: agentGroup, ID: uint64(i + 1), Address: address}
		if err := agent.CreateStorage(directory, identity, state); err != nil {
			return err
		}
		h.processes = append(h.processes, &managedProcess{processSettings: processSettings{
			Role:     roleAgent,
			Name:     name,
			Dir:      directory,
			Listen:   address,
			Failover: h.options.Failover,
			Disabled: h.options.Disabled,
		}})
	}
	return nil
}

func (h *Harness) addHolders(agents []string, target string) {
	for i := range h.options.Holders {
		h.processes = append(h.processes, &managedProcess{processSettings: processSettings{
			Role:            roleHolder,
			Name:            fmt.Sprint("holder", i+1),
			Agents:          agents,
			Target:          target,
			LeaseDuration:   h.options.LeaseDuration,
			ActionsPerLease: h.options.ActionsPerLease,
			Disabled:        h.options.Disabled,
		}})
	}
}

func (h *Harness) addTarget(address string) {
	h.processes = append(h.processes, &managedProcess{processSettings: processSettings{
		Role:     roleTarget,
		Name:     roleTarget,
		Listen:   address,
		Disabled: h.options.Disabled,
	}})
}

// addRelays starts a relay for each route that the processes use: from agents to other agents, and from holders to
// agents and the target.
func (h *Harness) addRelays() error {
	for i, from := range h.processes {
		if from.Role == roleTarget {
			continue
		}
		from.Dial = map[string]string{}
		for j, to := range h.processes {
			if i == j || to.Role == roleHolder || from.Role == roleAgent && to.Role == roleTarget {
				continue
			}
			relay, err := newRelay(to.Listen, h.options.Seed)
			if err != nil {
				return err
			}
			h.relays[route{i, j}] = relay
			from.Dial[to.Listen] = relay.address()
		}
	}
	return nil
}

// Index returns the index of the process with the given name, or -1 if there is none.
func (h *Harness) Index(name string) int {
	return slices.IndexFunc(h.processes, func(p *managedProcess) bool { return p.Name == name })
}

// agentAddresses returns the listen addresses of the initial members of the group.
func (h *Harness) agentAddresses() []string {
	var addresses []string
	for _, process := range h.processes[:h.options.Agents] {
		addresses = append(addresses, process.Listen)
	}
	return addresses
}

// Heal continues all processes that are stopped and starts those that have exited.
func (h *Harness) Heal() error {
	for i := range h.processes {
		h.signalProcess(i, syscall.SIGCONT)
		if err := h.start(i); err != nil {
			return err
		}
	}
	return nil
}

// Stop ends all processes and relays, and returns when they have ended.
func (h *Harness) Stop() {
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	for i := range h.processes {
		h.kill(i)
	}
	for _, relay := range h.relays {
		relay.close()
	}
	h.readers.Wait()
	_ = os.RemoveAll(h.directory) // a temporary directory that is left behind does no harm
}
