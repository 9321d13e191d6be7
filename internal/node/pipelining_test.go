package node

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// pipelineTimeoutMillis is the time of each request in postRequest.
const pipelineTimeoutMillis = 9000

// stackedRequests are requests that a client sends without waiting for answers.
type stackedRequests struct {
	mutex     sync.Mutex
	writtenAt []time.Time // when the client had written each of them
}

// write writes the requests to a connection.
func (s *stackedRequests) write(conn io.Writer, requests []string) {
	for _, request := range requests {
		if _, err := io.WriteString(conn, request); err != nil {
			return
		}
		s.mutex.Lock()
		s.writtenAt = append(s.writtenAt, time.Now())
		s.mutex.Unlock()
	}
}

// remaining returns the time that the client has left for the request with an index, and false if the client does not
// know yet that it has written the request.
func (s *stackedRequests) remaining(index int) (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if index >= len(s.writtenAt) {
		return 0, false
	}
	return pipelineTimeoutMillis*time.Millisecond - time.Since(s.writtenAt[index]), true
}

// Each of many requests that a client sends at once is answered, however much they are together, and none states more
// time to its backend than its client has left. Guards against a failure in which what did not fit into the buffers was
// read and dropped, and the connection closed after the next answer.
func TestManyPipelinedRequestsAreAnswered(t *testing.T) {
	const count, bodySize, work = 24, 40_000, 20 * time.Millisecond
	const statedSlack = 150 * time.Millisecond // of the time that an attempt states (the fleet's page)
	var sent stackedRequests
	handled := 0
	backend := newTestBackend(t, func(w http.ResponseWriter, r *http.Request) {
		stated, _ := strconv.Atoi(r.Header.Get("X-Expires-In-Ms"))
		left, known := sent.remaining(handled)
		if excess := time.Duration(stated)*time.Millisecond - left; known && excess > statedSlack {
			t.Errorf("request %d states %v more than its client has left", handled, excess)
		}
		handled++ // one at a time
		time.Sleep(work)
		echo(w, r)
	})
	n, addr := startNode(t, backend.targets(), nil)
	client := dialNode(t, addr)
	body := string(randomBody(1, bodySize))
	var requests []string
	for range count {
		requests = append(requests, postRequest("Content-Length: "+strconv.Itoa(bodySize))+body)
	}
	go sent.write(client, requests)
	for i := range count {
		if code, got, _ := client.readAnswer(); code != http.StatusOK || got != body {
			t.Fatalf("answer %d: status %d, %d bytes", i, code, len(got))
		}
	}
	awaitEmptyAccount(t, n)
}

// Requests that a client has sent at once before a drain begins are all answered, also those that are read only then.
// Guards against a failure in which each answer during a drain ended its connection, and with it the requests behind.
func TestPipelinedRequestsAreAnsweredInDrain(t *testing.T) {
	const count = 6
	backend, arrived, release := newGatedBackend(t)
	n, addr := startNode(t, backend.targets(), nil)
	client := dialNode(t, addr)
	var requests strings.Builder
	for range count {
		requests.WriteString(requestText("once", pipelineTimeoutMillis))
	}
	_, _ = io.WriteString(client, requests.String())
	<-arrived
	drained := make(chan struct{})
	n.Drain(0, func() { close(drained) })
	waitUntil(n, func() bool { return n.drain.active })
	close(release)
	for i := range count {
		if code, _, closing := client.readAnswer(); code != http.StatusOK || closing != (i == count-1) {
			t.Fatalf("answer %d: status %d, closing %v", i, code, closing)
		}
	}
	_ = client.Close()
	<-drained
}
