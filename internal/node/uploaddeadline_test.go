package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"tulipglade/internal/protocol"
)

// Times of the tests below. Every connection to a backend is established later by connectDelay.
const (
	uploadTimeoutMillis = 3000
	connectDelay        = time.Second
	uploadSize          = 100_000
	// statedTimeoutSlackMillis is the tolerance by which the timeout stated to a backend may exceed the client's
	// remaining time.
	statedTimeoutSlackMillis = deadlineSlack / 1000
)

// uploadHead returns the head of a large request, which ends with the given framing fields.
func uploadHead(framing string) string {
	return fmt.Sprintf("POST /once HTTP/1.1\r\nHost: h\r\nX-Trace-Id: id%d\r\nX-Customer: t\r\nX-Expires-In-Ms: %d\r\n%s\r\n\r\n",
		lastTraceID.Add(1), uploadTimeoutMillis, framing)
}

// newTimeoutRecordingBackend starts a backend that reads each request, sends the timeout stated in it to statedMillis,
// and does not answer before the node closes the connection.
func newTimeoutRecordingBackend(t *testing.T) (backend *testBackend, statedMillis chan int) {
	t.Helper()
	statedMillis = make(chan int, 10)
	backend = newTestBackend(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		millis, _ := strconv.Atoi(r.Header.Get("X-Expires-In-Ms"))
		statedMillis <- millis
		<-r.Context().Done()
	})
	return backend, statedMillis
}

// startNodeWithSlowConnects starts a node whose connections to backends are established connectDelay late.
func startNodeWithSlowConnects(t *testing.T, targets []protocol.Target) (*Node, string) {
	t.Helper()
	n, addr := startNode(t, targets, func(s *Settings) {
		s.ConnectTimeout = 5_000_000
		s.Balancer.Classes[1].Deadline = uploadTimeoutMillis * 1000
	})
	delayReports(n, reportDialed, connectDelay)
	return n, addr
}

// checkStatedTimeout checks that the timeout stated to a backend is not longer than the client's remaining time, given
// when the last byte of the request was sent. It also checks that the node answers by the deadline and counts no
// violation of its invariants.
func checkStatedTimeout(t *testing.T, n *Node, client *testClient, sentAt time.Time, statedMillis int) {
	t.Helper()
	remainingMillis := uploadTimeoutMillis - int(time.Since(sentAt).Milliseconds())
	if statedMillis > remainingMillis+statedTimeoutSlackMillis {
		t.Errorf("timeout of %d ms stated to the backend, its client had %d ms left", statedMillis, remainingMillis)
	}
	client.readAnswer()
	if waited := time.Since(sentAt); waited > uploadTimeoutMillis*time.Millisecond+300*time.Millisecond {
		t.Errorf("answered %v after the last byte", waited)
	}
	runOnLoop(n, func() {
		if len(n.violations) > 0 {
			t.Errorf("violations: %v", n.violations)
		}
	})
}

// The deadline of a large request counts from its last byte, even if that byte was received before the node could send
// any part of the request. In benchmarks, nodes logged
//
//	level=ERROR msg="invariant violated" rule="deadline passed" by_us=1150054
//
// and the log was right. The node counted the time from the head, stated the full timeout to a backend whose connection
// was established a second later, and counted the timeout anew from the last byte that it forwarded, so that it also
// waited too long itself.
func TestStatedDeadlineOfUploadThatHasCome(t *testing.T) {
	body := randomBody(1, uploadSize)
	chunked := string(chunkedBody(body, 10_000))
	for name, request := range map[string]string{
		"with a length":          uploadHead("Content-Length: "+strconv.Itoa(uploadSize)) + string(body),
		"chunked":                uploadHead("Transfer-Encoding: chunked") + chunked,
		"that asks for continue": uploadHead("Expect: 100-continue\r\nContent-Length: "+strconv.Itoa(uploadSize)) + string(body),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend, stated := newTimeoutRecordingBackend(t)
			n, addr := startNodeWithSlowConnects(t, backend.targets())
			client := dialNode(t, addr)
			_, _ = io.WriteString(client, request)
			checkStatedTimeout(t, n, client, time.Now(), <-stated)
		})
	}
}

// The deadline also counts from the last byte for a large request that is pipelined behind another request, which takes
// half a second.
func TestStatedDeadlineOfPipelinedUpload(t *testing.T) {
	t.Parallel()
	stated := make(chan int, 1)
	backend := newTestBackend(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			time.Sleep(500 * time.Millisecond)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		millis, _ := strconv.Atoi(r.Header.Get("X-Expires-In-Ms"))
		stated <- millis
		<-r.Context().Done()
	})
	n, addr := startNodeWithSlowConnects(t, backend.targets())
	client := dialNode(t, addr)
	request := uploadHead("Content-Length: "+strconv.Itoa(uploadSize)) + string(randomBody(1, uploadSize))
	_, _ = io.WriteString(client, requestText("read", 9000)+request)
	sentAt := time.Now()
	client.readAnswer()
	checkStatedTimeout(t, n, client, sentAt, <-stated)
}

// The deadline also counts from the last byte for a large request that is retried after a failed connect.
func TestStatedDeadlineOfRetriedUpload(t *testing.T) {
	t.Parallel()
	refused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = refused.Close()
	backend, stated := newTimeoutRecordingBackend(t)
	n, addr := startNodeWithSlowConnects(t, []protocol.Target{{UID: "b", Endpoint: refused.Addr().String(), Zone: "z", Weight: 1}})
	client := dialNode(t, addr)
	_, _ = io.WriteString(client, uploadHead("Content-Length: "+strconv.Itoa(uploadSize))+string(randomBody(1, uploadSize)))
	sentAt := time.Now()
	waitUntil(n, func() bool { return len(n.requests) == 1 && len(n.requests[1].attempts) == 1 })
	n.UpdateEndpoints(protocol.List{Revision: 1, Targets: backend.targets()}, false)
	checkStatedTimeout(t, n, client, sentAt, <-stated)
}

// A large request has its full timeout from the time at which its last byte is sent, even if its head was received long
// before. The input received first leaves the receive window open, so that the node knows that the rest has not been
// sent yet.
func TestStatedDeadlineOfSlowUpload(t *testing.T) {
	t.Parallel()
	backend, stated := newTimeoutRecordingBackend(t)
	n, addr := startNodeWithSlowConnects(t, backend.targets())
	client := dialNode(t, addr)
	body := randomBody(1, uploadSize)
	_, _ = io.WriteString(client, uploadHead("Content-Length: "+strconv.Itoa(uploadSize))+string(body[:20_000]))
	time.Sleep(connectDelay + 300*time.Millisecond)
	_, _ = client.Write(body[20_000:])
	sentAt := time.Now()
	statedMillis := <-stated
	if statedMillis < uploadTimeoutMillis-statedTimeoutSlackMillis {
		t.Errorf("timeout of %d ms stated to the backend, its client had %d ms left", statedMillis, uploadTimeoutMillis)
	}
	checkStatedTimeout(t, n, client, sentAt, statedMillis)
	if waited := time.Since(sentAt); waited < uploadTimeoutMillis*time.Millisecond-statedTimeoutSlackMillis*time.Millisecond {
		t.Errorf("the node gave up after %v", waited)
	}
}

// startUploadToUnreadingBackend sends a large request to a node with one backend, which accepts a connection and reads
// nothing. It returns the client, the time at which it began to send, and the backend's connection.
func startUploadToUnreadingBackend(t *testing.T, framing string, body []byte) (*testClient, time.Time, net.Conn) {
	t.Helper()
	backend := newManualBackend(t, 4096)
	_, addr := startNode(t, backend.targets(), nil)
	client := dialNode(t, addr)
	startedAt := time.Now()
	go func() {
		_, _ = io.WriteString(client, uploadHead(framing))
		_, _ = client.Write(body)
	}()
	conn, err := backend.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return client, startedAt, conn
}

// A large request whose backend does not read it is rejected when the time of its client is over. Guards against a
// failure in which such a request had no deadline, as the node had not read its last byte, although the client had sent
// it: nothing answered it until the write to the backend timed out after 10 s.
func TestUploadToUnreadingBackendIsRejectedInTime(t *testing.T) {
	body := randomBody(1, maxClientSendBuffer)
	for name, c := range map[string]struct {
		framing string
		body    []byte
	}{
		"with a length": {"Content-Length: " + strconv.Itoa(len(body)), body},
		"chunked":       {"Transfer-Encoding: chunked", chunkedBody(body, 10_000)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client, startedAt, _ := startUploadToUnreadingBackend(t, c.framing, c.body)
			code, _, _ := client.readAnswer()
			if waited := time.Since(startedAt); code != 503 || waited > (uploadTimeoutMillis+500)*time.Millisecond {
				t.Errorf("answered %d after %v", code, waited)
			}
		})
	}
}

// A large request is not rejected while its client can't have sent all of it: it is served by a backend that begins to
// read it later than the client would wait for the answer.
func TestUploadIsNotRejectedBeforeItsClientHasSentIt(t *testing.T) {
	t.Parallel()
	body := randomBody(1, 4*maxClientSendBuffer)
	client, startedAt, conn := startUploadToUnreadingBackend(t, "Content-Length: "+strconv.Itoa(len(body)), body)
	time.Sleep(time.Until(startedAt.Add((uploadTimeoutMillis + 500) * time.Millisecond)))
	go func() {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		writeOK(conn, "done")
	}()
	if code, answer, _ := client.readAnswer(); code != 200 || answer != "done" {
		t.Error(code, answer)
	}
}
