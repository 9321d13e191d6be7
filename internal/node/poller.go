package node

import (
	"context"
	"io"
	"runtime"
	"sync"
	"sync/atomic"

	"github.com/cloudwego/netpoll"
)

// pollerBacklog counts the work that the poller has started and the node has not finished: running handlers, input
// that is posted to the event loop, and connections that are being detached.
var pollerBacklog atomic.Int64

// idleReadBufferSize is the size of the buffer that netpoll keeps for each connection, in bytes. It is the smallest that
// netpoll takes.
const idleReadBufferSize = 4 << 10

// maxPollerYields bounds how many times the poller yields to the scheduler while there is a backlog.
const maxPollerYields = 200

// ConfigurePoller configures the single poller that all nodes of this process share. After each handler that it starts,
// the poller waits a little for its backlog to be processed: since it reads all input that is available, it would
// otherwise buffer several MB of a large message before the node could stop it. Calls after the first have no effect.
func ConfigurePoller(log io.Writer) (err error) {
	configurePollerOnce.Do(func() { err = configurePoller(log) })
	return err
}

// configurePollerOnce ensures that the poller is configured once, since it is running afterwards.
var configurePollerOnce sync.Once

func configurePoller(log io.Writer) error {
	return netpoll.Configure(netpoll.Config{PollerNum: 1, BufferSize: idleReadBufferSize, LoggerOutput: log, Runner: func(_ context.Context, handler func()) {
		pollerBacklog.Add(1)
		go func() {
			defer pollerBacklog.Add(-1)
			handler()
		}()
		for i := 0; i < maxPollerYields && pollerBacklog.Load() > 0; i++ {
			runtime.Gosched()
		}
	}})
}
