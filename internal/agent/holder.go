package agent

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"tulipglade/internal/lease"
)

// Clock is a monotonic clock that goes on while the machine sleeps, as the group's does.
func Clock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // there since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}

// LeaseOptions is a lease that somebody wants to hold.
type LeaseOptions struct {
	Name     string
	Duration time.Duration // how long it is to last without being renewed
	Margin   time.Duration // of it: how long before its end it counts as in doubt
	Holder   string        // shown to operators; default: machine, process and a random number
	Clock    func() time.Duration
	// RetryInterval is how long to wait before one that is taken is asked for again; 0: not at all.
	RetryInterval time.Duration
}

// Lease is one that is held, as far as this side knows. It is renewed until it is released or lost. Its methods may be called from any
// goroutine.
type Lease struct {
	c      *Client
	w      LeaseOptions
	ticks  uint64
	doubt  chan struct{}
	stop   context.CancelFunc
	ended  chan struct{}
	mu     sync.Mutex
	guard  lease.Guard
	reason error
}

// ErrUncertain is why nothing may begin any more under a lease: it could not be renewed in time.
var (
	ErrUncertain = errors.New("the lease is in doubt")
	errReleased  = errors.New("the lease was released")
)

// HolderName is a holder's: another for each process.
func HolderName() string {
	host, err := os.Hostname()
	if err != nil {
		host = "?"
	}
	var r [4]byte
	_, _ = rand.Read(r[:]) // it does not fail
	return fmt.Sprintf("%.64s/%d/%s", host, os.Getpid(), hex.EncodeToString(r[:]))
}

// asks number the requests of this process, whoever they are for. To ask under a number of before would be answered with the grant of
// before, which ends sooner than one that is new; so a process that starts anew under the same name goes on from the clock.
var asks atomic.Uint64

func init() { asks.Store(uint64(Clock())) }

// Acquire asks for a lease, and waits for it where Again says so.
func Acquire(ctx context.Context, c *Client, w LeaseOptions) (*Lease, error) {
	if w.Clock == nil {
		w.Clock = Clock
	}
	if w.Holder == "" {
		w.Holder = HolderName()
	}
	v, err := c.ReadStatus(ctx)
	if err != nil {
		return nil, err
	}
	if v.Terms.Interval <= 0 {
		return nil, errors.New("a group without terms")
	}
	ticks := uint64(2)
	for v.Terms.GuaranteedDuration(ticks) < w.Duration {
		ticks++
	}
	l := &Lease{c: c, w: w, ticks: ticks, doubt: make(chan struct{}), ended: make(chan struct{}), guard: lease.Guard{Terms: v.Terms}}
	for {
		ask := asks.Add(1)
		asked := w.Clock() // before the first of all attempts: an earlier one may be what is answered
		g, err := c.Do(ctx, "acquire", lease.Command{Name: w.Name, Holder: w.Holder, RequestID: ask, Ticks: ticks})
		if err == nil {
			l.guard.Granted(g, ticks, asked)
			if _, ok := l.guard.BeginAction(w.Clock(), 0); ok {
				break
			}
			_, _ = c.Do(ctx, "release", lease.Command{Name: g.Name, Token: g.Token}) // it came so late that it may be over
			continue
		}
		if !errors.Is(err, lease.ErrNoFreeSlot) || w.RetryInterval == 0 {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(w.RetryInterval):
		}
	}
	keep, stop := context.WithCancel(context.WithoutCancel(ctx))
	l.stop = stop
	go l.keep(keep)
	return l, nil
}

// keep renews it, and tells when it is in doubt.
func (l *Lease) keep(ctx context.Context) {
	defer close(l.ended)
	for {
		left := l.Remaining() - l.w.Margin
		if left <= 0 {
			l.end(ErrUncertain)
			return
		}
		wait := min(left, l.w.Duration/3)
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		g, _ := l.Grant()
		try, stop := context.WithTimeout(ctx, max(l.Remaining()-l.w.Margin, time.Millisecond))
		var asked time.Duration
		a, err := l.c.ask(try, "POST", "/lease/renew", lease.Command{Name: g.Name, Token: g.Token, Ticks: l.ticks}, askWithin,
			func() { asked = l.w.Clock() })
		stop()
		switch {
		case err == nil && a.Grant != nil:
			l.mu.Lock()
			l.guard.Granted(*a.Grant, l.ticks, asked)
			l.mu.Unlock()
		case errors.Is(err, lease.ErrNotGranted), errors.Is(err, lease.ErrFewer):
			l.end(err)
			return
		}
	}
}

func (l *Lease) end(why error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reason == nil {
		l.reason = why
		close(l.doubt)
	}
}

// Uncertain is closed once nothing may begin any more; Reason then says why.
func (l *Lease) Uncertain() <-chan struct{} { return l.doubt }

// Reason is why it is in doubt; nil: it is not.
func (l *Lease) Reason() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reason
}

// BeginAction tells whether an act that takes so long at most may begin, and under which grant.
func (l *Lease) BeginAction(longest time.Duration) (lease.Grant, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reason != nil {
		return lease.Grant{}, l.reason
	}
	g, ok := l.guard.BeginAction(l.w.Clock(), longest)
	if !ok {
		return g, ErrUncertain
	}
	return g, nil
}

// Grant is what is held, as far as this side knows.
func (l *Lease) Grant() (lease.Grant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.guard.Grant()
}

// Remaining is for how long it is sure to last without being renewed.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.guard.Remaining(l.w.Clock())
}

// Note leaves a text for whoever holds it next.
func (l *Lease) Note(ctx context.Context, text string) error {
	g, _ := l.Grant()
	_, err := l.c.Do(ctx, "note", lease.Command{Name: g.Name, Token: g.Token, Text: text})
	return err
}

// Release ends it, once all that was begun under it is surely over.
func (l *Lease) Release(ctx context.Context) error {
	l.stop()
	<-l.ended
	l.end(errReleased)
	for {
		l.mu.Lock()
		free := l.guard.Expired(l.w.Clock())
		l.mu.Unlock()
		if free {
			break
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
	g, _ := l.Grant()
	_, err := l.c.Do(ctx, "release", lease.Command{Name: g.Name, Token: g.Token})
	if errors.Is(err, lease.ErrNotGranted) { // it has ended by itself, or an earlier attempt was heard
		return nil
	}
	return err
}
