package daemon

import (
	"fmt"
	"log/slog"
	"math"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"

	"tulipglade/internal/node"
)

const (
	// maxDescriptors caps the system's limit, which may be unlimited.
	maxDescriptors = 1 << 20
	// bytesPerMB converts limits.memory_mb.
	bytesPerMB = 1 << 20
)

// applyProcessLimits keeps the process within its configured limits: one thread of Go code per core and one poller, and a
// garbage collector that works harder before memory runs out. It returns the limit of descriptors: the system's own
// where that is lower.
func applyProcessLimits(config *Config, log *slog.Logger) (descriptors int, err error) {
	if config.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(config.Cores))))
	}
	setMemoryLimit(config.MemoryMB, 1)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, fmt.Errorf("limit of descriptors: %w", err)
	}
	descriptors = int(min(limit.Cur, maxDescriptors))
	if config.Node.MaxDescriptors > 0 {
		descriptors = min(descriptors, config.Node.MaxDescriptors)
	}
	pollerLog := slog.NewLogLogger(log.Handler(), slog.LevelWarn).Writer()
	return descriptors, node.ConfigurePoller(pollerLog)
}

// setMemoryLimit has the garbage collector work harder from three quarters of this process's part of the memory on: so
// many processes share it.
func setMemoryLimit(memoryMB, processes int) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB) * bytesPerMB * 3 / 4 / int64(processes))
	}
}

// processGroup counts the processes that serve as this node during a hot restart, and divides the limits among them.
type processGroup struct {
	node     *node.Node
	memoryMB int

	mutex          sync.Mutex
	otherProcesses int
}

// addProcess counts one more process beside this one.
func (g *processGroup) addProcess() { g.adjustCount(1) }

// removeProcess counts one process less.
func (g *processGroup) removeProcess() { g.adjustCount(-1) }

func (g *processGroup) adjustCount(delta int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.otherProcesses += delta
	g.node.SetProcessCount(g.otherProcesses + 1)
	setMemoryLimit(g.memoryMB, g.otherProcesses+1)
}
