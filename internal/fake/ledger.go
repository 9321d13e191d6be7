package fake

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"

	"tulipglade/internal/balancer"
	"tulipglade/internal/faultinject"
	"tulipglade/internal/simulation/scenario"
)

// logEvent is one line of the log. Times are µs since the start.
type logEvent struct {
	Time     int64              `json:"us"`
	Kind     string             `json:"what"`
	ID       string             `json:"id,omitempty"`
	Node     int                `json:"node"`
	Backend  int                `json:"box,omitempty"` // the process's number, from 1
	Place    int                `json:"place"`         // its address's number, from 0
	Class    string             `json:"class,omitempty"`
	Tenant   string             `json:"tenant,omitempty"`
	Key      uint64             `json:"key,omitempty"`
	Outcome  string             `json:"outcome,omitempty"`
	Ran      bool               `json:"ran,omitempty"`
	Phase    string             `json:"phase,omitempty"`
	Revision int                `json:"rev,omitempty"`
	Fault    *faultinject.Fault `json:"fault,omitempty"`
}

// eventLog writes events; a log that cannot be written keeps its first error for the end.
type eventLog struct {
	mu      sync.Mutex
	buffer  *bufio.Writer
	encoder *json.Encoder
	err     error
}

func newEventLog(w io.Writer) *eventLog {
	if w == nil {
		return &eventLog{}
	}
	out := bufio.NewWriterSize(w, 64<<10)
	return &eventLog{buffer: out, encoder: json.NewEncoder(out)}
}

func (l *eventLog) write(e logEvent) {
	if l.buffer == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.encoder.Encode(e); err != nil && l.err == nil {
		l.err = err
	}
}

func (l *eventLog) flush() error {
	if l.buffer == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.buffer.Flush(); err != nil && l.err == nil {
		l.err = err
	}
	return l.err
}

// maxRememberedIDs is how many ids are known at once; the oldest is forgotten first. At 10,000 requests a second that is
// more than twice the longest deadline.
const maxRememberedIDs = 1 << 17

type notificationKey struct{ node, backend int }

// ledger counts what truly happened. It belongs to the world's goroutine.
type ledger struct {
	classes       []balancer.Class
	drainGrace    int64 // µs
	executions    map[string]int
	rememberedIDs []string // ids in the order in which they first ran; a ring once it is full
	oldest        int
	arrivedAt     map[int]int64
	executedAt    map[int]int64
	notifiedAt    map[notificationKey]int64 // when a node was told that a box drains or is gone
	totals        Report
}

// socketTolerance is what every time limit gets on sockets, in µs.
const socketTolerance = 50_000

func newLedger(config *scenario.Scenario) *ledger {
	return &ledger{classes: config.Config(0, make([]float64, len(config.Tenants))).Classes, drainGrace: int64(config.Rules.DrainGrace*1000) + socketTolerance,
		executions: map[string]int{}, arrivedAt: map[int]int64{}, executedAt: map[int]int64{}, notifiedAt: map[notificationKey]int64{}}
}

func (l *ledger) recordArrival(now int64, node, place, backend int) (afterDrain bool) {
	l.totals.Arrived++
	l.arrivedAt[place]++
	if at, ok := l.notifiedAt[notificationKey{node, backend}]; ok && now > at+l.drainGrace {
		l.totals.AfterDrain++
		return true
	}
	return false
}

// recordExecution counts a run, and tells whether the id had run before although its class must run once.
func (l *ledger) recordExecution(id string, class, place int) (duplicate bool) {
	l.executedAt[place]++
	n := l.executions[id]
	if n == 0 {
		if len(l.rememberedIDs) < maxRememberedIDs {
			l.rememberedIDs = append(l.rememberedIDs, id)
		} else {
			delete(l.executions, l.rememberedIDs[l.oldest])
			l.rememberedIDs[l.oldest] = id
			l.oldest = (l.oldest + 1) % maxRememberedIDs
		}
	}
	l.executions[id] = n + 1
	if n > 0 && l.classes[class].Idempotency == balancer.NonIdempotent {
		l.totals.DuplicateRuns++
		return true
	}
	return false
}

func (l *ledger) recordNotification(now int64, node, backend int, phase balancer.Phase) {
	k := notificationKey{node, backend}
	if phase == balancer.PhaseReady {
		delete(l.notifiedAt, k)
	} else if _, ok := l.notifiedAt[k]; !ok {
		l.notifiedAt[k] = now
	}
}

func (l *ledger) report() Report { return l.totals }

// Trace turns an event log into a trace of calls for the load generator: each request that first came to a box, at its
// time since the first of them. Requests that came again, as repeats or at another box, are left out.
func Trace(events io.Reader, out io.Writer, config *scenario.Scenario) (int, error) {
	classes, tenants := map[string]int{}, map[string]int{}
	for i, c := range config.Classes {
		classes[c.Name] = i
	}
	for i, t := range config.Tenants {
		tenants[t.Name] = i
	}
	seen, first, n := map[string]bool{}, int64(-1), 0
	writer := bufio.NewWriter(out)
	lines := bufio.NewScanner(events)
	lines.Buffer(nil, 1<<20)
	for line := 1; lines.Scan(); line++ {
		var e logEvent
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return n, fmt.Errorf("line %d: %w", line, err)
		}
		class, known := classes[e.Class]
		if e.Kind != "arrived" || seen[e.ID] {
			continue
		}
		if !known {
			return n, fmt.Errorf("line %d: class: %q is none of the scenario's", line, e.Class)
		}
		seen[e.ID] = true
		if first < 0 {
			first = e.Time
		}
		if _, err := fmt.Fprintln(writer, e.Time-first, class, tenants[e.Tenant], config.Site(e.Node), e.Key); err != nil {
			return n, err
		}
		n++
	}
	return n, errors.Join(lines.Err(), writer.Flush())
}
