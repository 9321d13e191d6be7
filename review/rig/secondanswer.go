package main

import (
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case second-answer: some answers of backends come twice, the second time some milliseconds late, unless the next
// request on the connection has reached the backend by then. Each client sends one request at a time, and the next one
// when it has the answer, some in a row about the same ride.
const (
	secondAnswerNodes    = 3
	secondAnswerBackends = 12
	secondAnswerClients  = 4 // of each node
	callsPerRide         = 4
	repeatedShare        = 0.01 // of the answers come twice
	repeatedAfter        = 2 * time.Millisecond
	repeatedWithin       = 8 * time.Millisecond // latest time of the second answer after the first
	backendCores         = 4
	secondAnswerDuration = 90 * time.Second
	enoughForeign        = 30 // the run ends early after as many foreign answers
)

// secondAnswerRun counts what the clients of a run have got.
type secondAnswerRun struct {
	*rig
	answered, refused, repeated, foreign atomic.Int64
}

func playSecondAnswer(r *rig) (bool, error) {
	s := &secondAnswerRun{rig: r}
	nodes, err := r.deploy(deploymentOptions{site: siteKolkata, backends: secondAnswerBackends, nodes: secondAnswerNodes, serve: s.serve})
	if err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	end := time.Now().Add(secondAnswerDuration)
	for _, n := range nodes {
		for range secondAnswerClients {
			clients.Go(func() {
				for time.Now().Before(end) && s.foreign.Load() < enoughForeign {
					s.ride(n)
				}
			})
		}
	}
	clients.Wait()
	r.record.say("%d answers 200, %d others; %d answers came twice; %d clients got the answer to another request",
		s.answered.Load(), s.refused.Load(), s.repeated.Load(), s.foreign.Load())
	return s.foreign.Load() > 0, nil
}

// serve works on a request and answers it. A small share of the answers comes twice.
func (s *secondAnswerRun) serve(b *backend, conn *backendConn, request received) bool {
	answer := turnedAwayAnswer
	if b.takeCore(backendCores) {
		s.record.add("backend %s runs %s", b.uid, request.trace)
		time.Sleep(60*time.Millisecond + rand.N(50*time.Millisecond))
		b.freeCore()
		answer = servedAnswer(b, request)
	}
	if _, err := conn.Write([]byte(answer)); err != nil {
		return false
	}
	s.record.add("backend %s answered %s", b.uid, request.trace)
	if s.trouble && rand.Float64() < repeatedShare {
		requests := conn.requests.Load()
		time.AfterFunc(repeatedAfter+rand.N(repeatedWithin-repeatedAfter), func() {
			if conn.requests.Load() != requests {
				return // the next request has reached the backend
			}
			s.repeated.Add(1)
			_, err := conn.Write([]byte(answer))
			s.record.add("backend %s answered %s a second time: %v", b.uid, request.trace, err)
		})
	}
	return true
}

// ride sends the requests of one ride, one after the other, on a connection of its own.
func (s *secondAnswerRun) ride(n *node) {
	c, err := dialNode(n.listen)
	if err != nil {
		s.record.add("client: %v", err)
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer c.close()
	obj := rand.Uint64()
	for range callsPerRide {
		one := newCall(drawClass(), "hi")
		one.obj = obj
		s.record.add("client sent %s %s", one.class, one.trace)
		if _, err := c.conn.Write([]byte(one.text())); err != nil {
			return
		}
		got, err := c.read(one.expires + time.Second)
		if err != nil {
			s.record.add("client got no answer to %s: %v", one.trace, err)
			return
		}
		s.check(one, got)
		if got.last {
			return
		}
	}
}

// check checks that the body of an answer 200 is what a backend has made for the request.
func (s *secondAnswerRun) check(one call, got reply) {
	s.record.add("client got %d to %s: %s", got.status, one.trace, strings.TrimSpace(got.body))
	switch {
	case got.status != 200:
		s.refused.Add(1)
	case strings.HasPrefix(got.body, one.trace+" "):
		s.answered.Add(1)
	default:
		s.answered.Add(1)
		s.foreign.Add(1)
		s.record.say("foreign answer: %s %s got %q", one.class, one.trace, strings.TrimSpace(got.body))
	}
}

// drawClass draws a class in the shares of kolkata-rides.
func drawClass() string {
	switch p := rand.Float64(); {
	case p < 0.56:
		return "map-read"
	case p < 0.78:
		return "ride-start"
	}
	return "fare-settle"
}
