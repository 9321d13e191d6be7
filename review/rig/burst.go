package main

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
	"time"
)

// Sizes of the case "burst".
const (
	burstRounds    = 6       // clients, one after the other
	burstLongBody  = 100_000 // over the 64 KiB that a node buffers
	burstBody      = 60_000
	burstWork      = 100 * time.Millisecond // time that a backend works on a request
	burstGap       = 600 * time.Millisecond // from the first burst of a client to its second
	burstAnswerEnd = 5 * time.Second        // the longest deadline, and the half second after it, and some more
)

// burstRuns holds the requests that were sent and those that backends have run, by trace ID.
type burstRuns struct {
	mutex sync.Mutex
	sent  map[string]string // the digest of the body that the client sent
	ran   map[string]string // the digest of the body that a backend received
}

// digest names a body in the record.
func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return fmt.Sprintf("%d bytes %s", len(body), hex.EncodeToString(sum[:4]))
}

// serve works on a request and answers with the digest of the body that it has received.
func (s *burstRuns) serve(b *backend, conn *backendConn, request received) bool {
	s.mutex.Lock()
	s.ran[request.trace] = digest(request.body)
	sent, known := s.sent[request.trace]
	s.mutex.Unlock()
	b.record.add("backend %s runs %s with a body of %s; its client sent %s", b.uid, request.trace, digest(request.body), sent)
	if !known {
		b.record.add("no client has sent %s", request.trace)
	}
	time.Sleep(burstWork)
	body := fmt.Sprintf("%s ran with %s\n", request.trace, digest(request.body))
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// newRide returns a ride-start with a random body of the given size, and notes it as sent.
func (s *burstRuns) newRide(size int) call {
	body := make([]byte, size)
	_, _ = rand.Read(body) // never fails
	c := newCall("ride-start", string(body))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sent[c.trace] = digest(body)
	return c
}

// burstResult counts what the clients of a run have seen.
type burstResult struct{ answered, unanswered, altered, foreign int }

// playBurst has clients send a read, a ride-start with a long body and some ride-starts with short ones. With the
// disruption a client sends them in two bursts without waiting for answers, and without it one at a time.
func playBurst(r *rig) (bool, error) {
	s := &burstRuns{sent: map[string]string{}, ran: map[string]string{}}
	nodes, err := r.deploy(deploymentOptions{site: siteKolkata, backends: 6, nodes: 1, serve: s.serve})
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	var total burstResult
	for range burstRounds {
		read := newCall("map-read", "")
		s.mutex.Lock()
		s.sent[read.trace] = digest(nil)
		s.mutex.Unlock()
		calls := []call{read, s.newRide(burstLongBody), s.newRide(burstBody), s.newRide(burstBody), s.newRide(burstBody), s.newRide(burstBody)}
		if err := s.playClient(r, nodes[0].listen, calls, &total); err != nil {
			return false, err
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for trace, ran := range s.ran {
		if ran != s.sent[trace] {
			total.altered++
			r.record.say("%s ran with a body that no client sent: %s, sent was %s", trace, ran, s.sent[trace])
		}
	}
	r.record.say("requests sent %d, answered %d, never answered %d, run with another body %d, answered 200 for another body %d",
		len(s.sent), total.answered, total.unanswered, total.altered, total.foreign)
	return total.unanswered > 0 || total.altered > 0 || total.foreign > 0, nil
}

// playClient sends the calls on one connection and reads the answers, which come in the order of the calls.
func (s *burstRuns) playClient(r *rig, address string, calls []call, total *burstResult) error {
	c, err := dialNode(address)
	if err != nil {
		return err
	}
	defer c.close()
	if r.trouble {
		const firstBurst = 5
		go func() {
			text := ""
			for _, one := range calls[:firstBurst] {
				text += one.text()
			}
			_, _ = c.conn.Write([]byte(text)) // a failure shows in the answers
			r.record.add("client sent %d requests at once, %d bytes", firstBurst, len(text))
			time.Sleep(burstGap)
			_, err := c.conn.Write([]byte(calls[firstBurst].text()))
			r.record.add("client sent %s, error %v", calls[firstBurst].trace, err)
		}()
	}
	for i, one := range calls {
		if !r.trouble {
			if _, err := c.conn.Write([]byte(one.text())); err != nil {
				return err
			}
			r.record.add("client sent %s", one.trace)
		}
		answer, err := c.read(burstAnswerEnd)
		if err != nil {
			r.record.say("%d of %d requests of a connection had no answer when the node ended it: %v", len(calls)-i, len(calls), err)
			total.unanswered += len(calls) - i
			return nil
		}
		total.answered++
		s.mutex.Lock()
		want := fmt.Sprintf("%s ran with %s\n", one.trace, s.sent[one.trace])
		s.mutex.Unlock()
		r.record.add("answer %d to %s: %q", answer.status, one.trace, answer.body)
		if answer.status == 200 && answer.body != want {
			total.foreign++
		}
	}
	return nil
}
