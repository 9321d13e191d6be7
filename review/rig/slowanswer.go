package main

import (
	"bytes"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"sync"
	"time"
)

// Parameters of the case "slow-answer".
const (
	slowFirst    = 70_000  // the first piece of a long answer, which alone is over 64 KiB
	slowTotal    = 300_000 // the whole body of a long answer
	slowPause    = 2500 * time.Millisecond
	slowWork     = 80 * time.Millisecond // time that a backend works on a request
	slowRequests = 45
	slowInterval = 200 * time.Millisecond
	slowEvery    = 3 // every third answer is long
	slowWait     = 8 * time.Second
)

// slowRun is the state of a run: how backends have answered, by trace ID, and what clients have seen.
type slowRun struct {
	rig     *rig
	address string // of the node
	body    []byte // of a long answer

	mutex        sync.Mutex
	answers      int
	long         map[string]time.Duration // time from the arrival of a request to the first bytes of its long answer
	served, lost int
}

// serve works on a request and answers it: every third time with a long body in chunks, the first of which comes at once.
func (s *slowRun) serve(b *backend, conn *backendConn, request received) bool {
	time.Sleep(slowWork)
	s.mutex.Lock()
	s.answers++
	isLong := s.answers%slowEvery == 0
	if isLong {
		s.long[request.trace] = time.Since(request.at)
	}
	s.mutex.Unlock()
	if !isLong {
		_, err := io.WriteString(conn, servedAnswer(b, request))
		return err == nil
	}
	err := writeChunk(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", s.body[:slowFirst], "")
	b.record.add("backend %s answers 200 to %s and has written the first %d of %d bytes, error %v", b.uid, request.trace, slowFirst, slowTotal, err)
	if s.rig.trouble {
		time.Sleep(slowPause)
	}
	if err == nil {
		err = writeChunk(conn, "", s.body[slowFirst:], "0\r\n\r\n")
	}
	b.record.add("backend %s has written the rest of the answer to %s, error %v", b.uid, request.trace, err)
	return err == nil
}

// writeChunk writes a chunk, with what goes before and behind it.
func writeChunk(w io.Writer, before string, data []byte, behind string) error {
	var text bytes.Buffer
	_, _ = fmt.Fprintf(&text, "%s%x\r\n", before, len(data))
	_, _ = text.Write(data)
	_, _ = fmt.Fprintf(&text, "\r\n%s", behind)
	_, err := w.Write(text.Bytes())
	return err
}

// playSlowAnswer has clients send ride-starts, one on each connection. Every third answer is long, and with the disruption
// its backend takes some seconds to write it.
func playSlowAnswer(r *rig) (bool, error) {
	s := &slowRun{rig: r, body: bytes.Repeat([]byte("0123456789"), slowTotal/10), long: map[string]time.Duration{}}
	nodes, err := r.deploy(deploymentOptions{site: siteKolkata, backends: 6, nodes: 1, serve: s.serve})
	if err != nil {
		return false, err
	}
	s.address = nodes[0].listen
	time.Sleep(time.Second)
	var clients sync.WaitGroup
	for range slowRequests {
		clients.Go(s.client)
		time.Sleep(slowInterval)
	}
	clients.Wait()
	r.record.say("long answers that backends gave: %d; passed on whole: %d, cut off: %d", len(s.long), s.served, s.lost)
	return s.lost > 0, nil
}

// client sends one request and reads its answer.
func (s *slowRun) client() {
	c, err := dialNode(s.address)
	if err != nil {
		s.rig.record.say("no connection to the node: %v", err)
		return
	}
	defer c.close()
	request := newCall("ride-start", "a scooter")
	request.obj = mathrand.Uint64()
	started := time.Now()
	if _, err = io.WriteString(c.conn, request.text()); err != nil {
		s.rig.record.say("%s could not be written: %v", request.trace, err)
		return
	}
	answer, err := c.read(slowWait)
	s.rig.record.add("client of %s got %d with %d bytes after %v, error %v", request.trace, answer.status, len(answer.body), time.Since(started), err)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	begun, isLong := s.long[request.trace]
	switch {
	case !isLong:
	case err == nil && answer.status == 200 && answer.body == string(s.body):
		s.served++
	default:
		s.lost++
		s.rig.record.say("%s ran, its backend began to answer 200 after %v, and its client got %d with %d bytes after %v",
			request.trace, begun.Round(time.Millisecond), answer.status, len(answer.body), time.Since(started).Round(time.Millisecond))
	}
}
