package node

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"tulipglade/internal/protocol"
)

// Large requests and answers are forwarded completely, in either framing and in both directions at once. The
// connections are reused after that.
func TestLargeMessages(t *testing.T) {
	backend := newTestBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if n, _ := strconv.Atoi(r.URL.Query().Get("size")); n > 0 {
			w.Header().Set("Content-Length", strconv.Itoa(n))
			_, _ = w.Write(randomBody(9, n))
			return
		}
		echo(w, r)
	})
	_, addr := startNode(t, []protocol.Target{targetOf("a", backend)}, nil)
	for _, c := range []struct {
		name string
		size int
	}{{"just over", protocol.MaxBody + 1}, {"a buffer", protocol.BufferSize}, {"some", 3 << 20}, {"the most", 32 << 20}} {
		body := randomBody(uint64(c.size), c.size)
		conn := dialNode(t, addr)
		for _, framing := range []string{"length", "chunks"} {
			head, wire := "Content-Length: "+strconv.Itoa(c.size), body
			if framing == "chunks" {
				head, wire = "Transfer-Encoding: chunked", chunkedBody(body, 50_000)
			}
			go func() {
				_, _ = io.WriteString(conn, postRequest(head))
				_, _ = conn.Write(wire)
			}()
			if code, got, closing := conn.readAnswer(); code != 200 || closing || got != string(body) {
				t.Fatalf("%s, %s: status %d, closing %v, %d bytes of %d", c.name, framing, code, closing, len(got), c.size)
			}
		}
		_, _ = io.WriteString(conn, strings.Replace(requestText("read", 9000), "?obj=1", "?size="+strconv.Itoa(c.size), 1))
		if code, got, closing := conn.readAnswer(); code != 200 || closing || got != string(randomBody(9, c.size)) {
			t.Errorf("%s, a large answer: status %d, closing %v, %d bytes", c.name, code, closing, len(got))
		}
		if code, _, _ := conn.exchange(requestText("once", 9000)); code != 200 {
			t.Errorf("%s: the next request: status %d", c.name, code)
		}
	}
	// There are 16 requests. One that arrives before a connection has been reattached uses another connection.
	if k := backend.connectionCount(); k > 8 {
		t.Errorf("%d connections to the backend: connections were not reused", k)
	}
}

// 100 Continue is sent before a large body is read, and requests that are pipelined after the body are served after it.
func TestExpectAndPipeline(t *testing.T) {
	_, addr := startNode(t, []protocol.Target{targetOf("a", newTestBackend(t, echo))}, nil)
	conn := dialNode(t, addr)
	body := randomBody(1, 1<<20)
	_, _ = io.WriteString(conn, postRequest("Content-Length: "+strconv.Itoa(len(body)), "Expect: 100-continue\r\n"))
	line, err := conn.reader.ReadString('\n')
	if err != nil || line != "HTTP/1.1 100 Continue\r\n" {
		t.Fatalf("%q, %v", line, err)
	}
	_, _ = conn.reader.ReadString('\n')
	go func() { _, _ = conn.Write(append(bytes.Clone(body), requestText("read", 9000)+readyRequest...)) }()
	for i, want := range []string{string(body), "", "ready\n"} {
		if code, got, closing := conn.readAnswer(); code != 200 || closing || got != want {
			t.Errorf("answer %d: %d, closing %v, %d bytes, want %d", i, code, closing, len(got), len(want))
		}
	}
}

// A chunked body arrives unchanged if its end, with the framing, is sent byte by byte.
func TestSmallPieces(t *testing.T) {
	_, addr := startNode(t, []protocol.Target{targetOf("a", newTestBackend(t, echo))}, nil)
	conn := dialNode(t, addr)
	_ = conn.Conn.(*net.TCPConn).SetNoDelay(true)
	body := randomBody(1, protocol.BufferSize+300)
	wire := chunkedBody(body, 7)
	_, _ = io.WriteString(conn, postRequest("Transfer-Encoding: chunked"))
	go func() {
		_, _ = conn.Write(wire[:len(wire)-2000])
		for _, b := range wire[len(wire)-2000:] {
			_, _ = conn.Write([]byte{b})
		}
	}()
	if code, got, _ := conn.readAnswer(); code != 200 || got != string(body) {
		t.Errorf("status %d, %d bytes of %d", code, len(got), len(body))
	}
}

// If a backend resets the connection within a large answer, the client sees that the answer is incomplete, in each
// framing, and the request is not retried.
func TestLargeAnswerBreaks(t *testing.T) {
	for _, c := range []struct{ name, head, version string }{
		{"length", "Content-Length: 3000000\r\n", "1.1"},
		{"chunks", "Transfer-Encoding: chunked\r\n", "1.1"},
		{"chunks, HTTP/1.0 client", "Transfer-Encoding: chunked\r\n", "1.0"},
		{"until close", "Connection: close\r\n", "1.1"},
		{"until close, HTTP/1.0 client", "Connection: close\r\n", "1.0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			backend := newTestBackend(t, func(w http.ResponseWriter, _ *http.Request) {
				conn, _, _ := w.(http.Hijacker).Hijack()
				part := randomBody(1, 500_000)
				if strings.HasPrefix(c.head, "Transfer") {
					part = chunkedBody(part, 1000)
					part = part[:len(part)-20]
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n%s", c.head, part)
				time.Sleep(20 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			})
			_, addr := startNode(t, []protocol.Target{targetOf("a", backend)}, nil)
			conn := dialNode(t, addr)
			_, _ = io.WriteString(conn, strings.Replace(requestText("read", 9000), "HTTP/1.1", "HTTP/"+c.version, 1))
			resp, err := http.ReadResponse(conn.reader, nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatal(resp, err)
			}
			if n, err := io.Copy(io.Discard, resp.Body); err == nil {
				t.Errorf("%d bytes, and the answer looks complete", n)
			}
			_ = resp.Body.Close() // read to its end
			if backend.requestCount.Load() != 1 {
				t.Errorf("%d attempts, want one", backend.requestCount.Load())
			}
		})
	}
}

// An answer without a length is complete when its connection closes without a reset. It is forwarded to HTTP/1.1
// clients, and to HTTP/1.0 clients, which do not know chunked framing.
func TestAnswerDelimitedByConnectionClose(t *testing.T) {
	for _, size := range []int{100, 1 << 20} {
		for _, version := range []string{"1.1", "1.0"} {
			backend := newTestBackend(t, func(w http.ResponseWriter, _ *http.Request) {
				conn, _, _ := w.(http.Hijacker).Hijack()
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n\r\n%s", randomBody(1, size))
				_ = conn.Close()
			})
			_, addr := startNode(t, []protocol.Target{targetOf("a", backend)}, nil)
			conn := dialNode(t, addr)
			_, _ = io.WriteString(conn, strings.Replace(requestText("once", 9000), "HTTP/1.1", "HTTP/"+version, 1))
			if code, got, _ := conn.readAnswer(); code != 200 || got != string(randomBody(1, size)) {
				t.Errorf("%d bytes to HTTP/%s: status %d, %d bytes", size, version, code, len(got))
			}
		}
	}
}

// What a backend has written of an answer of more than 64 KiB is forwarded before the rest arrives, in each framing.
// Guards against a failure in which up to 12 KiB more were awaited of an answer without a stated length, so that a
// request that had run was failed while its backend paused.
func TestLargeAnswerIsForwardedBeforeItsRest(t *testing.T) {
	body := randomBody(1, 2*protocol.MaxBody)
	first, rest := body[:protocol.MaxBody+1], body[protocol.MaxBody+1:]
	const lastChunk = "0\r\n\r\n"
	chunk := func(data []byte) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }
	for _, c := range []struct{ name, field, first, rest string }{
		{"length", "Content-Length: " + strconv.Itoa(len(body)), string(first), string(rest)},
		{"one chunk", "Transfer-Encoding: chunked", chunk(first), chunk(rest) + lastChunk},
		{"within a chunk", "Transfer-Encoding: chunked", chunk(body)[:len(first)+16], chunk(body)[len(first)+16:] + lastChunk},
		{"until close", "Connection: close", string(first), string(rest)},
	} {
		t.Run(c.name, func(t *testing.T) {
			backend := newManualBackend(t, 0)
			_, addr := startNode(t, backend.targets(), nil)
			client := dialNode(t, addr)
			_, _ = io.WriteString(client, requestText("once", 9000))
			conn, _ := backend.acceptRequest()
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n\r\n%s", c.field, c.first)
			answer, err := http.ReadResponse(client.reader, nil)
			if err != nil || answer.StatusCode != http.StatusOK {
				t.Fatal(answer, err)
			}
			defer func() { _ = answer.Body.Close() }() // read to its end
			got := make([]byte, len(first))
			if _, err := io.ReadFull(answer.Body, got); err != nil {
				t.Fatalf("the first bytes: %v", err)
			}
			_, _ = io.WriteString(conn, c.rest)
			_ = conn.Close()
			if end, err := io.ReadAll(answer.Body); err != nil || string(got)+string(end) != string(body) {
				t.Errorf("%d bytes and %d, %v", len(got), len(end), err)
			}
		})
	}
}

// An answer to a request that is still being uploaded is forwarded at once. If a backend ends the connection before the
// last byte of the request, it has not run the request, and the client gets a rejection.
func TestAnswerBeforeEndOfUpload(t *testing.T) {
	body := randomBody(1, 4<<20)
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		code    int
	}{
		{"rejected early", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Never-Ran", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, 503},
		{"breaks early", closeAfterSending(""), 503},
		{"breaks during the upload", func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.CopyN(io.Discard, r.Body, 3<<20)
			closeAfterSending("")(w, r)
		}, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			backend := newTestBackend(t, c.handler)
			n, addr := startNode(t, []protocol.Target{targetOf("a", backend)}, nil)
			conn := dialNode(t, addr)
			_, _ = io.WriteString(conn, postRequest("Content-Length: "+strconv.Itoa(len(body))))
			_, _ = conn.Write(body[:3<<20+100_000])
			if code, _, _ := conn.readAnswer(); code != c.code {
				t.Errorf("status %d, want %d", code, c.code)
			}
			_, _ = conn.Write(body[3<<20+100_000:])
			if b, err := conn.reader.ReadByte(); err == nil {
				t.Errorf("after the answer: read %q, want the end of the connection", b)
			}
			waitUntil(n, func() bool { return len(n.requests) == 0 && n.activeForwarders == 0 && n.openRequests == 0 })
		})
	}
}

// If a client disconnects during an upload or sends a malformed or too large body, everything that its request held is
// released.
func TestAbortedUploadReleasesResources(t *testing.T) {
	for _, c := range []struct {
		name, framing, rest string
		code                int // 0: the client disconnects and gets no answer
	}{
		{"disconnects", "Content-Length: 3000000", "", 0},
		{"malformed chunk", "Transfer-Encoding: chunked", "zz\r\n", 400},
		{"too long", "Transfer-Encoding: chunked", "7fffffff\r\n", 413},
	} {
		t.Run(c.name, func(t *testing.T) {
			ended := make(chan error, 1)
			backend := newTestBackend(t, func(_ http.ResponseWriter, r *http.Request) {
				_, err := io.Copy(io.Discard, r.Body)
				ended <- err
			})
			n, addr := startNode(t, []protocol.Target{targetOf("a", backend)}, nil)
			conn := dialNode(t, addr)
			_, _ = io.WriteString(conn, postRequest(c.framing))
			part := randomBody(1, 200_000)
			if c.framing == "Transfer-Encoding: chunked" {
				part = fmt.Appendf(nil, "%x\r\n%s\r\n", len(part), part)
			}
			_, _ = conn.Write(part)
			waitUntil(n, func() bool { return n.activeForwarders == 1 })
			if c.code == 0 {
				_ = conn.Close()
			} else if code, _, closing := conn.exchange(c.rest); code != c.code || !closing {
				t.Errorf("%d, closing %v, want %d", code, closing, c.code)
			}
			if err := <-ended; err == nil {
				t.Error("the request looks complete to the backend")
			}
			waitUntil(n, func() bool {
				return len(n.requests) == 0 && n.activeForwarders == 0 && n.openRequests == 0 &&
					len(n.clients) == 0 && n.openDescriptors <= 1
			})
		})
	}
}

// A body that arrives below the minimum rate is answered with 408, and one that arrives at that rate or has just begun is
// not. The test checks the read timeout of the forwarder, whose expiry leads to that answer.
func TestSlowBodyIsRejected(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name     string
		received int64
		elapsed  time.Duration
		slow     bool
	}{
		{"at once", 0, 0, false},
		{"nothing yet", 0, 2 * time.Second, false},
		{"nothing for long", 0, 4 * time.Second, true},
		{"at the rate", 64_000 * 60, time.Minute, false},
		{"just under", 64_000 * 50, time.Minute, true},
	} {
		f := &forwarder{enforceMinRate: true, progress: forwarderProgress{receivedBytes: c.received}, startedAt: now.Add(-c.elapsed)}
		if got := f.readTimeout(now) <= 0; got != c.slow {
			t.Errorf("%s: timed out %v", c.name, got)
		}
	}
}

// writeRepeatedly writes a piece repeatedly until size bytes have been written.
func writeRepeatedly(w io.Writer, piece []byte, size int) error {
	for range size / len(piece) {
		if _, err := w.Write(piece); err != nil {
			return err
		}
	}
	return nil
}

// The memory for large messages depends on the number of buffers and not on the size of bodies. The test holds 24 large
// answers that clients do not read and 24 large requests that a backend does not read.
func TestMemoryIsBoundedByBuffers(t *testing.T) {
	const size, count = 8 << 20, 24
	slow := make(chan struct{})
	piece := randomBody(3, 64<<10)
	backend := newTestBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_ = writeRepeatedly(w, piece, size)
			return
		}
		<-slow
		_, _ = io.Copy(io.Discard, r.Body)
	})
	n, addr := startNode(t, []protocol.Target{targetOf("a", backend)}, nil)
	var before, peak runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var clients sync.WaitGroup
	for range count {
		for _, isUpload := range []bool{false, true} {
			conn := dialNode(t, addr)
			clients.Add(1)
			go func() {
				defer clients.Done()
				if isUpload {
					_, _ = io.WriteString(conn, postRequest("Content-Length: "+strconv.Itoa(size)))
					if err := writeRepeatedly(conn, piece, size); err != nil {
						return
					}
				} else {
					_, _ = io.WriteString(conn, requestText("read", 9000))
				}
				<-slow
				resp, err := http.ReadResponse(conn.reader, nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Error(resp, err)
					return
				}
				if k, err := io.Copy(io.Discard, resp.Body); err != nil || !isUpload && k != size {
					t.Errorf("%d bytes, %v", k, err)
				}
				_ = resp.Body.Close() // read to its end
			}()
		}
	}
	waitUntil(n, func() bool { return n.activeForwarders >= count })
	time.Sleep(200 * time.Millisecond) // time for the memory to grow
	runtime.GC()
	runtime.ReadMemStats(&peak)
	// All messages together have 384 MB. The node held 175 MB before the poller waited for the event loop, and has held
	// 13 to 33 MB since, the most on a busy machine.
	if grown := int(peak.HeapAlloc) - int(before.HeapAlloc); grown > 80<<20 {
		t.Errorf("%d MB held for %d messages of %d MB", grown>>20, 2*count, size>>20)
	} else {
		t.Logf("%.1f MB held for %d messages of %d MB", float64(grown)/(1<<20), 2*count, size>>20)
	}
	close(slow)
	clients.Wait()
}

// Pipelined input is bounded for each connection and for all together. A large request that is pipelined within the
// bounds behind an unanswered one is not lost.
func TestPipelinedInputIsBounded(t *testing.T) {
	backend, arrived, release := newBlockedBackend(t)
	n, addr := startNode(t, []protocol.Target{targetOf("a", backend)}, nil)
	body := randomBody(1, 100_000)
	client := dialNode(t, addr)
	_, _ = io.WriteString(client, requestText("once", 9000)+postRequest("Content-Length: 100000")+string(body))
	<-arrived
	floodingClient := dialNode(t, addr)
	_, _ = io.WriteString(floodingClient, requestText("once", 9000))
	<-arrived
	go func() { _, _ = floodingClient.Write(randomBody(2, 8<<20)) }()
	waitUntil(n, func() bool {
		for c := range n.clients {
			if c.overflowSize > maxOverflowPerConn || n.overflowBytes > 2*maxOverflowPerConn || c.inputTruncated {
				t.Errorf("%d bytes kept, %d in all, some dropped: %v", c.overflowSize, n.overflowBytes, c.inputTruncated)
			}
			if c.overflowStopped && c.unreadInput() == 0 && c.overflowSize >= overflowStopSize {
				return true
			}
		}
		return false
	})
	go func() { <-arrived }()
	close(release)
	for i := range 2 {
		if code, _, _ := client.readAnswer(); code != 200 {
			t.Errorf("answer %d: status %d", i, code)
		}
	}
	if code, _, closing := floodingClient.readAnswer(); code != 200 || closing {
		t.Errorf("the first request of the flooding client: status %d, closing %v", code, closing)
	}
	if code, _, closing := floodingClient.readAnswer(); code < 400 || code >= 500 || !closing {
		t.Errorf("what the flooding client sends after it: status %d, closing %v", code, closing)
	}
	_ = floodingClient.Close()
	waitUntil(n, func() bool { return n.overflowBytes == 0 })
}

// The poller does not read a connection after removeFromPollSet, which also covers the case that netpoll runs the close
// callbacks without removing the connection. Later input belongs to the next reader of the descriptor. Without the
// removal the poller reads the input.
func TestDetachedConnectionIsNotRead(t *testing.T) {
	for name, isRemoved := range map[string]bool{"detached": true, "still in the poller's set": false} {
		t.Run(name, func(t *testing.T) {
			fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = unix.Close(fds[1]) }()
			conn, err := netpoll.NewFDConnection(fds[0])
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if isRemoved {
				if err := removeFromPollSet(conn); err != nil {
					t.Fatal(err)
				}
			}
			if _, err := unix.Write(fds[1], []byte("x")); err != nil {
				t.Fatal(err)
			}
			for range 2 {
				if err := sharedPollerBarrier.wait(); err != nil {
					t.Fatal(err)
				}
			}
			if read := conn.Reader().Len() > 0; read == isRemoved {
				t.Errorf("the poller has read the input: %v", read)
			}
		})
	}
}

// Requests that are pipelined behind a large one are served with their own bodies. Guards against a failure in which
// input behind a large request was dropped beyond one buffer, and later input was taken for the rest of a body that had
// lost its end.
func TestRequestsBehindUploadKeepTheirBodies(t *testing.T) {
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	backend := newTestBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			arrived <- struct{}{}
			<-release
		}
		echo(w, r)
	})
	n, addr := startNode(t, backend.targets(), nil)
	client := dialNode(t, addr)
	bodies := [][]byte{nil, randomBody(1, 100_000), randomBody(2, 60_000), randomBody(3, 60_000), randomBody(4, 60_000)}
	_, _ = io.WriteString(client, requestText("read", 9000))
	<-arrived
	pipelined := 0
	for _, body := range bodies[1:] { // all of it is received while the first request is unanswered
		request := postRequest("Content-Length: "+strconv.Itoa(len(body))) + string(body)
		pipelined += len(request)
		_, _ = io.WriteString(client, request)
	}
	waitUntil(n, func() bool {
		for c := range n.clients {
			if c.input != nil && c.input.length+c.overflowSize == pipelined {
				return true
			}
		}
		return false
	})
	close(release)
	for i, body := range bodies {
		if code, got, _ := client.readAnswer(); code != 200 || got != string(body) {
			t.Errorf("answer %d: status %d, %d bytes of %d, or altered", i, code, len(got), len(body))
		}
	}
}
