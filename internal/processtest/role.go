package processtest

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"tulipglade/internal/agent"
)

// roleVariable is the environment variable with the settings of a process as JSON.
const roleVariable = "TULIP_RIG_ROLE"

// The roles that a process of the harness can have.
const (
	roleAgent  = "agent"
	roleHolder = "holder"
	roleTarget = "target"
)

// The orders that a process reads from its standard input, one per line. Some are followed by a number.
const (
	orderClockRate = "rate"  // the number is the rate of the clock; 1 is the normal rate
	orderClockJump = "jump"  // the number is added to the clock, in ms
	orderDiskStall = "stall" // the number is the delay of each write, in ms
	orderDiskFull  = "full"  // writes fail
	orderDiskSync  = "sync"  // writes are stored, but their sync fails
	orderHalt      = "halt"  // the holder stops itself between the next check of its lease and the action
)

// errInjected is the error of disk writes while a disk fault is active.
var errInjected = errors.New("injected disk fault")

// processSettings are the settings that the harness passes to a process when it starts it.
type processSettings struct {
	Role            string                 `json:"role"`
	Name            string                 `json:"name"`
	Dir             string                 `json:"dir,omitempty"`
	Listen          string                 `json:"listen,omitempty"`
	Dial            map[string]string      `json:"dial,omitempty"` // relay address for each listen address
	Agents          []string               `json:"agents,omitempty"`
	Target          string                 `json:"target,omitempty"`
	LeaseDuration   time.Duration          `json:"for,omitempty"`
	ActionsPerLease int                    `json:"acts,omitempty"`
	Failover        *agent.FailoverOptions `json:"plans,omitempty"`
	Disabled        DisabledParts          `json:"without"`
}

// DisabledParts selects safety mechanisms to leave out, to show that the checks detect their absence.
type DisabledParts struct {
	Guard bool `json:"guard,omitempty"` // holders act even if their lease may have expired
	Fence bool `json:"fence,omitempty"` // the target admits every action
	Sync  bool `json:"sync,omitempty"`  // disks of agents report updates as stored without storing them
}

// RunRole must be called first in main. In a process that a Harness has started, it runs the role of the process and
// does not return. In other processes it returns at once.
func RunRole() {
	raw := os.Getenv(roleVariable)
	if raw == "" {
		return
	}
	var settings processSettings
	if err := json.Unmarshal([]byte(raw), &settings); err != nil {
		fmt.Fprintln(os.Stderr, roleVariable, err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	p := &process{processSettings: settings, events: json.NewEncoder(os.Stdout), clockRate: 1, rateChangedAt: agent.Clock()}
	go p.readOrders(os.Stdin)
	if err := p.runRole(ctx); err != nil {
		p.report(Event{Kind: EventProcessFailed, Text: err.Error()})
		os.Exit(1)
	}
	os.Exit(0)
}

// process is the state of a process that runs a role.
type process struct {
	processSettings

	mu            sync.Mutex // guards the fields below
	events        *json.Encoder
	rateChangedAt time.Duration // time of the last change of the clock's rate, by the clock of the machine
	clockAtChange time.Duration // time of the process's clock at rateChangedAt, with all later jumps added
	clockRate     float64
	diskStall     time.Duration
	diskFull      bool
	syncFails     bool
	halt          bool
}

func (p *process) runRole(ctx context.Context) error {
	switch p.Role {
	case roleAgent:
		return p.runAgent(ctx)
	case roleHolder:
		return p.runHolder(ctx)
	case roleTarget:
		return p.runTarget(ctx)
	}
	return fmt.Errorf("unknown role %q", p.Role)
}

// report sends an event to the harness by writing it to standard output.
func (p *process) report(event Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	event.At, event.Process = agent.Clock(), p.Name
	_ = p.events.Encode(event) // it fails only if the harness has ended, and this process then exits as well
}

// clock reads the clock of the process, whose time and rate the orders of the harness change.
func (p *process) clock() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clockLocked()
}

func (p *process) clockLocked() time.Duration {
	return p.clockAtChange + time.Duration(float64(agent.Clock()-p.rateChangedAt)*p.clockRate)
}

// readOrders applies the orders from input until the harness closes the input or exits; the process exits then.
func (p *process) readOrders(input io.Reader) {
	for lines := bufio.NewScanner(input); lines.Scan(); {
		order, argument, _ := strings.Cut(lines.Text(), " ")
		value, _ := strconv.ParseFloat(argument, 64) // 0 for orders without a number
		p.applyOrder(order, value)
	}
	os.Exit(0)
}

func (p *process) applyOrder(order string, value float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch order {
	case orderClockRate:
		p.clockAtChange = p.clockLocked()
		p.rateChangedAt = agent.Clock()
		p.clockRate = value
	case orderClockJump:
		p.clockAtChange += time.Duration(value) * time.Millisecond
	case orderDiskStall:
		p.diskStall = time.Duration(value) * time.Millisecond
	case orderDiskFull:
		p.diskFull = true
	case orderDiskSync:
		p.syncFails = true
	case orderHalt:
		p.halt = true
	}
}

// dial connects to an address through the relay to it. A connection to the process itself is direct.
func (p *process) dial(ctx context.Context, network, address string) (net.Conn, error) {
	relay, ok := p.Dial[address]
	if address == p.Listen { // the process connects to itself
		relay, ok = address, true
	}
	if !ok {
		return nil, fmt.Errorf("%s: no relay to this address", address)
	}
	dialer := net.Dialer{Timeout: time.Second}
	return dialer.DialContext(ctx, network, relay)
}

func (p *process) transport() *http.Transport {
	return &http.Transport{DialContext: p.dial, MaxIdleConnsPerHost: 4, DisableCompression: true}
}

// sleep waits for a random time within bounds. If ctx ends before that, it returns the error of ctx.
func sleep(ctx context.Context, shortest, longest time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(shortest + time.Duration(rand.Int64N(int64(longest-shortest)+1))):
		return nil
	}
}
