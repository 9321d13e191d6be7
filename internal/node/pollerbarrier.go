package node

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// pollerBarrier waits until the poller has processed all events that it has already received from the kernel. To do so
// it writes a byte to a pipe that the poller polls too: the event for that byte comes after those events.
type pollerBarrier struct {
	mu      sync.Mutex
	pipe    *os.File
	waiters []chan struct{} // one for each byte that the poller has not passed on, in the order of the bytes
}

// sharedPollerBarrier is the only barrier of the process: netpoll has one set of pollers in a process, and
// ConfigurePoller limits it to one poller.
var sharedPollerBarrier pollerBarrier

// barrierTimeout bounds the wait. A poller that takes longer is assumed to hang.
const barrierTimeout = 2 * time.Second

// wait returns once the poller has processed all events that it had received from the kernel before the call, or fails
// after barrierTimeout.
func (b *pollerBarrier) wait() error {
	passed := make(chan struct{})
	b.mu.Lock()
	if b.pipe == nil {
		if err := b.open(); err != nil {
			b.mu.Unlock()
			return err
		}
	}
	_, err := b.pipe.Write([]byte{0})
	if err == nil { // onBytes, which takes the waiter for the byte, waits for the lock
		b.waiters = append(b.waiters, passed)
	}
	b.mu.Unlock()
	if err != nil {
		return fmt.Errorf("write to the poller's pipe: %w", err)
	}
	timeout := time.NewTimer(barrierTimeout)
	defer timeout.Stop()
	select {
	case <-passed:
		return nil
	case <-timeout.C:
		return errors.New("the poller did not process its pending events in time")
	}
}

// open creates the pipe and adds its read end to the poller.
func (b *pollerBarrier) open() error {
	var fds [2]int
	if err := unix.Pipe2(fds[:], unix.O_CLOEXEC|unix.O_NONBLOCK); err != nil {
		return fmt.Errorf("create pipe to the poller: %w", err)
	}
	conn, err := netpoll.NewFDConnection(fds[0])
	if err != nil {
		_ = unix.Close(fds[1]) // netpoll has closed the other one
		return err
	}
	b.pipe = os.NewFile(uintptr(fds[1]), "poller")
	return conn.SetOnRequest(b.onBytes)
}

// onBytes runs when the poller has read from the pipe. It releases one waiter for each byte, the oldest first.
func (b *pollerBarrier) onBytes(_ context.Context, conn netpoll.Connection) error {
	received := conn.Reader().Len()
	if err := conn.Reader().Skip(received); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, passed := range b.waiters[:received] {
		close(passed)
	}
	b.waiters = b.waiters[received:]
	return conn.Reader().Release()
}
