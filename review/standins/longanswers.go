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
)

// The load of the case unstated-length.
const (
	unstatedCount = 10 // rides
	unstatedGap   = 100 * time.Millisecond
	unstatedSize  = 300_000
	firstPiece    = 32 << 10                // of the answer, which the backend gives at once
	piecePause    = 2500 * time.Millisecond // from then to the rest
)

// maxHold is how long the node may hold an answer back: 2 s, and every time limit gets 50 ms more.
const maxHold = 2*time.Second + 50*time.Millisecond

func init() {
	cases["long-answers"] = playLongAnswers
	cases["unstated-length"] = playUnstatedLength
}

// longAnswers is what the backends and the clients of a case know of each request, and how long the answers are.
type longAnswers struct {
	size  int
	mutex sync.Mutex
	begun map[string]time.Time // when the backend began to give the answer
}

// begin does the work of a request and records that its answer begins. It reports false if the request is not whole.
func (l *longAnswers) begin(w http.ResponseWriter, r *http.Request) bool {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	time.Sleep(30 * time.Millisecond)
	w.Header().Set("Endpoint-Load-Metrics", "TEXT queue=0, util=0.3")
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.begun[r.Header.Get("X-Trace-Id")] = time.Now()
	return true
}

// playLongAnswers lets clients ask for rides with long answers, one after the other, and read them for some seconds.
// Without the disruption they read without a pause.
func playLongAnswers(c *run) bool {
	answers := &longAnswers{size: answerSize, begun: map[string]time.Time{}}
	text := strings.Repeat("a long answer...", answerSize/16)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(answerSize))
		if answers.begin(w, r) {
			_, _ = io.WriteString(w, text) // goes on for as long as the node reads
		}
	})
	return answers.play(c, handler, readerCount, readerGap, c.trouble)
}

// playUnstatedLength lets backends give long answers without a stated length: a piece at once, and the rest some
// seconds later. Without the disruption they give the rest at once, too.
func playUnstatedLength(c *run) bool {
	answers := &longAnswers{size: unstatedSize, begun: map[string]time.Time{}}
	text := strings.Repeat("a long answer...", unstatedSize/16)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !answers.begin(w, r) {
			return
		}
		_, _ = io.WriteString(w, text[:firstPiece])
		w.(http.Flusher).Flush()
		if c.trouble {
			time.Sleep(piecePause)
		}
		_, err := io.WriteString(w, text[firstPiece:])
		w.(http.Flusher).Flush()
		c.logf("%s: its backend has given the rest, error %v", r.Header.Get("X-Trace-Id"), err)
	})
	return answers.play(c, handler, unstatedCount, unstatedGap, false)
}

// play sends rides, one after the other without waiting for answers, and reports whether none was lost.
func (l *longAnswers) play(c *run, handler http.Handler, count int, gap time.Duration, slowReaders bool) bool {
	d := newDiscovery(startBackends(func(string) http.Handler { return handler }))
	n := startNode(c.directory, d.address, d.whole, nodeOptions{memoryMB: 64, sockets: 1024})
	var clients sync.WaitGroup
	var mutex sync.Mutex
	whole, lost := 0, 0
	for range count {
		clients.Go(func() {
			isWhole, isLost := l.sendRide(c, n, slowReaders)
			mutex.Lock()
			defer mutex.Unlock()
			if isWhole {
				whole++
			}
			if isLost {
				lost++
			}
		})
		time.Sleep(gap)
	}
	clients.Wait()
	c.logf("of %d rides, %d were answered whole; lost, held back or cut off while their backend gave the answer: %d", count, whole, lost)
	return lost == 0 && (whole > 0 || c.trouble)
}

// sendRide sends one ride and reads its answer. It reports whether the answer was whole, and whether the request was
// lost: its backend had begun to give the answer, and the node cut that off or held it back for too long.
func (l *longAnswers) sendRide(c *run, n *node, slowReader bool) (whole, lost bool) {
	conn := connect(n)
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	trace, sentAt := newTrace(), time.Now()
	_, err := io.WriteString(conn, ride(trace))
	must(err)
	_ = conn.SetReadDeadline(time.Now().Add(40 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	firstAt, status, length := time.Now(), 0, 0
	if err == nil {
		status = response.StatusCode
		length, err = copyPieces(response.Body, slowReader)
		_ = response.Body.Close()
	}
	l.mutex.Lock()
	begunAt, begun := l.begun[trace]
	l.mutex.Unlock()
	held := time.Duration(0)
	if begun {
		held = firstAt.Sub(begunAt)
	}
	whole = status == http.StatusOK && length == l.size && err == nil
	lost = begun && (!whole || held > maxHold)
	c.logf("%s: status %d after %.3f s, %d bytes, error %v; its backend began to answer: %v, %.3f s before; lost: %v",
		trace, status, firstAt.Sub(sentAt).Seconds(), length, err, begun, held.Seconds(), lost)
	return whole, lost
}

// copyPieces reads a body piece by piece, with pauses if slow is set, and returns its length.
func copyPieces(body io.Reader, slow bool) (length int, err error) {
	for {
		n, err := io.CopyN(io.Discard, body, readSize)
		length += int(n)
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
