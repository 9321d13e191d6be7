package main

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The load of the case long-answers.
const (
	readerCount = 150 // under a third of the node's 1,024 descriptors
	readerGap   = 20 * time.Millisecond
	answerSize  = 16 << 20
	readSize    = 160 << 10 // each of these pieces is read after readPause: 1.6 MB a second
	readPause   = 100 * time.Millisecond
	maxHold     = 2*time.Second + 50*time.Millisecond // every time limit gets 50 ms more
)

// longAnswers is what the backends and the clients of the case know of each request.
type longAnswers struct {
	mutex sync.Mutex
	begun map[string]time.Time // when the backend began to give the answer
}

// ServeHTTP gives a long answer. It implements http.Handler.
func (l *longAnswers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	time.Sleep(30 * time.Millisecond)
	w.Header().Set("Endpoint-Load-Metrics", "TEXT queue=0, util=0.3")
	w.Header().Set("Content-Length", strconv.Itoa(answerSize))
	l.mutex.Lock()
	l.begun[r.Header.Get("X-Trace-Id")] = time.Now()
	l.mutex.Unlock()
	_, _ = io.WriteString(w, longBody) // goes on for as long as the node reads
}

var longBody = strings.Repeat("a long answer...", answerSize/16)

func init() { cases["long-answers"] = playLongAnswers }

// playLongAnswers lets clients ask for rides with long answers, one after the other, and read them for some seconds.
// Without the disruption they read without a pause.
func playLongAnswers(c *run) bool {
	answers := &longAnswers{begun: map[string]time.Time{}}
	d := newDiscovery(startBackends(func(string) http.Handler { return answers }))
	n := startNode(c.directory, d.address, d.whole, nodeOptions{memoryMB: 64, sockets: 1024})
	var clients sync.WaitGroup
	var mutex sync.Mutex
	whole, lost := 0, 0
	for range readerCount {
		clients.Go(func() {
			isWhole, isLost := answers.readSlowly(c, n)
			mutex.Lock()
			defer mutex.Unlock()
			if isWhole {
				whole++
			}
			if isLost {
				lost++
			}
		})
		time.Sleep(readerGap)
	}
	clients.Wait()
	c.logf("of %d rides, %d were answered whole; lost, held back or cut off while their backend gave the answer: %d", readerCount, whole, lost)
	return lost == 0 && whole > 0
}

// readSlowly sends one ride and reads its answer. It reports whether the answer was whole, and whether the request was
// lost: its backend had begun to give the answer, and the node cut that off or held it back for too long.
func (l *longAnswers) readSlowly(c *run, n *node) (whole, lost bool) {
	conn := connect(n)
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	trace, sentAt := newTrace(), time.Now()
	_, err := io.WriteString(conn, ride(trace))
	must(err)
	_ = conn.SetReadDeadline(time.Now().Add(40 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	firstAt, status, length := time.Now(), 0, int64(0)
	if err == nil {
		status = response.StatusCode
		length, err = copySlowly(response.Body, c.trouble)
		_ = response.Body.Close()
	}
	l.mutex.Lock()
	begunAt, begun := l.begun[trace]
	l.mutex.Unlock()
	held := time.Duration(0)
	if begun {
		held = firstAt.Sub(begunAt)
	}
	whole = status == http.StatusOK && length == answerSize && err == nil
	lost = begun && (!whole || held > maxHold)
	c.logf("%s: status %d after %.3f s, %d bytes, %v; its backend began to answer: %v, %.3f s before; lost: %v",
		trace, status, firstAt.Sub(sentAt).Seconds(), length, err, begun, held.Seconds(), lost)
	return whole, lost
}

// copySlowly reads a body piece by piece, with pauses if slow is set, and returns its length.
func copySlowly(body io.Reader, slow bool) (length int64, err error) {
	for {
		n, err := io.CopyN(io.Discard, body, readSize)
		length += n
		if errors.Is(err, io.EOF) {
			return length, nil
		}
		if err != nil {
			return length, err
		}
		if slow {
			time.Sleep(readPause)
		}
	}
}
