package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"tulipglade/internal/protocol"
)

// testRest is how long connections rest after an answer in these tests: long enough that a second answer comes in that
// time although the machine is busy.
const testRest = 200 * time.Millisecond

// secondAnswerBackend answers each request with its trace ID, or rejects it before it has run, and sends some of these
// answers a second time, some milliseconds late. It counts how often each request has run.
type secondAnswerBackend struct {
	mu     sync.Mutex
	runs   map[string]int
	latest time.Duration // the longest time after which a second answer was written
}

// serve serves requests on a connection until it ends.
func (b *secondAnswerBackend) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for count := 0; ; count++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		trace := request.Header.Get("X-Trace-Id")
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(trace), trace)
		if count%3 == 1 {
			answer = "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
		} else {
			b.mu.Lock()
			b.runs[trace]++
			b.mu.Unlock()
			time.Sleep(10 * time.Millisecond)
		}
		answeredAt := time.Now()
		_, _ = io.WriteString(conn, answer)
		if count%5 == 1 || count%5 == 3 {
			time.AfterFunc(5*time.Millisecond, func() { b.answerAgain(conn, answer, answeredAt) })
		}
	}
}

// answerAgain writes an answer a second time, and records how long after the first time it was written.
func (b *secondAnswerBackend) answerAgain(conn net.Conn, answer string, answeredAt time.Time) {
	_, _ = io.WriteString(conn, answer)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.latest = max(b.latest, time.Since(answeredAt))
}

// playSecondAnswers sends requests to a node with two backends that answer a second time. It returns the requests that
// got the answer to another one or ran twice, and after what time the latest second answer was written.
func playSecondAnswers(t *testing.T) (faults []string, latest time.Duration) {
	t.Helper()
	const clients, requestsPerClient = 8, 20
	backend := &secondAnswerBackend{runs: map[string]int{}}
	var targets []protocol.Target
	for _, uid := range []string{"a", "b"} {
		listener := newManualBackend(t, 0)
		targets = append(targets, protocol.Target{UID: uid, Endpoint: listener.Addr().String(), Zone: "z", Weight: 1})
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go backend.serve(conn)
			}
		}()
	}
	n, addr := startNode(t, targets, nil)
	runOnLoop(n, func() { n.testReuseDelay = testRest.Microseconds() })
	var mu sync.Mutex
	var group sync.WaitGroup
	for range clients {
		client := dialNode(t, addr)
		group.Go(func() {
			for range requestsPerClient {
				request := requestText("once", 9000)
				_, _ = io.WriteString(client, request)
				answer, err := http.ReadResponse(client.reader, nil)
				if err != nil {
					t.Error(err)
					return
				}
				body, _ := io.ReadAll(answer.Body)
				_ = answer.Body.Close() // read to its end
				if answer.StatusCode == http.StatusOK && !strings.Contains(request, "X-Trace-Id: "+string(body)+"\r\n") {
					mu.Lock()
					faults = append(faults, "a request got the answer to "+string(body))
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	backend.mu.Lock()
	defer backend.mu.Unlock()
	for trace, runs := range backend.runs {
		if runs > 1 {
			faults = append(faults, fmt.Sprintf("%s ran %d times", trace, runs))
		}
	}
	return faults, backend.latest
}

// No request gets an answer that was made for another one, or runs twice, where backends answer a second time some
// milliseconds late. Guards against a failure in which clients were served foreign answers, and a foreign rejection made
// the node send a request again that was running.
func TestLateSecondAnswersHarmNoRequest(t *testing.T) {
	faults, latest := playSecondAnswers(t)
	for _, fault := range faults {
		t.Error(fault)
	}
	if latest >= testRest {
		t.Errorf("a second answer came after %v, later than this test provides for", latest)
	}
}
