package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"tulipglade/internal/protocol"
)

// Times of the tests below. Every connection to a backend comes up late by connectDelay.
const (
	uploadTimeoutMillis = 3000
	connectDelay        = time.Second
	uploadSize          = 100_000
	// statedTimeoutSlackMillis is by how much the time stated to a backend may exceed what the client has left.
	statedTimeoutSlackMillis = deadlineSlack / 1000
)

// uploadHead is the head of a large request; framing is its last field.
func uploadHead(framing string) string {
	return fmt.Sprintf("POST /once HTTP/1.1\r\nHost: h\r\nX-Trace-Id: id%d\r\nX-Customer: t\r\nX-Expires-In-Ms: %d\r\n%s\r\n\r\n",
		lastTraceID.Add(1), uploadTimeoutMillis, framing)
}

// newTimeoutRecordingBackend is a backend that reads each request, passes on the time that it states, and does not answer
// before the node gives up.
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

// startNodeWithSlowConnects starts a node whose connections to backends come up late.
func startNodeWithSlowConnects(t *testing.T, targets []protocol.Target) (*Node, string) {
	t.Helper()
	n, addr := startNode(t, targets, func(s *Settings) {
		s.ConnectTimeout = 5_000_000
		s.Balancer.Classes[1].Deadline = uploadTimeoutMillis * 1000
	})
	delayReports(n, reportDialed, connectDelay)
	return n, addr
}

// checkStatedTimeout checks what a backend was told of a request whose last byte was sent at a time, and that the node answers
// by its deadline and counts no violation.
func checkStatedTimeout(t *testing.T, n *Node, client *testClient, sentAt time.Time, statedMillis int) {
	t.Helper()
	remainingMillis := uploadTimeoutMillis - int(time.Since(sentAt).Milliseconds())
	if statedMillis > remainingMillis+statedTimeoutSlackMillis {
		t.Errorf("the backend was told %d ms, its client had %d ms left", statedMillis, remainingMillis)
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

// The time of a large request counts from its last byte, also if that came before the node could send any of it. On the
// bench, nodes logged
//
//	level=ERROR msg="invariant violated" rule="deadline passed" by_us=1150054
//
// and they were right: the time was counted from the head, stated whole to a backend whose connection came up a second
// later, and counted anew from the last byte that was forwarded, so the node waited too long as well.
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

// The same for a request that is pipelined behind another, which takes half a second.
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

// The same for a request that is sent again after a connect that failed.
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

// A large request whose last byte comes later has its full time from there, also if its head came long before. What has
// come leaves the kernel space for more, so that the node knows the rest not to have been sent.
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
		t.Errorf("the backend was told %d ms, its client had %d ms left", statedMillis, uploadTimeoutMillis)
	}
	checkStatedTimeout(t, n, client, sentAt, statedMillis)
	if waited := time.Since(sentAt); waited < uploadTimeoutMillis*time.Millisecond-statedTimeoutSlackMillis*time.Millisecond {
		t.Errorf("given up after %v", waited)
	}
}
