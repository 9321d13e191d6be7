package processtest

import (
	"fmt"
	"os"
	"sync/atomic"
)

// harnessCount numbers the harnesses of this process.
var harnessCount atomic.Uint32

// nextLoopbackHost returns a loopback address for the processes of one harness. The harness chooses their ports before they listen, and
// a killed process leaves its port free until it is started again. On an address that is shared with relays and outgoing connections
// somebody else could be given such a port meanwhile; the process would then fail to listen.
func nextLoopbackHost() string {
	const firstBlock, blocks, hosts = 192, 60, 250
	block := firstBlock + harnessCount.Add(1)%blocks
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", block, 1+pid%hosts, 1+pid/hosts%hosts)
}
