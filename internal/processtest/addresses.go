package processtest

import (
	"fmt"
	"net"
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

// freeAddresses returns addresses of a host at which nobody listens.
func freeAddresses(host string, count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
		if err != nil {
			return nil, fmt.Errorf("choose a free address: %w", err)
		}
		defer func() { _ = listener.Close() }() // only after all are chosen, so that they differ
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
