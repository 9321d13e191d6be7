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

// Wanted is a lease that somebody wants to hold.
type Wanted struct {
	Name   string
	For    time.Duration // how long it is to last without being renewed
	Margin time.Duration // of it: how long before its end it counts as in doubt
	Who    string        // shown to operators; default: machine, process and a random number
	Clock  func() time.Duration
	// Again is how long to wait before one that is taken is asked for again; 0: not at all.
	Again time.Duration
}

// Lease is one that is held, as far as this side knows. It is renewed until it is released or lost. Its methods may be called from any
// goroutine.
type Lease struct {
	c      *Client
	w      Wanted
	ticks  uint64
	doubt  chan struct{}
	stop   context.CancelFunc
	ended  chan struct{}
	mu     sync.Mutex
	guard  lease.Guard
	reason error
}

// ErrDoubt is why nothing may begin any more under a lease: it could not be renewed in time.
var (
	ErrDoubt    = errors.New("the lease is in doubt")
	errReleased = errors.New("the lease was released")
)

// Name is a holder's: another for each process.
func Name() string {
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

// Hold asks for a lease, and waits for it where Again says so.
func Hold(ctx context.Context, c *Client, w Wanted) (*Lease, error) {
	if w.Clock == nil {
		w.Clock = Clock
	}
	if w.Who == "" {
		w.Who = Name()
	}
	v, err := c.Look(ctx)
	if err != nil {
		return nil, err
	}
	if v.Terms.Interval <= 0 {
		return nil, errors.New("a group without terms")
	}
	ticks := uint64(2)
	for v.Terms.Sure(ticks) < w.For {
		ticks++
	}
	l := &Lease{c: c, w: w, ticks: ticks, doubt: make(chan struct{}), ended: make(chan struct{}), guard: lease.Guard{Terms: v.Terms}}
	for {
		ask := asks.Add(1)
		asked := w.Clock() // before the first of all attempts: an earlier one may be what is answered
		g, err := c.Do(ctx, "acquire", lease.Command{Name: w.Name, Who: w.Who, Ask: ask, Ticks: ticks})
		if err == nil {
			l.guard.Granted(g, ticks, asked)
			if _, ok := l.guard.Begin(w.Clock(), 0); ok {
				break
			}
			_, _ = c.Do(ctx, "release", lease.Command{Name: g.Name, Token: g.Token}) // it came so late that it may be over
			continue
		}
		if !errors.Is(err, lease.ErrTaken) || w.Again == 0 {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(w.Again):
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
		left := l.Left() - l.w.Margin
		if left <= 0 {
			l.end(ErrDoubt)
			return
		}
		wait := min(left, l.w.For/3)
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		g, _ := l.Grant()
		try, stop := context.WithTimeout(ctx, max(l.Left()-l.w.Margin, time.Millisecond))
		var asked time.Duration
		a, err := l.c.ask(try, "POST", "/lease/renew", lease.Command{Name: g.Name, Token: g.Token, Ticks: l.ticks}, askWithin,
			func() { asked = l.w.Clock() })
		stop()
		switch {
		case err == nil && a.Grant != nil:
			l.mu.Lock()
			l.guard.Granted(*a.Grant, l.ticks, asked)
			l.mu.Unlock()
		case errors.Is(err, lease.ErrNotHeld), errors.Is(err, lease.ErrFewer):
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

// Doubt is closed once nothing may begin any more; Reason then says why.
func (l *Lease) Doubt() <-chan struct{} { return l.doubt }

// Reason is why it is in doubt; nil: it is not.
func (l *Lease) Reason() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reason
}

// Begin tells whether an act that takes so long at most may begin, and under which grant.
func (l *Lease) Begin(longest time.Duration) (lease.Grant, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reason != nil {
		return lease.Grant{}, l.reason
	}
	g, ok := l.guard.Begin(l.w.Clock(), longest)
	if !ok {
		return g, ErrDoubt
	}
	return g, nil
}

// Grant is what is held, as far as this side knows.
func (l *Lease) Grant() (lease.Grant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.guard.Grant()
}

// Left is for how long it is sure to last without being renewed.
func (l *Lease) Left() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.guard.Left(l.w.Clock())
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
		free := l.guard.Free(l.w.Clock())
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
	if errors.Is(err, lease.ErrNotHeld) { // it has ended by itself, or an earlier attempt was heard
		return nil
	}
	return err
}
