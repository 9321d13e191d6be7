package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The load of the case stop-within-request.
const (
	memoryLimitMB  = 64
	stoppingCount  = 930 // clients that stop in the middle of a request: the node may hold 1,024 descriptors
	stoppingGap    = 1500 * time.Microsecond
	stoppingBody   = 64 << 10 // the longest body that is not a long one
	usualClients   = 4
	usualPause     = 20 * time.Millisecond
	memoryInterval = 10 * time.Millisecond
)

func init() { cases["stop-within-request"] = playStopWithinRequest }

// playStopWithinRequest lets many clients send all but the last byte of a request and stay. Without the disruption they
// send the last byte, too. Meanwhile usual clients send rides. The platform kills a node that is over its memory limit.
func playStopWithinRequest(c *run) bool {
	d := newDiscovery(startBackends(rideBackend(c, 30*time.Millisecond)))
	n := startNode(c.directory, d.address, d.whole, nodeOptions{memoryMB: memoryLimitMB, sockets: 1024})
	c.logf("limit %d KB, after the start %s", memoryLimitMB<<10, n.memory())
	stop := make(chan struct{})
	var usual, stopping sync.WaitGroup
	var lost atomic.Int64
	for range usualClients {
		usual.Go(func() { lost.Add(int64(sendRides(c, n, stop))) })
	}
	time.Sleep(time.Second)
	killed := make(chan bool)
	go func() { killed <- n.enforceMemory(c, stop) }()
	answers := [6]atomic.Int64{}
	for range stoppingCount {
		stopping.Go(func() { answers[sendLongRequest(n, c.trouble)].Add(1) })
		time.Sleep(stoppingGap)
	}
	stopping.Wait()
	close(stop)
	usual.Wait()
	c.logf("clients with a long body: %d without an answer, answered 2xx: %d, 4xx: %d, 5xx: %d",
		answers[0].Load(), answers[2].Load(), answers[4].Load(), answers[5].Load())
	wasKilled := <-killed
	c.logf("rides without an answer: %d; killed for memory: %v; the node runs: %v", lost.Load(), wasKilled, n.running())
	return !wasKilled && n.running() && lost.Load() == 0
}

// sendLongRequest sends a request with a long body, without its last byte if stops is set, and stays for 4 s. It
// returns the first digit of the answer's status, or 0 if there is none.
func sendLongRequest(n *node, stops bool) int {
	conn, err := dial(n)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	extra := "X-Note: " + strings.Repeat("n", 4000) + "\r\n"
	text := head(fareSettle, newTrace(), 3000, stoppingBody, extra) + strings.Repeat("x", stoppingBody)
	if stops {
		text = text[:len(text)-1]
	}
	_, _ = io.WriteString(conn, text) // a break shows below
	status, _, err := readAnswer(conn, bufio.NewReader(conn), 4*time.Second)
	if err != nil {
		return 0
	}
	return status / 100
}

// sendRides sends one ride after the other on one connection until stop is closed, and returns how many that were sent
// whole had no answer.
func sendRides(c *run, n *node, stop chan struct{}) (lost int) {
	conn := connect(n)
	reader := bufio.NewReader(conn)
	for {
		select {
		case <-stop:
			return lost
		case <-time.After(usualPause):
		}
		trace := newTrace()
		if _, err := io.WriteString(conn, ride(trace)); err != nil {
			c.logf("%s could not be sent: %v", trace, err)
			return lost
		}
		status, _, err := readAnswer(conn, reader, 5*time.Second)
		if err != nil {
			c.logf("%s was sent and has no answer: %v", trace, err)
			return lost + 1
		}
		c.logf("%s answered %d", trace, status)
	}
}

// statusKB returns a figure of the process's status, in KB.
func (n *node) statusKB(name string) (value int) {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid)) // after its end: 0
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, name+":"); ok {
			_, _ = fmt.Sscan(rest, &value)
		}
	}
	return value
}

// memory describes the memory that the process uses.
func (n *node) memory() string {
	return fmt.Sprintf("%d KB, of these %d KB without files", n.statusKB("VmRSS"), n.statusKB("RssAnon"))
}

// enforceMemory kills the process once it uses more memory than its limit, and reports whether it has. Files are left
// out, so that the check is no stricter than the platform's. It returns when stop is closed.
func (n *node) enforceMemory(c *run, stop chan struct{}) bool {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return false
		case <-time.After(memoryInterval):
		}
		if n.statusKB("RssAnon") > memoryLimitMB<<10 {
			c.logf("over the limit with %s: killed", n.memory())
			n.signal(syscall.SIGKILL)
			return true
		}
		if i%25 == 0 {
			c.logf("%s", n.memory())
		}
	}
}
