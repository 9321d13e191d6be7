package node

import (
	"context"
	"io"
	"runtime"
	"sync"
	"sync/atomic"

	"github.com/cloudwego/netpoll"
)

// pollerBacklog counts what the poller has set off and the rest of the node has not seen to: handlers at work, pieces of input on
// their way to Run's goroutine, connections about to leave.
var pollerBacklog atomic.Int64

// maxPollerYields bounds how long the poller waits for that.
const maxPollerYields = 200

// ConfigurePoller sets up the poller that nodes of this process share: one, which waits a little for what it has set off.
// It reads whatever is there: left alone, it would take in some MB of a large message before anybody could tell it that
// nobody wants more for now.
func ConfigurePoller(log io.Writer) (err error) {
	configurePollerOnce.Do(func() { err = configurePoller(log) })
	return err
}

// configurePollerOnce is once for each process: the poller is running after that.
var configurePollerOnce sync.Once

func configurePoller(log io.Writer) error {
	return netpoll.Configure(netpoll.Config{PollerNum: 1, LoggerOutput: log, Runner: func(_ context.Context, f func()) {
		pollerBacklog.Add(1)
		go func() {
			defer pollerBacklog.Add(-1)
			f()
		}()
		for i := 0; i < maxPollerYields && pollerBacklog.Load() > 0; i++ {
			runtime.Gosched()
		}
	}})
}
