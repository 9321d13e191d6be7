package main

import (
	"bufio"
	"io"
	"sync"
	"syscall"
	"time"
)

// The load of the case many-at-shutdown.
const (
	shutdownConns = 10                     // clients
	shutdownCount = 6                      // rides that each of them sends at once
	shutdownAfter = 50 * time.Millisecond  // from then to SIGTERM
	shutdownWork  = 150 * time.Millisecond // of a ride at its backend
	killAllowed   = 4 * time.Second        // from SIGTERM to SIGKILL, which is allowed after 3.7 s
)

func init() { cases["many-at-shutdown"] = playManyAtShutdown }

// playManyAtShutdown lets clients send some rides at once, and then tells the node to end. Without the disruption the
// node goes on. All rides are on their way to the node long before it is told.
func playManyAtShutdown(c *run) bool {
	d := newDiscovery(startBackends(rideBackend(c, shutdownWork)))
	n := startNode(c.directory, d.address, d.whole, nodeOptions{memoryMB: 192, sockets: 1024})
	var clients sync.WaitGroup
	var mutex sync.Mutex
	lost := 0
	for range shutdownConns {
		clients.Go(func() {
			unanswered := sendAtOnce(c, n)
			mutex.Lock()
			defer mutex.Unlock()
			lost += unanswered
		})
	}
	time.Sleep(shutdownAfter)
	if c.trouble {
		terminate(c, n)
	}
	clients.Wait()
	c.logf("of %d rides, sent before SIGTERM and without an answer: %d", shutdownConns*shutdownCount, lost)
	return lost == 0
}

// sendAtOnce sends some rides on one connection in one write, and returns how many of them had no answer.
func sendAtOnce(c *run, n *node) (lost int) {
	conn := connect(n)
	defer func() { _ = conn.Close() }()
	text, traces := "", []string{}
	for range shutdownCount {
		trace := newTrace()
		traces = append(traces, trace)
		text += ride(trace)
	}
	_, err := io.WriteString(conn, text)
	must(err)
	c.logf("%s to %s sent", traces[0], traces[len(traces)-1])
	reader := bufio.NewReader(conn)
	for _, trace := range traces {
		status, body, err := readAnswer(conn, reader, answerWait)
		c.logf("%s answered %d %q, error %v", trace, status, body, err)
		if err != nil {
			lost++
		}
	}
	return lost
}

// terminate sends the node SIGTERM, and SIGKILL a little later than the pages allow.
func terminate(c *run, n *node) {
	n.signal(syscall.SIGTERM)
	c.logf("SIGTERM")
	go func() {
		select {
		case <-n.exited:
			c.logf("the node has ended")
		case <-time.After(killAllowed):
			c.logf("SIGKILL")
			n.signal(syscall.SIGKILL)
		}
	}()
}
