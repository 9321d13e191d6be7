package main

import (
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The case restart: a node gets SIGTERM, half of the backends hang from then on, and some clients write their requests
// slowly, so that they come 0.9 to 1.1 s after the signal. SIGKILL follows as early as the platform may send it.
const (
	restartBackends = 6
	restartClients  = 60
	restartWork     = 60 * time.Millisecond
	requestBegins   = 200 * time.Millisecond // after SIGTERM, for the first client
	requestEnds     = 900 * time.Millisecond // the same
	clientInterval  = 3 * time.Millisecond   // between two clients
	killedAfter     = 3700 * time.Millisecond
)

// restartRun counts what becomes of the requests of a run.
type restartRun struct {
	*rig
	hanging              atomic.Bool
	terminatedAt         time.Time
	answered, lost, gone atomic.Int64
}

func playRestart(r *rig) (bool, error) {
	s := &restartRun{rig: r}
	nodes, err := r.deploy(deploymentOptions{site: siteDesks, backends: restartBackends, nodes: 1, serve: s.serve})
	if err != nil {
		return false, err
	}
	n := nodes[0]
	var clients []*client
	for range restartClients {
		c, err := dialNode(n.listen)
		if err != nil {
			return false, err
		}
		defer c.close()
		if got, err := s.ask(c); err != nil || got.status != 200 { // the node has served all of them before
			return false, err
		}
		clients = append(clients, c)
	}
	time.Sleep(200 * time.Millisecond)
	s.hanging.Store(r.trouble)
	if err := n.process.Process.Signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	s.terminatedAt = time.Now()
	r.record.say("SIGTERM")
	time.AfterFunc(killedAfter, func() {
		r.record.say("SIGKILL")
		_ = n.process.Process.Kill() // fails if it has ended
	})
	var group sync.WaitGroup
	for i, c := range clients {
		group.Go(func() { s.writeSlowly(c, time.Duration(i)*clientInterval) })
	}
	group.Wait()
	r.record.say("%d requests answered, %d lost, %d not taken", s.answered.Load(), s.lost.Load(), s.gone.Load())
	return s.lost.Load() > 0, nil
}

// serve answers a request. Every other backend hangs from SIGTERM on.
func (s *restartRun) serve(b *backend, conn *backendConn, request received) bool {
	s.record.add("backend %s runs %s", b.uid, request.trace)
	time.Sleep(restartWork)
	if s.hanging.Load() && (b.uid[len(b.uid)-1]-'0')%2 == 0 {
		s.record.add("backend %s hangs with %s", b.uid, request.trace)
		time.Sleep(longestRun)
		return false
	}
	_, err := conn.Write([]byte(servedAnswer(b, request)))
	s.record.add("backend %s answered %s: %v", b.uid, request.trace, err)
	return err == nil
}

func newAvailabilityCall() call {
	one := newCall("availability", "")
	one.tenant, one.obj = "tatra-space", rand.Uint64()
	return one
}

// ask sends a request and reads its answer.
func (s *restartRun) ask(c *client) (reply, error) {
	one := newAvailabilityCall()
	if _, err := io.WriteString(c.conn, one.text()); err != nil {
		return reply{}, err
	}
	return c.read(one.expires)
}

// writeSlowly sends a request in two halves, on a connection on which the node has answered before, and counts the request
// as lost if it gets no whole answer although all of it was written while the node had the connection open.
func (s *restartRun) writeSlowly(c *client, offset time.Duration) {
	one := newAvailabilityCall()
	text := one.text()
	for _, half := range []struct {
		after time.Duration
		text  string
	}{{requestBegins, text[:len(text)/2]}, {requestEnds, text[len(text)/2:]}} {
		time.Sleep(time.Until(s.terminatedAt.Add(half.after + offset)))
		if c.closedByNode() {
			s.gone.Add(1)
			s.record.add("the node has closed the connection of %s before its request was whole", one.trace)
			return
		}
		if _, err := io.WriteString(c.conn, half.text); err != nil {
			s.gone.Add(1)
			s.record.add("client could not write %s: %v", one.trace, err)
			return
		}
	}
	sent := time.Since(s.terminatedAt).Round(time.Millisecond)
	s.record.add("client sent %s, whole %v after SIGTERM", one.trace, sent)
	got, err := c.read(2 * one.expires)
	after := time.Since(s.terminatedAt).Round(time.Millisecond)
	if err == nil {
		s.answered.Add(1)
		s.record.add("client got %d to %s %v after SIGTERM", got.status, one.trace, after)
		return
	}
	s.lost.Add(1)
	s.record.say("lost: %s, whole %v after SIGTERM, got no answer; %v after SIGTERM: %v", one.trace, sent, after, err)
}
