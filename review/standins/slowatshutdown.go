package main

import (
	"bufio"
	"io"
	"sync"
	"time"
)

// The load of the case slow-at-shutdown.
const (
	slowWriters   = 8
	slowPieces    = 19
	slowPause     = 100 * time.Millisecond // after each piece but the last: the head takes 1.8 s
	firstSlowHead = 250 * time.Millisecond // after SIGTERM
	slowHeadGap   = 25 * time.Millisecond
)

func init() { cases["slow-at-shutdown"] = playSlowAtShutdown }

// playSlowAtShutdown lets clients write their rides slowly, each on a connection that it keeps, beginning 0.25 to 0.43 s
// after the node was told to end. Without the disruption the node goes on.
func playSlowAtShutdown(c *run) bool {
	d := newDiscovery(startBackends(rideBackend(c, 30*time.Millisecond)))
	n := startNode(c.directory, d.address, d.whole, nodeOptions{memoryMB: 192, sockets: 1024})
	var clients sync.WaitGroup
	var mutex sync.Mutex
	lost := 0
	told := make(chan struct{})
	var ready sync.WaitGroup
	ready.Add(slowWriters)
	for i := range slowWriters {
		clients.Go(func() {
			if !writeSlowly(c, n, &ready, told, firstSlowHead+time.Duration(i)*slowHeadGap) {
				mutex.Lock()
				lost++
				mutex.Unlock()
			}
		})
	}
	ready.Wait()
	if c.trouble {
		terminate(c, n)
	}
	close(told)
	clients.Wait()
	c.logf("rides that were written whole and have no answer: %d", lost)
	return lost == 0
}

// writeSlowly sends a first ride at once and, some time after told is closed, a second one slowly on the same
// connection. It reports whether the second one had an answer, unless it could not be written whole.
func writeSlowly(c *run, n *node, ready *sync.WaitGroup, told chan struct{}, delay time.Duration) bool {
	conn := connect(n)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	_, err := io.WriteString(conn, ride(newTrace()))
	must(err)
	_, _, err = readAnswer(conn, reader, answerWait)
	must(err)
	ready.Done()
	<-told
	time.Sleep(delay)
	trace := newTrace()
	text := ride(trace)
	c.logf("%s begins", trace)
	for i := range slowPieces {
		if i > 0 {
			time.Sleep(slowPause)
		}
		if _, err := io.WriteString(conn, text[len(text)*i/slowPieces:len(text)*(i+1)/slowPieces]); err != nil {
			c.logf("%s could not be written whole: %v", trace, err)
			return true
		}
	}
	c.logf("%s is written whole", trace)
	status, body, err := readAnswer(conn, reader, answerWait)
	c.logf("%s answered %d %q, error %v", trace, status, body, err)
	return err == nil
}
