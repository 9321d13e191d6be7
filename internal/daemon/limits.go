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
	// maxDescriptors caps the limit of file descriptors that the operating system reports, which may be unlimited.
	maxDescriptors = 1 << 20
	// bytesPerMB converts limits.memory_mb to bytes.
	bytesPerMB = 1 << 20
)

// applyProcessLimits keeps the process within its configured limits: it sets GOMAXPROCS to the number of cores, sets
// the garbage collector's memory limit, and sets up the one poller. It returns the limit of file descriptors, which is
// the lower one of the configured limit and that of the operating system.
func applyProcessLimits(config *Config, log *slog.Logger) (descriptors int, err error) {
	if config.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(config.Cores))))
	}
	setMemoryLimit(config.MemoryMB, 1)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, fmt.Errorf("file descriptor limit: %w", err)
	}
	descriptors = int(min(limit.Cur, maxDescriptors))
	if config.Node.MaxDescriptors > 0 {
		descriptors = min(descriptors, config.Node.MaxDescriptors)
	}
	pollerLog := slog.NewLogLogger(log.Handler(), slog.LevelWarn).Writer()
	return descriptors, node.ConfigurePoller(pollerLog)
}

// setMemoryLimit sets the garbage collector's memory limit to three quarters of this process's share of the memory, so
// that it collects more often before the memory is used up. The memory is divided evenly among the given number of
// processes.
func setMemoryLimit(memoryMB, processes int) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB) * bytesPerMB * 3 / 4 / int64(processes))
	}
}

// processGroup counts the processes that serve as one node during a hot restart, and divides the node's limits among
// them.
type processGroup struct {
	node     *node.Node
	memoryMB int

	mutex          sync.Mutex
	otherProcesses int // processes other than this one
}

// addProcess adds one process besides this one.
func (g *processGroup) addProcess() { g.adjustCount(1) }

// removeProcess removes one process besides this one.
func (g *processGroup) removeProcess() { g.adjustCount(-1) }

func (g *processGroup) adjustCount(delta int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.otherProcesses += delta
	g.node.SetProcessCount(g.otherProcesses + 1)
	setMemoryLimit(g.memoryMB, g.otherProcesses+1)
}
