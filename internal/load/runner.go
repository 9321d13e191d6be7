package load

import (
	"bytes"
	"container/heap"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"tulipglade/internal/balancer"
	"tulipglade/internal/faultinject"
	"tulipglade/internal/loopback"
	"tulipglade/internal/protocol"
	"tulipglade/internal/simulation/scenario"
	"tulipglade/internal/workload"
)

// Plan is one run.
type Plan struct {
	Scenario *scenario.Scenario
	Seed     uint64
	// Targets are where clients connect, by site; fewer than sites: they take turns.
	Targets []string
	// Conns bounds the connections, all targets together.
	Conns int
	// Lag is the p99 of the time from when a try was due to its sending beyond which the run does not count.
	Lag time.Duration
	// Capacity is what the fleet behind the target can do, in µs of work for each µs, where the load is a level of it.
	Capacity float64
	Faults   []faultinject.Fault // of which the surges are the clients'
	// Each is told of every second once all its calls have ended.
	Each func(Second)
	// Intervals takes the HDR histogram of each second, if it is set.
	Intervals *IntervalLog
	// Record takes every call as it falls due, if it is set.
	Record io.Writer
}

// DefaultConns and DefaultLag are used where a Plan leaves them 0.
const (
	DefaultConns = 4096
	DefaultLag   = time.Millisecond
)

// try is one sending of a call.
type try struct {
	e        *entry
	due      int64
	deadline int64
	conn     *conn
	done     bool
	resent   bool
	site     int
	id       string
}

// alarm is something due: a repeat, or the end of a try's time.
type alarm struct {
	at    int64
	again *entry
	end   *try
}

type alarms []alarm

func (a alarms) Len() int           { return len(a) }
func (a alarms) Less(i, j int) bool { return a[i].at < a[j].at }
func (a alarms) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *alarms) Push(x any)        { *a = append(*a, x.(alarm)) }
func (a *alarms) Pop() any {
	old := *a
	x := old[len(old)-1]
	old[len(old)-1] = alarm{}
	*a = old[:len(old)-1]
	return x
}

// conn is one connection to a target. All but its reader belongs to the scheduler.
type conn struct {
	r      *runner
	c      net.Conn
	target int
	used   int // requests sent on it
	cur    *try
	dead   bool
	req    []byte
}

// happening is news from a dialling or reading goroutine, with the moment at which it came.
type happening struct {
	at      int64
	c       *conn // of an answer or a break
	t       *try  // of a dial
	nc      net.Conn
	err     error
	heard   bool // some of an answer had come before the break
	how     workload.Answer
	retryIn int64
	keep    bool
}

// runner is the scheduler's state: one goroutine, on a thread of its own, sends and keeps the accounts. Readers only
// take the time and pass on what has come, so that a burst of answers does not hold up the schedule.
type runner struct {
	plan    Plan
	start   time.Time
	classes []balancer.Class
	news    chan happening
	quit    chan struct{} // closed as the run ends: news is not taken any more

	book    *book
	alarms  alarms
	idle    [][]*conn // by target
	waiting [][]*try  // by target: for a connection to come free
	conns   int
	peak    int
	atBound int64 // tries that had to wait for a connection
	noFiles int64 // dials that failed for want of descriptors
	open    map[*conn]bool
	nonce   uint64
	wg      sync.WaitGroup
}

// Run plays the plan to its end: until every call that was due has ended, or ctx does.
func Run(ctx context.Context, p Plan) (*Result, error) {
	if p.Conns == 0 {
		p.Conns = DefaultConns
	}
	if p.Lag == 0 {
		p.Lag = DefaultLag
	}
	for _, t := range p.Targets {
		if err := loopback.Check(t); err != nil {
			return nil, fmt.Errorf("target %w", err)
		}
	}
	if len(p.Targets) == 0 {
		return nil, errors.New("target: none is given")
	}
	schedule, err := workload.NewSchedule(p.Scenario, p.Seed, p.Capacity, p.Faults)
	if err != nil {
		return nil, err
	}
	r := &runner{plan: p, idle: make([][]*conn, len(p.Targets)), waiting: make([][]*try, len(p.Targets)),
		classes: p.Scenario.Config(0, make([]float64, len(p.Scenario.Tenants))).Classes,
		news:    make(chan happening, 1<<14), quit: make(chan struct{}), open: map[*conn]bool{},
		nonce: uint64(time.Now().UnixNano())}
	res := &Result{Scenario: p.Scenario.Name, Seed: p.Seed, Targets: p.Targets, Lag: LagReport{BoundMs: ms(p.Lag.Microseconds())}}
	r.book = newBook(p.Scenario, p.Seed, p.Lag, func(s *second) error { return res.second(s, &p) })
	var before, after syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &before); err != nil {
		return nil, fmt.Errorf("processor time: %w", err)
	}
	// With one processor of the runtime, readers would wait while the scheduler sleeps in the kernel: on one core,
	// 14,000 a second went out 1.5 ms late at p99, and 20,000 went out 0.2 ms late with two.
	if procs := runtime.GOMAXPROCS(0); procs < 2 {
		runtime.GOMAXPROCS(2)
		defer runtime.GOMAXPROCS(procs)
	}
	widen(2*p.Conns + 64)
	r.start = time.Now()
	if p.Intervals != nil {
		if err := p.Intervals.begin(r.start); err != nil {
			return nil, err
		}
	}
	err = r.schedule(ctx, schedule)
	r.close()
	if err != nil {
		return nil, err
	}
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &after); err != nil {
		return nil, fmt.Errorf("processor time: %w", err)
	}
	r.book.sweep(math.MaxInt64, true)
	if r.book.err != nil {
		return nil, r.book.err
	}
	if err := r.book.balance(); err != nil {
		return nil, err
	}
	cpu := cpuOf(&after) - cpuOf(&before)
	res.fill(r, cpu, time.Since(r.start))
	return res, nil
}

// widen makes the system's table of descriptors large enough for so many at once, while nothing is due. It grows by
// doubling, and each time all threads of the process wait some 10 ms for it: measured as lag at the 128th and the 256th
// connection.
func widen(n int) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return // it grows on the way, then
	}
	fd, err := unix.FcntlInt(0, unix.F_DUPFD_CLOEXEC, int(min(uint64(n), limit.Cur-1)))
	if err != nil {
		return
	}
	_ = unix.Close(fd)
}

func cpuOf(u *syscall.Rusage) time.Duration {
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func (r *runner) now() int64 { return time.Since(r.start).Microseconds() }

// nap is the longest time for which the scheduler does not look for news.
const nap = 500 * time.Microsecond

// schedule sends each call at its moment, and plays what falls due in between, until all has ended.
func (r *runner) schedule(ctx context.Context, s *workload.Schedule) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	next, err := s.Next()
	more := err == nil
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	for n := 0; ; n++ {
		if n%256 == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
		// What is due comes before what has come: the schedule is the promise.
		switch now := r.now(); {
		case more && next.At <= now:
			if r.plan.Record != nil {
				if _, err := fmt.Fprintln(r.plan.Record, next.At, next.Class, next.Tenant, next.Site, next.Key); err != nil {
					return fmt.Errorf("record: %w", err)
				}
			}
			r.begin(r.book.arrive(next), next.At)
			if next, err = s.Next(); errors.Is(err, io.EOF) {
				more = false
			} else if err != nil {
				return err
			}
			continue
		case len(r.alarms) > 0 && r.alarms[0].again != nil && r.alarms[0].at <= now:
			a := heap.Pop(&r.alarms).(alarm)
			r.begin(a.again, a.at)
			continue
		}
		select {
		case h := <-r.news:
			r.take(h)
			continue
		default:
		}
		// Nothing has come that was not taken, so what is not answered by now has timed out.
		now, wake := r.now(), int64(math.MaxInt64)
		if len(r.alarms) > 0 {
			if wake = r.alarms[0].at; wake <= now {
				if a := heap.Pop(&r.alarms).(alarm); a.again != nil {
					r.begin(a.again, a.at)
				} else if t := a.end; !t.done {
					r.end(t, workload.Timeout, now, 0)
					if t.conn != nil {
						r.drop(t.conn)
					}
				}
				continue
			}
		}
		if more {
			wake = min(wake, next.At)
		} else if r.book.open == 0 {
			return nil
		}
		SleepUntil(r.start.Add(time.Duration(min(wake, now+nap.Microseconds())) * time.Microsecond))
	}
}

// post passes news on to the scheduler.
func (r *runner) post(h happening) {
	select {
	case r.news <- h:
	case <-r.quit:
	}
}

// take is news that has come.
func (r *runner) take(h happening) {
	switch {
	case h.t != nil:
		r.dialled(h)
	case h.c.dead:
	case h.err != nil:
		r.broken(h)
	case h.c.cur == nil: // an answer to nothing
		r.drop(h.c)
	default:
		if t := h.c.cur; !t.done {
			r.end(t, h.how, h.at, h.retryIn)
		}
		if h.keep {
			r.free(h.c)
		} else {
			r.drop(h.c)
		}
	}
}

// begin makes a try of a call that is due.
func (r *runner) begin(e *entry, due int64) {
	t := &try{e: e, due: due, deadline: due + r.book.retry.Timeout(&e.call, due-e.call.At)}
	t.site = e.call.Site % len(r.plan.Targets)
	var id [24]byte
	h := xxhash.Sum64(strconv.AppendUint(strconv.AppendUint(append(id[:0], byte(e.tries)), e.call.Number, 16), r.nonce, 16))
	t.id = fmt.Sprintf("%016x", h)
	heap.Push(&r.alarms, alarm{at: t.deadline, end: t})
	r.assign(t)
}

// assign gives the try a connection: one that is idle, a new one, or the next to come free.
func (r *runner) assign(t *try) {
	list := r.idle[t.site]
	if n := len(list); n > 0 {
		c := list[n-1]
		r.idle[t.site] = list[:n-1]
		r.book.send(t.e, t.due, r.now())
		r.write(c, t)
		return
	}
	if r.conns < r.plan.Conns {
		r.conns++
		r.peak = max(r.peak, r.conns)
		r.book.send(t.e, t.due, r.now())
		r.dial(t)
		return
	}
	r.atBound++
	r.waiting[t.site] = append(r.waiting[t.site], t)
}

// dial opens a connection for the try, which goes out on it.
func (r *runner) dial(t *try) {
	within := time.Duration(max(t.deadline-r.now(), 1)) * time.Microsecond
	r.wg.Go(func() {
		nc, err := net.DialTimeout("tcp4", r.plan.Targets[t.site], within)
		h := happening{at: r.now(), t: t, nc: nc, err: err}
		select {
		case r.news <- h:
		case <-r.quit:
			if nc != nil {
				nc.Close()
			}
		}
	})
}

func (r *runner) dialled(h happening) {
	t := h.t
	if h.err != nil {
		r.conns--
		if errors.Is(h.err, syscall.EMFILE) || errors.Is(h.err, syscall.ENFILE) || errors.Is(h.err, syscall.EADDRNOTAVAIL) {
			r.noFiles++
		}
		if !t.done {
			r.end(t, workload.Unreachable, h.at, 0)
		}
		return
	}
	c := &conn{r: r, c: h.nc, target: t.site}
	r.open[c] = true
	r.wg.Go(c.read)
	if t.done {
		r.free(c)
		return
	}
	r.write(c, t)
}

// write sends the request. It is small and alone on its connection, so the system takes it at once.
func (r *runner) write(c *conn, t *try) {
	c.cur, t.conn = t, c
	c.used++
	c.req = r.request(c.req[:0], t)
	if _, err := c.c.Write(c.req); err != nil {
		c.c.Close() // the reader hears of it, and tells
	}
}

// request words a try as PROTOCOL says.
func (r *runner) request(dst []byte, t *try) []byte {
	e, sc := t.e, r.plan.Scenario
	class := &sc.Classes[e.call.Class]
	effect := r.classes[e.call.Class].Idempotency
	method := "POST /"
	if effect == balancer.Idempotent {
		method = "GET /"
	}
	dst = append(append(dst, method...), class.Name...)
	if e.call.Key != 0 {
		dst = append(dst, "?obj="...)
		dst = strconv.AppendUint(dst, e.call.Key, 16)
	}
	dst = append(dst, " HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: "...)
	dst = append(append(dst, t.id...), "\r\nX-Qos: "...)
	dst = append(append(dst, class.Name...), "\r\nX-Customer: "...)
	dst = append(append(dst, sc.Tenants[e.call.Tenant].Name...), "\r\nX-Expires-In-Ms: "...)
	dst = strconv.AppendInt(dst, max((t.deadline-t.due)/1000, 1), 10)
	if hint := workload.Hint(sc, r.plan.Seed, &e.call); hint > 0 {
		dst = strconv.AppendInt(append(dst, "\r\nX-Size-Hint: "...), hint, 10)
	}
	if sc.Clients.Marks && e.tries > 1 {
		dst = append(dst, "\r\nX-Second-Try: 1"...)
	}
	if effect == balancer.IdempotentByKey {
		dst = append(dst, "\r\nIdempotency-Key: "...)
		dst = fmt.Appendf(dst, "%016x%016x", r.nonce, e.call.Number)
	}
	if effect != balancer.Idempotent {
		dst = append(dst, "\r\nContent-Length: 0"...)
	}
	return append(dst, "\r\n\r\n"...)
}

// end is the end of a try: the call ends with it, or a repeat is set.
func (r *runner) end(t *try, how workload.Answer, now, retryIn int64) {
	t.done = true
	if t.e.tries == 0 { // it never got a connection: it counts as sent when it was given up
		r.book.send(t.e, t.due, now)
	}
	if wait, again := r.book.answer(t.e, how, now, retryIn); again {
		heap.Push(&r.alarms, alarm{at: now + wait, again: t.e})
	}
}

// free makes a connection ready for the next try, or lets it take one that waits.
func (r *runner) free(c *conn) {
	c.cur = nil
	q := r.waiting[c.target]
	for len(q) > 0 {
		t := q[0]
		q = q[1:]
		if !t.done {
			r.waiting[c.target] = q
			r.book.send(t.e, t.due, r.now())
			r.write(c, t)
			return
		}
	}
	r.waiting[c.target] = q[:0]
	r.idle[c.target] = append(r.idle[c.target], c)
}

// drop closes a connection, and lets one that waits dial in its place.
func (r *runner) drop(c *conn) {
	if c.dead {
		return
	}
	c.dead, c.cur = true, nil
	c.c.Close()
	delete(r.open, c)
	r.conns--
	for i, o := range r.idle[c.target] {
		if o == c {
			r.idle[c.target] = append(r.idle[c.target][:i], r.idle[c.target][i+1:]...)
			break
		}
	}
	q := r.waiting[c.target]
	for len(q) > 0 {
		t := q[0]
		q = q[1:]
		if !t.done {
			r.conns++
			r.book.send(t.e, t.due, r.now())
			r.dial(t)
			break
		}
	}
	r.waiting[c.target] = q
}

// read takes the answers of one connection, on a goroutine of its own.
func (c *conn) read() {
	r := c.r
	buf := make([]byte, 0, 4096)
	var m protocol.Message
	for {
		if len(buf) == cap(buf) {
			buf = append(make([]byte, 0, 4*cap(buf)), buf...)
		}
		n, err := c.c.Read(buf[len(buf):cap(buf)])
		at := r.now()
		buf = buf[:len(buf)+n]
		heard, whole := len(buf) > 0, false
		if err == nil {
			n, whole, err = m.Response(buf)
			buf = buf[:n]
		}
		if err != nil {
			r.post(happening{at: at, c: c, err: err, heard: heard})
			return
		}
		if !whole {
			continue
		}
		h := happening{at: at, c: c, how: workload.Failed, keep: m.KeepAlive && len(m.Rest(buf)) == 0}
		switch m.Status {
		case 200:
			h.how = workload.Served
		case 429, 503:
			h.how = workload.Rejected
			if s, err := strconv.ParseFloat(string(bytes.TrimSpace(m.Get("retry-after"))), 64); err == nil && s > 0 && s < 1e6 {
				h.retryIn = int64(s * 1e6)
			}
		}
		buf, m = buf[:0], protocol.Message{}
		r.post(h)
		if !h.keep {
			return
		}
	}
}

// broken is a connection that ended. A used one that ends before any of the answer has come may have crossed the request:
// the client then sends it once more on a new connection.
func (r *runner) broken(h happening) {
	c, t := h.c, h.c.cur
	r.drop(c)
	if t == nil || t.done {
		return
	}
	if c.used > 1 && !h.heard && !t.resent {
		t.resent, t.conn = true, nil
		r.conns++
		r.peak = max(r.peak, r.conns)
		r.dial(t)
		return
	}
	r.end(t, workload.Failed, h.at, 0)
}

// close ends all connections, and waits for their readers.
func (r *runner) close() {
	close(r.quit)
	for c := range r.open {
		c.c.Close()
	}
	r.wg.Wait()
	for {
		select {
		case h := <-r.news: // a connection that came up in the last moment
			if h.nc != nil {
				h.nc.Close()
			}
		default:
			return
		}
	}
}
