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

// pollerBarrier waits until the poller has processed all events that it has taken from the kernel: a byte written to
// a pipe that it polls comes behind them.
type pollerBarrier struct {
	mu      sync.Mutex
	pipe    *os.File
	waiters []chan struct{}
}

// sharedPollerBarrier is the only one: netpoll has one set of pollers in a process, which a node limits to one.
var sharedPollerBarrier pollerBarrier

// barrierTimeout bounds the wait: a poller that takes longer hangs.
const barrierTimeout = 2 * time.Second

// wait returns once the poller has processed the events that it has taken from the kernel.
func (b *pollerBarrier) wait() error {
	passed := make(chan struct{})
	b.mu.Lock()
	if b.pipe == nil {
		if err := b.open(); err != nil {
			b.mu.Unlock()
			return err
		}
	}
	b.waiters = append(b.waiters, passed)
	_, err := b.pipe.Write([]byte{0})
	b.mu.Unlock()
	if err != nil {
		return err
	}
	timeout := time.NewTimer(barrierTimeout)
	defer timeout.Stop()
	select {
	case <-passed:
		return nil
	case <-timeout.C:
		return errors.New("the poller does not answer")
	}
}

// open creates the pipe when it is first needed.
func (b *pollerBarrier) open() error {
	var fds [2]int
	if err := unix.Pipe2(fds[:], unix.O_CLOEXEC|unix.O_NONBLOCK); err != nil {
		return fmt.Errorf("pipe: %w", err)
	}
	conn, err := netpoll.NewFDConnection(fds[0])
	if err != nil {
		_, _ = unix.Close(fds[0]), unix.Close(fds[1])
		return err
	}
	b.pipe = os.NewFile(uintptr(fds[1]), "poller")
	return conn.SetOnRequest(b.onBytes)
}

// onBytes releases as many waiters as bytes have come through.
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
