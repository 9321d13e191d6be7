package node

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"tulipglade/internal/protocol"
)

// smallNodeMemory is the memory limit of the node in these tests: far less than what their clients send.
const smallNodeMemory = 16 << 20

// limitMemory gives a node the limit smallNodeMemory.
func limitMemory(s *Settings) { s.MemoryLimit = smallNodeMemory }

// Clients that stop within a request give way when memory is tight, and each has its error or close within 3 s. Guards
// against a failure in which each of them occupied a whole buffer until its time was over, and the node was killed for
// its memory together with the requests that it had taken.
func TestClientsThatStopWithinRequestGiveWay(t *testing.T) {
	const count = 400
	backend := newTestBackend(t, serve)
	n, addr := startNode(t, backend.targets(), limitMemory)
	body := randomBody(1, protocol.MaxBody) // shared, so that the clients themselves occupy little memory
	held := trackHeapGrowth()
	var stopping sync.WaitGroup
	for range count {
		client := dialNode(t, addr)
		stopping.Go(func() {
			_ = client.SetReadDeadline(time.Now().Add(3 * time.Second))
			_, _ = io.WriteString(client, postRequest("Content-Length: "+strconv.Itoa(len(body))))
			_, _ = client.Write(body[1:])
			if answer, err := http.ReadResponse(client.reader, nil); err == nil {
				_ = answer.Body.Close()
				if answer.StatusCode < 400 {
					t.Errorf("status %d to an incomplete request", answer.StatusCode)
				}
			} else if isTimeout(err) {
				t.Error("neither an answer nor a close within 3 s")
			}
		})
	}
	usual := dialNode(t, addr)
	for range 100 {
		if code, _, _ := usual.exchange(requestText("once", 9000)); code != http.StatusOK {
			t.Errorf("status %d to a usual client", code)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if grown := held(); grown > smallNodeMemory {
		t.Errorf("%d KB held while %d clients stop within a request", grown>>10, count)
	}
	stopping.Wait()
	awaitEmptyAccount(t, n)
}

// A client that goes on sending within its request is served more slowly when memory is tight, and is not rejected. The
// test does not judge clients that were late themselves, as on a busy machine: they may count as stopped.
func TestSlowRequestsBeyondMemoryAreServed(t *testing.T) {
	const count, pieces, size = 250, 6, 60_000
	backend := newTestBackend(t, echo)
	n, addr := startNode(t, backend.targets(), limitMemory)
	body := randomBody(1, size)
	held := trackHeapGrowth()
	var clients sync.WaitGroup
	for range count {
		client := dialNode(t, addr)
		clients.Go(func() {
			_, _ = io.WriteString(client, postRequest("Content-Length: "+strconv.Itoa(size)))
			maxGap := time.Duration(0)
			for i := range pieces {
				writtenAt := time.Now()
				time.Sleep(80 * time.Millisecond) // 80 kB a second are more than a body needs
				maxGap = max(maxGap, time.Since(writtenAt))
				_, _ = client.Write(body[i*size/pieces : (i+1)*size/pieces])
			}
			if code, got, _ := client.readAnswer(); (code != http.StatusOK || got != string(body)) && maxGap < minStallTime*time.Microsecond/2 {
				t.Errorf("status %d, %d bytes of %d: %.80s", code, len(got), size, got)
			}
		})
	}
	time.Sleep(400 * time.Millisecond)
	if grown := held(); grown > smallNodeMemory {
		t.Errorf("%d KB held for %d slow requests", grown>>10, count)
	}
	clients.Wait()
	awaitEmptyAccount(t, n)
}

// awaitEmptyAccount waits until nothing but open connections is charged to the memory account of a node.
func awaitEmptyAccount(t *testing.T, n *Node) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	waitUntil(n, func() bool {
		used := n.memory.used.Load() - int64(n.openDescriptors*connectionMemory)
		if time.Now().After(deadline) {
			t.Errorf("%d bytes are still charged, %d unprocessed", used, n.memory.unprocessed.Load())
			return true
		}
		return used == 0 && n.memory.unprocessed.Load() == 0
	})
}

// isTimeout reports whether an error is that of a connection's deadline.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
