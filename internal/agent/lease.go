package agent

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"tulipglade/internal/lease"
)

// releasePollInterval is how often Release checks whether all actions under the lease are over.
const releasePollInterval = 10 * time.Millisecond

// Clock is a monotonic clock that goes on while the machine is suspended, as the group's does.
func Clock() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err) // the clock exists since Linux 2.6.39
	}
	return time.Duration(now.Nano())
}

// LeaseOptions describe a lease to acquire.
type LeaseOptions struct {
	Name          string
	Duration      time.Duration        // for how long the lease lasts without a renewal
	Margin        time.Duration        // the lease counts as uncertain this long before it may expire
	Holder        string               // shown to operators; default: HolderName
	Clock         func() time.Duration // default: Clock
	RetryInterval time.Duration        // between attempts while all slots are held; 0: no retry
}

// Lease is a lease that this process holds, as far as it knows. It is renewed until it is released or lost. It is safe for concurrent use.
type Lease struct {
	client    *Client
	options   LeaseOptions
	ticks     uint64        // of each grant
	uncertain chan struct{} // closed when reason is set
	stop      context.CancelFunc
	stopped   chan struct{} // closed when renewals have ended

	mu     sync.Mutex
	guard  lease.Guard
	reason error // why nothing may begin under the lease any more
}

var (
	// ErrUncertain is the reason of a lease that could not be renewed in time.
	ErrUncertain = errors.New("the lease is in doubt")

	errReleased = errors.New("the lease was released")
	errNoTerms  = errors.New("a group without terms")
)

// HolderName returns a name of the machine, the process and a random number.
func HolderName() string {
	host, err := os.Hostname()
	if err != nil {
		host = "?"
	}
	var random [4]byte
	_, _ = rand.Read(random[:]) // never fails
	return fmt.Sprintf("%.64s/%d/%s", host, os.Getpid(), hex.EncodeToString(random[:]))
}

// lastRequestID numbers the acquisitions of this process. A repeated ID would be answered with the earlier grant, which expires sooner than
// a new one. So IDs start from the clock: a process that restarts under the same holder name does not repeat those of the one before.
var lastRequestID atomic.Uint64

func init() { lastRequestID.Store(uint64(Clock())) }

// Acquire acquires a lease, and retries while all slots are held if the options say so.
func Acquire(ctx context.Context, client *Client, options LeaseOptions) (*Lease, error) {
	if options.Clock == nil {
		options.Clock = Clock
	}
	if options.Holder == "" {
		options.Holder = HolderName()
	}
	status, err := client.ReadStatus(ctx)
	if err != nil {
		return nil, err
	}
	if status.Terms.Interval <= 0 {
		return nil, errNoTerms
	}
	l := &Lease{
		client:    client,
		options:   options,
		ticks:     ticksFor(status.Terms, options.Duration),
		uncertain: make(chan struct{}),
		stopped:   make(chan struct{}),
		guard:     lease.Guard{Terms: status.Terms},
	}
	if err := l.acquire(ctx); err != nil {
		return nil, err
	}
	renewals, stop := context.WithCancel(context.WithoutCancel(ctx))
	l.stop = stop
	go l.renewUntilDone(renewals)
	return l, nil
}

// ticksFor returns the fewest ticks, and at least 2, that guarantee a duration.
func ticksFor(terms lease.Terms, duration time.Duration) uint64 {
	ticks := uint64(2)
	for terms.GuaranteedDuration(ticks) < duration {
		ticks++
	}
	return ticks
}

// acquire requests the lease until it is granted in time.
func (l *Lease) acquire(ctx context.Context) error {
	for {
		requestID := lastRequestID.Add(1)
		sentAt := l.options.Clock() // of the first attempt: the grant may be the result of any of them
		grant, err := l.client.Do(ctx, verbAcquire, lease.Command{
			Name:      l.options.Name,
			Holder:    l.options.Holder,
			RequestID: requestID,
			Ticks:     l.ticks,
		})
		if err == nil {
			l.guard.RecordGrant(grant, l.ticks, sentAt)
			if _, ok := l.guard.BeginAction(l.options.Clock(), 0); ok {
				return nil
			}
			// The answer came so late that the grant may have expired.
			_, _ = l.client.Do(ctx, verbRelease, lease.Command{Name: grant.Name, Token: grant.Token})
			continue
		}
		if !errors.Is(err, lease.ErrNoFreeSlot) || l.options.RetryInterval == 0 {
			return err
		}
		if sleep(ctx, l.options.RetryInterval) != nil {
			return err
		}
	}
}

// renewUntilDone renews the lease until ctx ends, the group rejects a renewal, or the lease has become uncertain.
func (l *Lease) renewUntilDone(ctx context.Context) {
	defer close(l.stopped)
	for {
		certain := l.Remaining() - l.options.Margin
		if certain <= 0 {
			l.end(ErrUncertain)
			return
		}
		if sleep(ctx, min(certain, l.options.Duration/3)) != nil {
			return
		}
		err := l.renew(ctx)
		if errors.Is(err, lease.ErrNotGranted) || errors.Is(err, lease.ErrSlotRemoved) {
			l.end(err)
			return
		}
	}
}

// renew renews the lease once, with retries for as long as it is certain.
func (l *Lease) renew(ctx context.Context) error {
	grant, _ := l.Grant()
	ctx, stop := context.WithTimeout(ctx, max(l.Remaining()-l.options.Margin, time.Millisecond))
	defer stop()
	var sentAt time.Duration
	response, err := l.client.send(ctx, call{
		method:  http.MethodPost,
		path:    pathLease + verbRenew,
		body:    lease.Command{Name: grant.Name, Token: grant.Token, Ticks: l.ticks},
		timeout: attemptTimeout,
		onSend:  func() { sentAt = l.options.Clock() },
	})
	if err == nil && response.Grant != nil {
		l.mu.Lock()
		l.guard.RecordGrant(*response.Grant, l.ticks, sentAt)
		l.mu.Unlock()
	}
	return err
}

// end sets the reason, unless there is one.
func (l *Lease) end(reason error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reason == nil {
		l.reason = reason
		close(l.uncertain)
	}
}

// Uncertain returns a channel that is closed once nothing may begin under the lease any more. Reason then says why.
func (l *Lease) Uncertain() <-chan struct{} { return l.uncertain }

// Reason returns why nothing may begin under the lease any more, or nil.
func (l *Lease) Reason() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reason
}

// BeginAction returns the grant under which an action may begin that takes at most this long, or why none may.
func (l *Lease) BeginAction(longest time.Duration) (lease.Grant, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reason != nil {
		return lease.Grant{}, l.reason
	}
	grant, ok := l.guard.BeginAction(l.options.Clock(), longest)
	if !ok {
		return grant, ErrUncertain
	}
	return grant, nil
}

// Grant returns the current grant, as far as this process knows.
func (l *Lease) Grant() (lease.Grant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.guard.Grant()
}

// Remaining returns for how long the lease is guaranteed to last without a renewal.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.guard.Remaining(l.options.Clock())
}

// SetNote replaces the note for the next holder.
func (l *Lease) SetNote(ctx context.Context, text string) error {
	grant, _ := l.Grant()
	_, err := l.client.Do(ctx, verbSetNote, lease.Command{Name: grant.Name, Token: grant.Token, NoteText: text})
	return err
}

// Release ends the lease, once all actions that were begun under it must be over.
func (l *Lease) Release(ctx context.Context) error {
	l.stop()
	<-l.stopped
	l.end(errReleased)
	for !l.actionsOver() {
		if err := sleep(ctx, releasePollInterval); err != nil {
			return err
		}
	}
	grant, _ := l.Grant()
	_, err := l.client.Do(ctx, verbRelease, lease.Command{Name: grant.Name, Token: grant.Token})
	if errors.Is(err, lease.ErrNotGranted) { // it has expired, or an earlier attempt has released it
		return nil
	}
	return err
}

// actionsOver reports whether all actions that were begun must be over.
func (l *Lease) actionsOver() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.guard.ActionsEnded(l.options.Clock())
}
