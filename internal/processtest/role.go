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

// roleVariable is the environment variable that holds a process's settings, as JSON.
const roleVariable = "TULIP_RIG_ROLE"

// The roles of processes.
const (
	roleAgent  = "agent"
	roleHolder = "holder"
	roleTarget = "target"
)

// The orders that a process reads from its standard input, one a line; some have a number after them.
const (
	orderClockRate = "rate"
	orderClockJump = "jump"  // by so many ms
	orderDiskStall = "stall" // each write by so many ms
	orderDiskFull  = "full"  // writes fail
	orderDiskSync  = "sync"  // writes fail their sync
	orderHalt      = "halt"  // the holder stops itself between its next check and that action
)

// errInjected is the error of a disk that was ordered to fail.
var errInjected = errors.New("injected disk fault")

// processSettings are what a process of the harness is started with.
type processSettings struct {
	Role            string                 `json:"role"`
	Name            string                 `json:"name"`
	Dir             string                 `json:"dir,omitempty"`
	Listen          string                 `json:"listen,omitempty"`
	Dial            map[string]string      `json:"dial,omitempty"` // the relay to each address
	Agents          []string               `json:"agents,omitempty"`
	Target          string                 `json:"target,omitempty"`
	LeaseDuration   time.Duration          `json:"for,omitempty"`
	ActionsPerLease int                    `json:"acts,omitempty"`
	Failover        *agent.FailoverOptions `json:"plans,omitempty"`
	Disabled        DisabledParts          `json:"without"`
}

// DisabledParts names a safety mechanism that is left out, to show that the checks find its absence.
type DisabledParts struct {
	Guard bool `json:"guard,omitempty"` // holders act whatever the state of their lease
	Fence bool `json:"fence,omitempty"` // the target admits every action
	Sync  bool `json:"sync,omitempty"`  // agents' disks store nothing of what they report as stored
}

// RunRole must be called first in main. In a process that a Harness has started it plays the process's role and does not return.
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

// process is the state of a process that plays a role.
type process struct {
	processSettings

	mu            sync.Mutex
	events        *json.Encoder
	rateChangedAt time.Duration // by the machine's clock
	clockAtChange time.Duration // what the process's clock showed then
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

// report writes an event for the harness.
func (p *process) report(event Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	event.At, event.Process = agent.Clock(), p.Name
	_ = p.events.Encode(event) // it fails once the harness has ended, and then this process ends, too
}

// clock is the process's own clock, which orders can change.
func (p *process) clock() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clockLocked()
}

func (p *process) clockLocked() time.Duration {
	return p.clockAtChange + time.Duration(float64(agent.Clock()-p.rateChangedAt)*p.clockRate)
}

// readOrders carries out orders until the harness closes the input or ends, and exits then.
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

// dial connects to an address by way of its relay.
func (p *process) dial(ctx context.Context, network, address string) (net.Conn, error) {
	relay, ok := p.Dial[address]
	if address == p.Listen { // the process itself
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

// sleep waits for a random time within bounds, or until ctx ends, whose error it returns.
func sleep(ctx context.Context, shortest, longest time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(shortest + time.Duration(rand.Int64N(int64(longest-shortest)+1))):
		return nil
	}
}
