package processtest

import (
	"fmt"
	"os"
	"sync/atomic"
)

// harnessCount counts the harnesses that this process has started, so that each gets an address of its own.
var harnessCount atomic.Uint32

// nextLoopbackHost returns a loopback address for the processes of one harness. The harness chooses the ports of its
// processes before they listen, and the port of a killed process is free until the process is started again. On an
// address that relays and outgoing connections use as well, the kernel could assign such a port to one of them in the
// meantime, and the process would then fail to listen.
func nextLoopbackHost() string {
	const firstBlock, blocks, hosts = 192, 60, 250
	block := firstBlock + harnessCount.Add(1)%blocks
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", block, 1+pid%hosts, 1+pid/hosts%hosts)
}
