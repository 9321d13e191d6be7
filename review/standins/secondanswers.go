package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The load of the case second-answers.
const (
	secondClients  = 24 // each sends one request at a time, and the next one after the answer
	secondDuration = 70 * time.Second
	secondWork     = 25 * time.Millisecond
	secondShare    = 20                      // one answer in so many comes a second time
	minLate        = 7 * time.Millisecond    // from the first answer to the second one, at the backend
	maxLate        = 9 * time.Millisecond    // as before, at most
	minOneWay      = 3700 * time.Microsecond // between two sites
	maxOneWay      = 6900 * time.Microsecond // as before, at most
)

func init() { cases["second-answers"] = playSecondAnswers }

// between draws a time between two bounds.
func between(shortest, longest time.Duration) time.Duration {
	return shortest + rand.N(longest-shortest)
}

// remoteBackend is a backend in another site. What it sends takes its time on the way, as its requests do.
type remoteBackend struct {
	c           *run
	secondsSent *atomic.Int64
	tooLate     *sync.Map // ids of the requests whose second answer the machine has delayed
	trouble     bool
}

// serve serves one connection, one request at a time.
func (b *remoteBackend) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		trace := request.Header.Get("X-Trace-Id")
		time.Sleep(between(minOneWay, maxOneWay) + secondWork) // on its way, and its work
		body := answerTo(trace)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nEndpoint-Load-Metrics: TEXT queue=0, util=0.3\r\n\r\n%s", len(body), body)
		oneWay := between(minOneWay, maxOneWay)
		sentAt := time.Now()
		time.Sleep(oneWay)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if b.trouble && rand.IntN(secondShare) == 0 {
			b.sendAgain(conn, trace, answer, sentAt)
		}
	}
}

// sendAgain sends an answer a second time, some milliseconds after sentAt, when the first one was sent. No request can
// have reached the backend by then: the node has had the first answer for less time than a request needs.
func (b *remoteBackend) sendAgain(conn net.Conn, trace, answer string, sentAt time.Time) {
	late := between(minLate, maxLate)
	firstArrivedAt := time.Now()
	time.Sleep(time.Until(sentAt.Add(late + between(minOneWay, maxOneWay))))
	b.secondsSent.Add(1)
	_, err := io.WriteString(conn, answer)
	gap := time.Since(firstArrivedAt)
	if gap > maxLate+maxOneWay-minOneWay {
		b.tooLate.Store(trace, true)
	}
	b.c.logf("%s answered again, sent %.1f ms and arrived %.1f ms after the first answer, error %v", trace, late.Seconds()*1e3, gap.Seconds()*1e3, err)
}

// startRemoteBackends starts the backends and returns their entries in discovery's list.
func startRemoteBackends(b *remoteBackend) (targets []target) {
	for i := range backendCount {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must(err)
		go func() {
			for {
				conn, err := listener.Accept()
				must(err)
				go b.serve(conn)
			}
		}()
		targets = append(targets, target{
			UID: fmt.Sprintf("s-%d", i), Endpoint: listener.Addr().String(), Zone: []string{"howrah", "durgapur"}[i%2],
			Model: "new-rack", Cell: i % 2, State: "in_service", Weight: 1,
		})
	}
	return targets
}

// mixUp is a request that was answered with the answer to another one.
type mixUp struct{ trace, other string }

// playSecondAnswers lets some answers come a second time. Without the disruption each comes once. It counts the answers
// that name another request; such as follow from a second answer that the machine has delayed are left out.
func playSecondAnswers(c *run) bool {
	var secondsSent atomic.Int64
	var tooLate sync.Map
	b := &remoteBackend{c: c, secondsSent: &secondsSent, tooLate: &tooLate, trouble: c.trouble}
	d := newDiscovery(startRemoteBackends(b))
	n := startNode(c.directory, d.address, d.whole, nodeOptions{memoryMB: 192, sockets: 1024})
	var clients sync.WaitGroup
	var mutex sync.Mutex
	answered := 0
	var mixUps []mixUp // in the order in which they were noticed, in which one leads to the next
	for range secondClients {
		clients.Go(func() {
			sendRidesUntil(c, n, time.Now().Add(secondDuration), func(trace, other string) {
				mutex.Lock()
				defer mutex.Unlock()
				if answered++; other != trace {
					mixUps = append(mixUps, mixUp{trace, other})
				}
			})
		})
	}
	clients.Wait()
	foreign := 0
	for _, m := range mixUps {
		if _, leftOut := tooLate.Load(m.other); leftOut {
			tooLate.Store(m.trace, true) // the next one in the row follows from this one
			continue
		}
		foreign++
	}
	c.logf("%d rides answered, %d of the answers came twice; answers to another request: %d, of these from second answers in time: %d",
		answered, secondsSent.Load(), len(mixUps), foreign)
	return foreign == 0
}

// sendRidesUntil sends one ride after the other on one connection. It passes on the id of each that is answered with
// 200, and the id that its answer names.
func sendRidesUntil(c *run, n *node, end time.Time, onAnswer func(trace, other string)) {
	conn := connect(n)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for time.Now().Before(end) {
		trace := newTrace()
		_, err := io.WriteString(conn, ride(trace))
		must(err)
		status, body, err := readAnswer(conn, reader, answerWait)
		must(err)
		if status != http.StatusOK {
			continue
		}
		other := strings.TrimPrefix(body, answerTo(""))
		if other != trace {
			c.logf("%s answered with %q", trace, body)
		}
		onAnswer(trace, other)
	}
}
