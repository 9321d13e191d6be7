package node

import (
	"os"
	"testing"
)

// TestFailedBarrierLeavesNoWaiter guards against a waiter that stays queued after its byte could not be written: the
// byte of a later caller would release it in place of that caller.
func TestFailedBarrierLeavesNoWaiter(t *testing.T) {
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	_, _ = read.Close(), write.Close()
	barrier := pollerBarrier{pipe: write}
	if err := barrier.wait(); err == nil {
		t.Error("a wait without a pipe succeeded")
	}
	if len(barrier.waiters) > 0 {
		t.Errorf("%d waiters are left", len(barrier.waiters))
	}
}
