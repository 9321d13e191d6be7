package node

import (
	"io"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tulipglade/internal/protocol"
)

// largeMessageSize and largeUploadCount are far more than a node may hold.
const (
	largeMessageSize   = 8 << 20
	largeUploadCount   = 24
	largeDownloadCount = 4 // few enough to be in flight at one backend together
	// maxHeldPerMessage is what the node may hold of each: the pieces that are posted, one buffer that the poller reads,
	// and as much again, as the poller allocates powers of two.
	maxHeldPerMessage = 2 * (maxPostedPieces + 1) * protocol.BufferSize
	// maxHeldPerUpload is what its request takes: the buffers of its first part, of its head and of its forwarder.
	maxHeldPerUpload = 3 * protocol.BufferSize
)

// A node that is busy for a moment must not be killed for its memory. It was: the poller read large messages on for
// as long as the event loop had not told it to stop, and waited for that by 200 yields of its thread only. With each
// report to the event loop 0 to 5 ms late, as on a busy machine, TestMemoryIsBoundedByBuffers held 104 to 169 MB of
// 48 messages where 0.4 to 10 MB is usual, and deployments limit a node to 64 to 192 MB. Here the event loop stands
// still while clients send large requests.
func TestUploadsAreNotReadAheadOfEventLoop(t *testing.T) {
	backend := newTestBackend(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	n, addr := startNode(t, []protocol.Target{targetOf("a", backend)}, nil)
	clients := make([]*testClient, largeUploadCount)
	for i := range clients {
		clients[i] = dialNode(t, addr)
		clients[i].exchange(readyRequest)
	}
	held := trackHeapGrowth()
	resume := suspendEventLoop(t, n)
	var sent atomic.Int64
	var clientsDone sync.WaitGroup
	for _, client := range clients {
		clientsDone.Go(func() {
			_, _ = io.WriteString(client, postRequest("Content-Length: "+strconv.Itoa(largeMessageSize)))
			if err := writeCounted(client, &sent); err != nil {
				t.Error(err)
			}
			if code, _, _ := client.readAnswer(); code != http.StatusOK {
				t.Error(code)
			}
		})
	}
	waitUntilWritesStall(&sent)
	if grown := held(); grown > largeUploadCount*maxHeldPerMessage {
		t.Errorf("%d MB held for %d requests of %d MB", grown>>20, largeUploadCount, largeMessageSize>>20)
	}
	resume()
	clientsDone.Wait()
}

// The same with large answers: the event loop stands still while backends send them.
func TestDownloadsAreNotReadAheadOfEventLoop(t *testing.T) {
	var sent atomic.Int64
	arrived, release := make(chan struct{}, largeDownloadCount), make(chan struct{})
	backend := newTestBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-release
		_ = writeCounted(w, &sent) // a missing part is found by the client
	})
	n, addr := startNode(t, []protocol.Target{targetOf("a", backend)}, nil)
	var wait sync.WaitGroup
	for range largeDownloadCount {
		client := dialNode(t, addr)
		_, _ = io.WriteString(client, requestText("read", 9000))
		wait.Go(func() {
			if code, body, _ := client.readAnswer(); code != http.StatusOK || len(body) != largeMessageSize {
				t.Errorf("%d with %d bytes", code, len(body))
			}
		})
	}
	for range largeDownloadCount {
		<-arrived
	}
	held := trackHeapGrowth()
	resume := suspendEventLoop(t, n)
	close(release)
	waitUntilWritesStall(&sent)
	if grown := held(); grown > largeDownloadCount*maxHeldPerMessage {
		t.Errorf("%d MB held for %d answers of %d MB", grown>>20, largeDownloadCount, largeMessageSize>>20)
	}
	resume()
	wait.Wait()
}

// suspendEventLoop keeps the event loop from doing anything until resume is called.
func suspendEventLoop(t *testing.T, n *Node) (resume func()) {
	t.Helper()
	suspended, resumed := make(chan struct{}), make(chan struct{})
	n.post(func() { close(suspended); <-resumed })
	<-suspended
	resume = sync.OnceFunc(func() { close(resumed) })
	t.Cleanup(resume)
	return resume
}

// trackHeapGrowth returns a function that tells by how much the live heap has grown since.
func trackHeapGrowth() func() int {
	liveHeap := func() int {
		var stats runtime.MemStats
		runtime.GC()
		runtime.GC() // a sync.Pool keeps what it has through one collection
		runtime.ReadMemStats(&stats)
		return int(stats.HeapAlloc)
	}
	before := liveHeap()
	return func() int { return liveHeap() - before }
}

// writeCounted writes the body of a large message, and counts what has been accepted.
func writeCounted(w io.Writer, written *atomic.Int64) error {
	piece := randomBody(3, 64<<10)
	for range largeMessageSize / len(piece) {
		n, err := w.Write(piece)
		written.Add(int64(n))
		if err != nil {
			return err
		}
	}
	return nil
}

// waitUntilWritesStall waits until writers make no progress any more, as what lies behind them is full.
func waitUntilWritesStall(written *atomic.Int64) {
	for before := int64(-1); before != written.Load(); time.Sleep(200 * time.Millisecond) {
		before = written.Load()
	}
}

// A large answer may come before the event loop has learned that its request is written. It was taken for an answer
// to half a request once 1 MB of it had come, and its client got 502: the log said "malformed answer" with "a large
// answer before the end of its request". The report of the write is 50 ms late here.
func TestLargeAnswerBeforeWriteReportIsForwarded(t *testing.T) {
	var sent atomic.Int64
	backend := newTestBackend(t, func(w http.ResponseWriter, _ *http.Request) { _ = writeCounted(w, &sent) })
	n, addr := startNode(t, []protocol.Target{targetOf("a", backend)}, nil)
	delayReports(n, reportWritten, 50*time.Millisecond)
	code, body, _ := dialNode(t, addr).exchange(requestText("read", 9000))
	if code != http.StatusOK || len(body) != largeMessageSize {
		t.Errorf("%d with %d bytes", code, len(body))
	}
}

// The answer to a large request may come before the event loop has learned that the request's last byte is written.
// All of it was kept in memory until then.
func TestLargeAnswerBeforeUploadReportIsBounded(t *testing.T) {
	var sent atomic.Int64
	backend := newTestBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_ = writeCounted(w, &sent)
	})
	n, addr := startNode(t, []protocol.Target{targetOf("a", backend)}, nil)
	delayReports(n, reportForwarded, time.Second)
	client := dialNode(t, addr)
	held := trackHeapGrowth()
	_, _ = io.WriteString(client, postRequest("Content-Length: 100000")+string(randomBody(1, 100_000)))
	for sent.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	waitUntilWritesStall(&sent)
	if grown := held(); grown > maxHeldPerMessage+maxHeldPerUpload {
		t.Errorf("%d KB held for an answer of %d MB", grown>>10, largeMessageSize>>20)
	}
	if code, body, _ := client.readAnswer(); code != http.StatusOK || len(body) != largeMessageSize {
		t.Errorf("%d with %d bytes", code, len(body))
	}
}
