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

// Sizes and limits of the tests below. The large messages together are far larger than what a node may hold in memory.
const (
	largeMessageSize   = 8 << 20
	largeUploadCount   = 24
	largeDownloadCount = 4 // few enough that one backend may have all of them in flight
	// maxHeldPerMessage bounds the memory that the node may hold for one message, in bytes: the posted pieces, the
	// buffer that the poller reads into, and the same amount again, as netpoll rounds allocations up to powers of two.
	maxHeldPerMessage = 2 * (maxPostedPieces + 1) * protocol.BufferSize
	// maxHeldPerUpload bounds the additional memory for a large request, in bytes: one buffer each for its first part,
	// for the head sent to the backend and for its forwarder.
	maxHeldPerUpload = 3 * protocol.BufferSize
)

// A node whose event loop is busy for a moment must not run out of memory. The poller used to read on until the event
// loop stopped it, and waited for the event loop with only 200 yields of its thread. With each report to the event loop
// 0 to 5 ms late, as on a busy machine, the node of TestMemoryIsBoundedByBuffers held 104 to 169 MB for 48 messages,
// where 0.4 to 10 MB is usual. Deployments limit a node to 64 to 192 MB, so that it would have been killed. In this
// test the event loop is suspended while clients send large requests.
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

// The limit also holds for large answers: the event loop is suspended while backends send them.
func TestDownloadsAreNotReadAheadOfEventLoop(t *testing.T) {
	var sent atomic.Int64
	arrived, release := make(chan struct{}, largeDownloadCount), make(chan struct{})
	backend := newTestBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-release
		_ = writeCounted(w, &sent) // the client detects a missing part
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

// suspendEventLoop blocks the node's event loop until resume is called or the test ends.
func suspendEventLoop(t *testing.T, n *Node) (resume func()) {
	t.Helper()
	suspended, resumed := make(chan struct{}), make(chan struct{})
	n.post(func() { close(suspended); <-resumed })
	<-suspended
	resume = sync.OnceFunc(func() { close(resumed) })
	t.Cleanup(resume)
	return resume
}

// trackHeapGrowth returns a function that returns by how many bytes the live heap has grown since this call.
func trackHeapGrowth() func() int {
	liveHeap := func() int {
		var stats runtime.MemStats
		runtime.GC()
		runtime.GC() // the content of a sync.Pool survives one collection
		runtime.ReadMemStats(&stats)
		return int(stats.HeapAlloc)
	}
	before := liveHeap()
	return func() int { return liveHeap() - before }
}

// writeCounted writes a body of largeMessageSize, and adds the number of bytes that w has accepted to written.
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

// waitUntilWritesStall waits until written has not changed for 200 ms: the buffers on the path of the writers are full.
func waitUntilWritesStall(written *atomic.Int64) {
	for before := int64(-1); before != written.Load(); time.Sleep(200 * time.Millisecond) {
		before = written.Load()
	}
}

// A large answer may arrive before the end of the write of its request has been reported to the event loop. Once 1 MB
// of such an answer had been received, the node treated it as an answer to an incomplete request and sent its client
// 502: the log said "malformed answer" with "a large answer before the end of its request". In this test the report of
// the write is 50 ms late.
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

// The answer to a large request may arrive before the write of the request's last byte has been reported to the event
// loop. The node used to keep all of the answer in memory until then.
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
