package node

import (
	"context"
	"io"
	"runtime"
	"sync"
	"sync/atomic"

	"github.com/cloudwego/netpoll"
)

// pollerBacklog counts what the poller has caused and the node has not processed: running handlers, input posted to
// the event loop, connections that are being detached.
var pollerBacklog atomic.Int64

// maxPollerYields bounds how long the poller waits for that.
const maxPollerYields = 200

// ConfigurePoller sets up the one poller that all nodes of this process share. It waits a little for what it has
// caused: as it reads all there is, it would otherwise buffer some MB of a large message before the node could stop
// it.
func ConfigurePoller(log io.Writer) (err error) {
	configurePollerOnce.Do(func() { err = configurePoller(log) })
	return err
}

// configurePollerOnce guards the configuration, as the poller runs after the first one.
var configurePollerOnce sync.Once

func configurePoller(log io.Writer) error {
	return netpoll.Configure(netpoll.Config{PollerNum: 1, LoggerOutput: log, Runner: func(_ context.Context, handler func()) {
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
