package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// How the watch asks. A call that may wait is given up when it has not ended some slack after that wait: a discovery
// that is cut off, or has lost the call, says nothing, and its connections look alive. What such a call misses counts as
// told 6 s after it fell silent, or 2 s after its wait where that is later; by then a new call must have been answered.
// So at most 5 s go by until the silence is noticed. A change answers all nodes' calls in one moment: each draws how long
// its next one waits, or a silence that strikes all would also have all call anew together.
const (
	watchWait  = 4 * time.Second         // at most, and half of it at least
	watchSlack = time.Second             // of a call that waited: its end costs discovery no turn
	callSlack  = 3200 * time.Millisecond // of others, which it answers in turn: what has waited 2 or 3 s it refuses itself
	callTurn   = time.Second             // a call that is refused after so long has waited for its turn: there are too many
	callPause  = 100 * time.Millisecond  // least time from one call to the next; a watch lapses after 200 ms
	dialWithin = time.Second
	maxList    = 4 << 20 // bytes of an answer
)

// listener is who hears of the list of backends.
type listener interface {
	// UpdateEndpointsAsOf is an answer that held at a time.
	UpdateEndpointsAsOf(l protocol.List, asOf time.Time)
	// DiscoveryCallFailed is a call that has failed. Nothing newer could be had as of a time.
	DiscoveryCallFailed(err error, how balancer.ListKind, asOf time.Time)
	// DiscoveryAddressChanged tells that what was heard before counts for so long at most.
	DiscoveryAddressChanged(within time.Duration)
}

// movedWithin is for how long after a move of discovery what was heard before still counts (protocol, new configurations).
const movedWithin = 4 * time.Second

// answerSpare is by how much the answer to a call that waits may come later than it was to wait and still count as written on arrival. One that
// comes later was held up on its way, or this process was.
const answerSpare = 200 * time.Millisecond

// errSilent is a call that had no whole answer in time. One that discovery has no room for is refused, with 503 or a reset.
var errSilent = errors.New("no answer in time")

// errBusy is a call that waited for its turn, and was refused or reset.
var errBusy = errors.New("too many callers")

// errBadList is an answer that is no sound list, whenever it came.
var errBadList = errors.New("bad list")

// how tells the module what a failed call says of discovery.
func how(err error) balancer.ListKind {
	switch {
	case errors.Is(err, errSilent):
		return balancer.ListTimeout
	case errors.Is(err, errBusy):
		return balancer.ListOverloaded
	}
	return balancer.ListFailed
}

// errMoved ends a call to a discovery that the node has just left.
var errMoved = errors.New("discovery has moved")

// watch asks discovery for the list of backends, for changes of it, or both. Each Observe and each Fetch is
// answered by exactly one list or failure at least. Move may come at any time.
type watch struct {
	to          listener
	wait, slack time.Duration
	turn        time.Duration // a call that does not wait and fails after so long has stood in line
	over        time.Duration // slack of a call that waits
	vary        time.Duration // a call waits up to so much less than wait
	pause       time.Duration
	lost        func(error) // where lists are pushed: a watch never ends, and the first of failures in a row comes here

	mu      sync.Mutex
	addr    string
	moved   chan struct{} // closed, and replaced, as addr changes
	rev     int64
	whole   bool // the next call asks for the whole list: versions of another discovery may mean nothing here
	running bool
	on      bool
	wanted  bool      // the last that Observe was told; on ends with a failure, this does not
	began   time.Time // the last call of a watch
	unheard int       // calls in a row that were to be answered at once and were given up
}

// slowestDoublings bounds how far the time for an answer grows: discovery that takes longer than one call waits would never be heard.
const slowestDoublings = 2

func newWatch(addr string, rev int64) *watch {
	return &watch{addr: addr, rev: rev, moved: make(chan struct{}), turn: callTurn,
		wait: watchWait, slack: callSlack, over: watchSlack, vary: watchWait / 2, pause: callPause}
}

// pushed makes it the watch of an agent, which answers at no cost with what it has been sent, from now to the end of the process.
// What the agent has counts as told, so the watch does not wait for the module to ask again, and a call that the agent
// does not answer is given up well within the time in which a drain must be heeded, in microseconds.
func (w *watch) pushed(grace int64, lost func(error)) {
	w.vary, w.lost = 0, lost // the agent is on this machine, and nobody else's
	w.heed(grace)
	w.Watch(true)
}

// heed sets how long calls to an agent may take, from the next one on, where a drain must be heeded within grace, in microseconds.
func (w *watch) heed(grace int64) {
	quarter := time.Duration(grace) * time.Microsecond / 4
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wait = min(max(quarter, w.pause), watchWait)
	w.slack = min(max(quarter, w.pause), callSlack)
	w.over = w.slack
}

// Watch begins to watch, or ends that once the call at hand has come back.
func (w *watch) Watch(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wanted = on
	w.observe(on)
}

func (w *watch) observe(on bool) {
	w.on = on
	if on && !w.running {
		w.running = true
		go w.follow()
	}
}

// SetAddress turns to discovery at another address. A call at hand is given up, and a watch goes on there at once, also
// one that has failed: the module would ask again only after its pause, which grows with each failure.
func (w *watch) SetAddress(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr == w.addr {
		return
	}
	w.addr, w.whole = addr, true
	w.to.DiscoveryAddressChanged(movedWithin)
	close(w.moved)
	w.moved = make(chan struct{})
	if w.wanted {
		w.observe(true)
	}
}

// Poll asks for the whole list once.
func (w *watch) Poll() {
	go func() {
		for {
			w.mu.Lock()
			c, slack := newCall(w.addr, w.moved), w.slack
			w.mu.Unlock()
			began := time.Now()
			l, err := c.do(protocol.AppendListRequest(nil, c.addr), slack)
			c.close()
			if !errors.Is(err, errMoved) {
				w.tell(c.addr, l, began, 0, err)
				return
			}
		}
	}()
}

// follow makes one call after the other until one fails. The first asks for what has been missed and does not
// wait, so that it answers at once whether discovery is there.
func (w *watch) follow() {
	c := &call{}
	defer func() { c.close() }()
	waits, failed := false, false
	for {
		next, ok := w.nextCall(c, waits)
		if !ok {
			return
		}
		c = next.on
		time.Sleep(next.pause)
		began := time.Now()
		l, err := c.do(next.request(), next.wait+next.slack)
		if errors.Is(err, errMoved) {
			continue
		}
		w.noteAnswer(next.wait, err)
		err = w.judge(c.addr, l, err, next.wait == 0 && time.Since(began) >= w.turn)
		if w.lost != nil && err != nil {
			if !failed {
				w.lost(err)
			}
			failed, waits = true, false
			continue
		}
		if failed = false; err != nil && !w.end(c.addr) {
			continue
		}
		w.tell(c.addr, l, began, next.wait, err)
		if err != nil {
			return
		}
		waits = true
	}
}

// plannedCall is the next call of a watch.
type plannedCall struct {
	on          *call
	rev         int64
	whole       bool          // it asks for the whole list
	wait, slack time.Duration // it may wait so long for news, and then take so long for its answer
	pause       time.Duration // before it
}

func (p plannedCall) request() []byte {
	if p.whole {
		return protocol.AppendListRequest(nil, p.on.addr)
	}
	return protocol.AppendWatchRequest(nil, p.on.addr, p.rev, p.wait.Milliseconds())
}

// nextCall plans the next call, on a new connection where discovery has moved from that of the last. It may wait for news where the last was answered.
// It returns false where nobody watches any more.
func (w *watch) nextCall(last *call, waits bool) (plannedCall, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.on {
		w.running = false
		return plannedCall{}, false
	}
	next := plannedCall{on: last, rev: w.rev, whole: w.whole, slack: w.slack}
	if last.addr != w.addr {
		last.close()
		next.on, waits = newCall(w.addr, w.moved), false
	}
	if w.lost == nil {
		next.slack <<= min(w.unheard, slowestDoublings)
	}
	if waits && !w.whole {
		next.wait, next.slack = w.wait-rand.N(w.vary+1), w.over
	}
	// A discovery that answers or fails at once must not be called in a tight loop, whoever asks for that.
	next.pause = w.pause - time.Since(w.began)
	w.began = time.Now().Add(max(next.pause, 0))
	return next, true
}

// judge says what a call's answer or error means: one that stood in line and failed has met too many callers, and a list without a backend is
// not believed.
func (w *watch) judge(addr string, l protocol.List, err error, stoodInLine bool) error {
	switch {
	case err == nil && l.All && !slices.ContainsFunc(l.Targets, func(t protocol.Target) bool { return t.State != protocol.Terminated }):
		return fmt.Errorf("discovery at %s: %w", addr, errNoBackends)
	case err != nil && stoodInLine && !errors.Is(err, errSilent) && !errors.Is(err, errBadList):
		return fmt.Errorf("%w: %w", errBusy, err)
	}
	return err
}

// end ends the watch, before the module hears of the failure and may ask anew. It returns false where discovery has moved in this moment.
func (w *watch) end(addr string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr != w.addr {
		return false
	}
	w.running, w.on = false, false
	return true
}

// noteAnswer counts calls that were to be answered at once and were not at all. A watch that falls silent was lost, not slow.
func (w *watch) noteAnswer(wait time.Duration, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !errors.Is(err, errSilent):
		w.unheard = 0
	case wait == 0:
		w.unheard++
	}
}

// errNoBackends is a whole list with nothing on it. A discovery that has only just started may answer so; to
// believe it would empty the fleet.
var errNoBackends = errors.New("no backends on a whole list")

// tell passes on what a call to discovery at addr has brought, which began at a time and was to wait for so long.
func (w *watch) tell(addr string, l protocol.List, began time.Time, wait time.Duration, err error) {
	if err != nil {
		asOf := time.Now() // it was refused in this moment
		if errors.Is(err, errSilent) {
			asOf = began
		}
		w.to.DiscoveryCallFailed(err, how(err), asOf)
		return
	}
	var asOf time.Time // an answer of the address left behind says nothing of the list at the new one
	w.mu.Lock()
	if addr == w.addr { // news from the address left behind is news, but its versions do not count here
		w.rev = l.Rev
		w.whole = w.whole && !l.All
		asOf = earlier(time.Now(), began.Add(wait+answerSpare))
	}
	w.mu.Unlock()
	w.to.UpdateEndpointsAsOf(l, asOf)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// call is a connection to discovery, kept from one call to the next. One goroutine uses it; others end its call
// by closing moved.
type call struct {
	addr  string
	moved <-chan struct{}
	conn  netpoll.Connection
	in    chan []byte   // what comes in, piece by piece
	gone  chan struct{} // closed when the connection has ended and all that came in has been taken
	done  chan struct{} // closed by close
}

func newCall(addr string, moved <-chan struct{}) *call { return &call{addr: addr, moved: moved} }

func (c *call) close() {
	if c.conn != nil {
		close(c.done)
		_ = c.conn.Close()
		c.conn = nil
	}
}

// do makes one call and reads its answer within a time limit of its own.
func (c *call) do(request []byte, within time.Duration) (l protocol.List, err error) {
	defer func() {
		if err != nil {
			c.close()
			err = fmt.Errorf("discovery at %s: %w", c.addr, err)
		}
	}()
	end := time.NewTimer(within)
	defer end.Stop()
	if c.conn != nil && !c.conn.IsActive() { // closed between two calls
		c.close()
	}
	if c.conn == nil {
		if err = c.dial(min(within, dialWithin)); err != nil {
			return l, err
		}
	}
	_ = c.conn.SetWriteTimeout(within)
	if _, err = c.conn.Writer().WriteBinary(request); err != nil {
		return l, err
	}
	if err = c.conn.Writer().Flush(); err != nil {
		return l, err
	}
	body, keep, err := c.answer(end.C)
	if err != nil {
		return l, err
	}
	if !keep {
		c.close()
	}
	if l, err = protocol.ParseList(body); err != nil {
		err = fmt.Errorf("%w: %w", errBadList, err)
	}
	return l, err
}

// dial opens the connection. One that comes up after discovery has moved is closed.
func (c *call) dial(within time.Duration) error {
	type dialled struct {
		conn netpoll.Connection
		err  error
	}
	up, began := make(chan dialled), time.Now()
	go func() {
		conn, err := netpoll.DialConnection("tcp", c.addr, within)
		select {
		case up <- dialled{conn, err}:
		case <-c.moved:
			if err == nil {
				_ = conn.Close()
			}
		}
	}()
	select {
	case <-c.moved:
		return errMoved
	case d := <-up:
		if d.err != nil && time.Since(began) >= within { // netpoll's own error for that has no type
			return fmt.Errorf("%w: %w", errSilent, d.err)
		}
		if d.err != nil {
			return d.err
		}
		in, gone, done := make(chan []byte), make(chan struct{}), make(chan struct{})
		c.conn, c.in, c.gone, c.done = d.conn, in, gone, done
		// The poller ends a connection only when this handler is not at work, so nothing is lost at its end.
		_ = c.conn.AddCloseCallback(func(netpoll.Connection) error { close(gone); return nil })
		return c.conn.SetOnRequest(func(_ context.Context, conn netpoll.Connection) error {
			r := conn.Reader()
			p, err := r.ReadBinary(r.Len())
			if err != nil {
				return err
			}
			_ = r.Release()
			select {
			case in <- p:
			case <-done:
			}
			return nil
		})
	}
}

// answer reads a response of status 200 whole.
func (c *call) answer(end <-chan time.Time) (body []byte, keep bool, err error) {
	m := protocol.Message{MaxBody: maxList}
	var buf []byte
	for {
		select {
		case <-c.moved:
			return nil, false, errMoved
		case <-end:
			return nil, false, errSilent
		case <-c.gone:
			return nil, false, errors.New("connection ended within an answer")
		case p := <-c.in:
			buf = append(buf, p...)
		}
		n, whole, err := m.Response(buf)
		if err != nil {
			return nil, false, err
		}
		if buf = buf[:n]; whole {
			if m.Status != 200 {
				return nil, false, fmt.Errorf("status %d", m.Status)
			}
			return m.Body(buf), m.KeepAlive, nil
		}
	}
}
