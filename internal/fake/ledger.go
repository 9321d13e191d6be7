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

// event is one line of the log. Times are µs since the start.
type event struct {
	At      int64              `json:"us"`
	What    string             `json:"what"`
	ID      string             `json:"id,omitempty"`
	Node    int                `json:"node"`
	Box     int                `json:"box,omitempty"` // the process's number, from 1
	Place   int                `json:"place"`         // its address's number, from 0
	Class   string             `json:"class,omitempty"`
	Tenant  string             `json:"tenant,omitempty"`
	Key     uint64             `json:"key,omitempty"`
	Outcome string             `json:"outcome,omitempty"`
	Ran     bool               `json:"ran,omitempty"`
	Phase   string             `json:"phase,omitempty"`
	Rev     int                `json:"rev,omitempty"`
	Fault   *faultinject.Fault `json:"fault,omitempty"`
}

// eventLog writes events; a log that cannot be written keeps its first error for the end.
type eventLog struct {
	mu  sync.Mutex
	out *bufio.Writer
	enc *json.Encoder
	err error
}

func newEventLog(w io.Writer) *eventLog {
	if w == nil {
		return &eventLog{}
	}
	out := bufio.NewWriterSize(w, 64<<10)
	return &eventLog{out: out, enc: json.NewEncoder(out)}
}

func (l *eventLog) write(e event) {
	if l.out == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.enc.Encode(e); err != nil && l.err == nil {
		l.err = err
	}
}

func (l *eventLog) flush() error {
	if l.out == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.out.Flush(); err != nil && l.err == nil {
		l.err = err
	}
	return l.err
}

// remember is how many ids are known at once; the oldest is forgotten first. At 10,000 requests a second that is
// more than twice the longest deadline.
const remember = 1 << 17

type toldKey struct{ node, box int }

// ledger counts what truly happened. It belongs to the world's goroutine.
type ledger struct {
	classes   []balancer.Class
	grace     int64 // µs
	runs      map[string]int
	order     []string // ids in the order in which they first ran; a ring once it is full
	next      int
	arrivedAt map[int]int64
	ranAt     map[int]int64
	told      map[toldKey]int64 // when a node was told that a box drains or is gone
	sums      Report
}

// wireSlack is what every time limit gets on sockets, in µs.
const wireSlack = 50_000

func newLedger(sc *scenario.Scenario) *ledger {
	return &ledger{classes: sc.Config(0, make([]float64, len(sc.Tenants))).Classes, grace: int64(sc.Rules.DrainGrace*1000) + wireSlack,
		runs: map[string]int{}, arrivedAt: map[int]int64{}, ranAt: map[int]int64{}, told: map[toldKey]int64{}}
}

func (l *ledger) arrived(now int64, node, place, box int) (late bool) {
	l.sums.Arrived++
	l.arrivedAt[place]++
	if at, ok := l.told[toldKey{node, box}]; ok && now > at+l.grace {
		l.sums.AfterDrain++
		return true
	}
	return false
}

// ran counts a run, and tells whether the id had run before although its class must run once.
func (l *ledger) ran(id string, class, place int) (again bool) {
	l.ranAt[place]++
	n := l.runs[id]
	if n == 0 {
		if len(l.order) < remember {
			l.order = append(l.order, id)
		} else {
			delete(l.runs, l.order[l.next])
			l.order[l.next] = id
			l.next = (l.next + 1) % remember
		}
	}
	l.runs[id] = n + 1
	if n > 0 && l.classes[class].Idempotency == balancer.NonIdempotent {
		l.sums.DuplicateRuns++
		return true
	}
	return false
}

func (l *ledger) tell(now int64, node, box int, phase balancer.Phase) {
	k := toldKey{node, box}
	if phase == balancer.PhaseReady {
		delete(l.told, k)
	} else if _, ok := l.told[k]; !ok {
		l.told[k] = now
	}
}

func (l *ledger) report() Report { return l.sums }

// Trace turns an event log into a trace of calls for the load generator: each request that first came to a box, at its
// time since the first of them. Requests that came again, as repeats or at another box, are left out.
func Trace(in io.Reader, out io.Writer, sc *scenario.Scenario) (int, error) {
	classes, tenants := map[string]int{}, map[string]int{}
	for i, c := range sc.Classes {
		classes[c.Name] = i
	}
	for i, t := range sc.Tenants {
		tenants[t.Name] = i
	}
	seen, first, n := map[string]bool{}, int64(-1), 0
	w := bufio.NewWriter(out)
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 1<<20)
	for line := 1; lines.Scan(); line++ {
		var e event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return n, fmt.Errorf("line %d: %w", line, err)
		}
		class, known := classes[e.Class]
		if e.What != "arrived" || seen[e.ID] {
			continue
		}
		if !known {
			return n, fmt.Errorf("line %d: class: %q is none of the scenario's", line, e.Class)
		}
		seen[e.ID] = true
		if first < 0 {
			first = e.At
		}
		if _, err := fmt.Fprintln(w, e.At-first, class, tenants[e.Tenant], sc.Site(e.Node), e.Key); err != nil {
			return n, err
		}
		n++
	}
	return n, errors.Join(lines.Err(), w.Flush())
}
