package fake

import "testing"

func TestStartAndListenRejectAddressesOffLoopback(t *testing.T) {
	config := parseSmallScenario(t)
	for _, addr := range []string{"10.1.2.3:80", "0.0.0.0:80", "[::]:80", "node:80", "8.8.8.8:53"} {
		if _, err := Start(t.Context(), config, Options{Nodes: []string{addr, addr}}); err == nil {
			t.Errorf("Start accepts a node at %s", addr)
		}
		if listener, err := Listen(addr); err == nil {
			closeQuietly(listener)
			t.Errorf("Listen accepts %s", addr)
		}
	}
}
