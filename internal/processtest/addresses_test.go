package processtest

import (
	"net"
	"sync"
	"testing"
	"tulipglade/internal/loopback"
)

// Guards against processes that fail to listen because their address is in use. Several harnesses choose addresses and
// open relays at the same time; each chosen address must still be free when a process listens on it.
func TestAddressesStayFreeBesideOtherHarnesses(t *testing.T) {
	const rounds, harnesses, processes, relays = 200, 4, 4, 18
	for range rounds {
		var group sync.WaitGroup
		for range harnesses {
			group.Go(func() {
				addresses, err := loopback.FreeAddresses(nextLoopbackHost(), processes)
				if err != nil {
					t.Error(err)
					return
				}
				for range relays {
					relay, err := newRelay(addresses[0], 1)
					if err != nil {
						t.Error(err)
						return
					}
					defer relay.close()
				}
				for _, address := range addresses {
					listener, err := net.Listen("tcp4", address)
					if err != nil {
						t.Errorf("cannot listen on the address chosen for a process: %v", err)
						continue
					}
					defer func() { _ = listener.Close() }()
				}
			})
		}
		group.Wait()
	}
}
