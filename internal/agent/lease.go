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

// releasePollInterval is the interval at which Release checks whether all actions under the lease have ended.
const releasePollInterval = 10 * time.Millisecond

// Clock returns the time of a monotonic clock that also advances while the machine is suspended, as the group's clock
// does.
func Clock() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err) // impossible: Linux has had this clock since version 2.6.39
	}
	return time.Duration(now.Nano())
}

// LeaseOptions describe a lease to acquire.
type LeaseOptions struct {
	Name          string
	Duration      time.Duration        // guaranteed time that the lease lasts without a renewal
	Margin        time.Duration        // time before the possible expiry from which the lease is uncertain
	Holder        string               // shown to operators; default: HolderName
	Clock         func() time.Duration // default: Clock
	RetryInterval time.Duration        // time between attempts while all slots are held; 0: no retry
}

// Lease is a lease that this process holds, as far as it knows. It is renewed in the background until it is released or
// lost. It is safe for concurrent use.
type Lease struct {
	client    *Client
	options   LeaseOptions
	ticks     uint64        // duration of each grant in ticks of the group
	uncertain chan struct{} // closed when endReason is set
	stop      context.CancelFunc
	stopped   chan struct{} // closed when the goroutine that renews the lease has ended

	lastNoteNumber atomic.Uint64 // number of the last call of SetNote

	mu        sync.Mutex
	guard     lease.Guard
	endReason error // why no action may begin under the lease any more; nil while it may
}

var (
	// ErrUncertain is the end reason of a lease that could not be renewed in time, so that another process may hold it.
	ErrUncertain = errors.New("the lease is uncertain: it was not renewed in time")

	errReleased = errors.New("the lease was released")
	errNoTerms  = errors.New("the group's status has no lease terms")
)

// HolderName returns a holder name made of the host name, the process ID and a random number.
func HolderName() string {
	host, err := os.Hostname()
	if err != nil {
		host = "?"
	}
	var random [4]byte
	_, _ = rand.Read(random[:]) // never fails
	return fmt.Sprintf("%.64s/%d/%s", host, os.Getpid(), hex.EncodeToString(random[:]))
}

// lastRequestID is the ID of this process's last request for a lease. The group answers a repeated ID with the earlier
// grant, which expires sooner than a new one. IDs therefore start from the clock, so that a process that restarts under
// the same holder name does not repeat the IDs of its predecessor.
var lastRequestID atomic.Uint64

func init() { lastRequestID.Store(uint64(Clock())) }

// Acquire acquires a lease and starts to renew it. If all slots are held, it retries if RetryInterval is set.
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

// ticksFor returns the smallest number of ticks that guarantees a duration, and at least 2.
func ticksFor(terms lease.Terms, duration time.Duration) uint64 {
	ticks := uint64(2)
	for terms.GuaranteedDuration(ticks) < duration {
		ticks++
	}
	return ticks
}

// acquire requests the lease until a grant arrives before it may have expired.
func (l *Lease) acquire(ctx context.Context) error {
	for {
		requestID := lastRequestID.Add(1)
		sentAt := l.options.Clock() // before the first attempt, since any attempt may have resulted in the grant
		grant, err := l.client.SendCommand(ctx, verbAcquire, lease.Command{
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
			// The answer arrived so late that the grant may have expired.
			_, _ = l.client.SendCommand(ctx, verbRelease, lease.Command{Name: grant.Name, Token: grant.Token})
			continue
		}
		if !errors.Is(err, lease.ErrNoFreeSlot) || l.options.RetryInterval == 0 {
			return err
		}
		if sleepContext(ctx, l.options.RetryInterval) != nil {
			return err
		}
	}
}

// renewUntilDone renews the lease until ctx ends, the group rejects a renewal, or the lease becomes uncertain.
func (l *Lease) renewUntilDone(ctx context.Context) {
	defer close(l.stopped)
	for {
		certainDuration := l.Remaining() - l.options.Margin
		if certainDuration <= 0 {
			l.setEndReason(ErrUncertain)
			return
		}
		if sleepContext(ctx, min(certainDuration, l.options.Duration/3)) != nil {
			return
		}
		err := l.renew(ctx)
		if errors.Is(err, lease.ErrNotGranted) || errors.Is(err, lease.ErrSlotRemoved) {
			l.setEndReason(err)
			return
		}
	}
}

// renew renews the lease once, and retries until the lease becomes uncertain.
func (l *Lease) renew(ctx context.Context) error {
	grant, _ := l.Grant()
	ctx, stop := context.WithTimeout(ctx, max(l.Remaining()-l.options.Margin, time.Millisecond))
	defer stop()
	var sentAt time.Duration
	response, err := l.client.send(ctx, groupRequest{
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

// setEndReason sets the reason and marks the lease as uncertain, unless a reason has been set before.
func (l *Lease) setEndReason(reason error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endReason == nil {
		l.endReason = reason
		close(l.uncertain)
	}
}

// Uncertain returns a channel that is closed once no action may begin under the lease any more. EndReason then returns
// the reason.
func (l *Lease) Uncertain() <-chan struct{} { return l.uncertain }

// EndReason returns the reason why no action may begin under the lease any more, or nil if actions may begin.
func (l *Lease) EndReason() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.endReason
}

// BeginAction returns the grant under which an action of at most this duration may begin, or an error with the reason
// why it may not.
func (l *Lease) BeginAction(maxDuration time.Duration) (lease.Grant, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endReason != nil {
		return lease.Grant{}, l.endReason
	}
	grant, ok := l.guard.BeginAction(l.options.Clock(), maxDuration)
	if !ok {
		return grant, ErrUncertain
	}
	return grant, nil
}

// Grant returns the current grant as far as this process knows, and whether there is one.
func (l *Lease) Grant() (lease.Grant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.guard.Grant()
}

// Remaining returns the time for which the lease is guaranteed to last without a renewal.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.guard.Remaining(l.options.Clock())
}

// SetNote replaces the note of the lease, which the next holder can read. Of two calls, the note of the later one stays.
func (l *Lease) SetNote(ctx context.Context, text string) error {
	grant, _ := l.Grant()
	_, err := l.client.SendCommand(ctx, verbSetNote, lease.Command{
		Name:       grant.Name,
		Token:      grant.Token,
		NoteText:   text,
		NoteNumber: l.lastNoteNumber.Add(1),
	})
	return err
}

// Release stops the renewals, waits until all actions that were begun under the lease must have ended, and then
// releases the lease.
func (l *Lease) Release(ctx context.Context) error {
	l.stop()
	<-l.stopped
	l.setEndReason(errReleased)
	for !l.actionsEnded() {
		if err := sleepContext(ctx, releasePollInterval); err != nil {
			return err
		}
	}
	grant, _ := l.Grant()
	_, err := l.client.SendCommand(ctx, verbRelease, lease.Command{Name: grant.Name, Token: grant.Token})
	if errors.Is(err, lease.ErrNotGranted) { // the lease has expired, or an earlier attempt has released it
		return nil
	}
	return err
}

// actionsEnded reports whether all actions that were begun under the lease must have ended.
func (l *Lease) actionsEnded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.guard.ActionsEnded(l.options.Clock())
}
