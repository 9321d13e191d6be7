package node

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"tulipglade/internal/protocol"
)

// narrow is a client that takes in little before it reads.
func narrow(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		})
	}}
	conn, err := d.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn.(*net.TCPConn)
}

// A connection that closes behind its answer is shut first: what its client sends meanwhile must not reset it, as the rest of the answer
// would go with it.
func TestLastAnswerSurvivesWhatComesBehindIt(t *testing.T) {
	body := strings.Repeat("x", 60<<10)
	app := newByHand(t, 0)
	n, addr := start(t, app.targets(), nil)
	conn := narrow(t, addr)
	_, _ = io.WriteString(conn, strings.Replace(text("read", 9000), "\r\n", "\r\nConnection: close\r\n", 1))
	host, _ := app.take()
	ok(host, body)
	until(n, func() bool { return n.lingeringClients.Len() == 1 || len(n.clients) == 0 }) // its last byte is with the system
	_, _ = io.WriteString(conn, text("read", 9000))
	until(n, func() bool {
		for c := range n.clients {
			return c.discardedBytes > 0
		}
		return true
	})
	got, err := io.ReadAll(conn)
	if err != nil || !strings.HasSuffix(string(got), body) {
		t.Errorf("%d bytes, %v", len(got), err)
	}
}

// A request that crosses the end of its connection is not sent on, whatever ended that, and its client sees the end without an answer:
// it asks once more elsewhere.
func TestRequestAcrossTheEndIsNotSentOn(t *testing.T) {
	for name, end := range map[string]func(*Node, *clientConn){
		"a stop":    func(n *Node, _ *clientConn) { n.closeIdleClients() },
		"long idle": func(n *Node, c *clientConn) { c.idleSince = n.now() - maxClientIdleTime; n.closeStalledClients() },
		"too many": func(n *Node, c *clientConn) {
			for k := range (reservedDescriptors + minServingDescriptors) / idleClientFraction { // one more than may be idle, each used later
				other := &clientConn{node: n, hasSentRequest: true}
				other.conn, other.idleSince = c.conn, n.now()+int64(k)
				n.clients[other] = struct{}{}
				n.openDescriptors++
				other.setIdle(true)
				defer func() { other.setIdle(false); delete(n.clients, other); n.openDescriptors-- }()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			app := newApp(t, serve)
			n, addr := start(t, app.targets(), func(s *Settings) { s.MaxDescriptors = reservedDescriptors + minServingDescriptors })
			conn := dial(t, addr)
			if code, _, _ := conn.ask(text("read", 9000)); code != 200 {
				t.Fatal(code)
			}
			until(n, func() bool { return n.idleClients.Len() == 1 })
			var shut *clientConn
			on(n, func() {
				shut = n.idleClients.Front().Value.(*clientConn)
				end(n, shut)
				if !shut.lingering {
					t.Error("not shut")
				}
			})
			_, _ = io.WriteString(conn, text("once", 9000))
			until(n, func() bool { return shut.discardedBytes > 0 || shut.closed || n.openRequests > 0 })
			on(n, func() {
				if n.openRequests > 0 || len(n.requests) > 0 {
					t.Error("taken")
				}
			})
			if b, err := conn.r.ReadByte(); !errors.Is(err, io.EOF) {
				t.Errorf("read %q, %v, want the end", b, err)
			}
			if k := app.seen.Load(); k != 1 {
				t.Errorf("%d requests at the host, want the first alone", k)
			}
		})
	}
}

// A process that ends resets what its clients have not read: it waits for that, and for no client that never reads.
func TestStopWaitsForLastAnswersToBeRead(t *testing.T) {
	n, addr := start(t, newApp(t, serve).targets(), nil)
	conn := dial(t, addr)
	conn.ask(ready)
	until(n, func() bool { return n.idleClients.Len() == 1 }) // the answer may overtake the writer's word
	ended := make(chan struct{})
	on(n, func() {
		n.startDraining("draining")
		n.idleClients.Front().Value.(*clientConn).closeGracefully(closeDraining)
		n.drain.answersDueBy = n.now() + 3_600_000_000
		n.drain.onDrained = func() { close(ended) }
		n.checkDrained()
		if n.drain.onDrained == nil {
			t.Error("a connection that was shut is not waited for")
		}
	})
	_ = conn.Close()
	<-ended // once it is gone
	on(n, func() {
		if n.lingeringClients.Len() > 0 {
			t.Error("ended before")
		}
	})
}

// Connections that have been shut make room like any other, last of all.
func TestShutConnectionsMakeRoom(t *testing.T) {
	n, addr := start(t, newApp(t, serve).targets(), func(s *Settings) { s.MaxDescriptors = reservedDescriptors + minServingDescriptors })
	var all []*caller
	for range minServingDescriptors {
		c := dial(t, addr)
		c.ask(ready)
		all = append(all, c)
	}
	until(n, func() bool { return len(n.clients) > 0 })
	on(n, func() { n.closeIdleClients() })
	for k, c := range all { // rubbish on each, so that none is clean
		_, _ = fmt.Fprint(c, "rubbish ", k)
	}
	for range minServingDescriptors {
		c := dial(t, addr)
		if code, _, _ := c.ask(text("read", 9000)); code != 200 {
			t.Fatal(code)
		}
	}
}

// A connection that is shut after a large request whose answer came early is back with the poller by then: what comes behind is read and
// dropped there, too.
func TestEarlyAnsweredUploadIsShut(t *testing.T) {
	body := noiseOf(1, 4<<20)
	a := newApp(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(503)
	})
	n, addr := start(t, a.targets(), nil)
	conn := dial(t, addr)
	_, _ = io.WriteString(conn, post("once", "Content-Length: "+strconv.Itoa(len(body))))
	_, _ = conn.Write(body[:3<<20])
	if code, _, _ := conn.answer(); code != 503 {
		t.Fatal(code)
	}
	_, _ = conn.Write(body[3<<20:])
	until(n, func() bool { return n.lingeringClients.Len() == 1 || len(n.clients) == 0 })
	_, _ = io.WriteString(conn, text("once", 9000))
	dropped := 0
	until(n, func() bool {
		for c := range n.clients {
			dropped = c.discardedBytes
		}
		return dropped > 0 || len(n.clients) == 0
	})
	if dropped == 0 {
		t.Error("closed in one step")
	}
	if b, err := conn.r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("read %q, %v, want the end", b, err)
	}
}

// The end of a process is told to every client before it comes: to one that has asked nothing yet, to one that has sent a part of a request, to
// one that comes in that moment. None of them is reset, and nothing that crosses this is taken.
func TestStopShutsEveryConnection(t *testing.T) {
	app := newApp(t, serve)
	n, addr := start(t, app.targets(), nil)
	silent, part := dial(t, addr), dial(t, addr)
	_, _ = io.WriteString(part, text("once", 9000)[:30])
	until(n, func() bool { return len(n.clients) == 2 && n.hasIncomingRequest() })
	ended := make(chan struct{})
	n.Drain(0, func() { close(ended) })
	age(n, idleCloseDelay)
	on(n, func() {
		for c := range n.clients { // they have come long ago
			c.requestStartedAt -= idleCloseDelay
		}
		n.drain.partialRequestsUntil, n.drain.answersDueBy = 0, n.now()+3_600_000_000
	})
	until(n, func() bool { return n.drain.closingAll })
	on(n, func() { n.drain.generation++ }) // nothing that is looked at now and then comes to the help
	late := dial(t, addr)
	for name, conn := range map[string]*caller{"silent": silent, "part of a request": part, "late": late} {
		if b, err := conn.r.ReadByte(); !errors.Is(err, io.EOF) {
			t.Fatalf("%s: read %q, %v, want the end", name, b, err)
		}
		_, _ = io.WriteString(conn, text("once", 9000))
	}
	until(n, func() bool {
		for c := range n.clients {
			if c.discardedBytes == 0 && n.drain.onDrained != nil {
				return false
			}
		}
		return len(n.clients) == 3 || n.drain.onDrained == nil
	})
	on(n, func() {
		if n.openRequests > 0 || app.seen.Load() > 0 || n.drain.onDrained == nil {
			t.Errorf("%d requests taken, ended %v, with %d connections", n.openRequests, n.drain.onDrained == nil, len(n.clients))
		}
	})
	for _, conn := range []*caller{silent, part, late} {
		_ = conn.Close()
	}
	<-ended
}

// How long a stop may take follows from the longest deadline there is, 3 s at most: 0.7 s after that the process may be killed.
func TestStopEndsBeforeItIsKilled(t *testing.T) {
	for name, test := range map[string]struct{ deadline, killed int64 }{
		"short deadlines": {390_000, 1_090_000},
		"long deadlines":  {10_000_000, 3_700_000},
	} {
		t.Run(name, func(t *testing.T) {
			n, _ := start(t, nil, func(s *Settings) {
				for i := range s.Balancer.Classes {
					s.Balancer.Classes[i].Deadline, s.Balancer.Classes[i].LatencyObjective = test.deadline, test.deadline
				}
			})
			ended := make(chan struct{})
			n.Drain(0, func() { close(ended) })
			on(n, func() {
				if end, partly := n.drain.answersDueBy-n.drain.stopRequestedAt, n.drain.partialRequestsUntil-n.drain.stopRequestedAt; end != test.killed-finalAnswerMargin || partly > test.killed-partialRequestMargin {
					t.Errorf("ends %d us after the word, waits %d us for what comes in", end, partly)
				}
			})
			<-ended
		})
	}
}

// A request that comes long after the word to end, on a connection that stayed open, has its answer before the process can be killed, whatever
// its client and its host would grant: who came in the first 0.7 s may be cut off, no other.
func TestRequestLateInAStopHasItsAnswerInTime(t *testing.T) {
	for name, after := range map[string]int64{"late": killGrace, "in time": 0} {
		t.Run(name, func(t *testing.T) {
			app := newByHand(t, 0)
			n, addr := start(t, app.targets(), nil)
			conn := dial(t, addr)
			request := text("read", 9000)
			_, _ = io.WriteString(conn, request[:30])
			until(n, func() bool { return n.hasIncomingRequest() })
			ended := make(chan struct{})
			n.Drain(0, func() { close(ended) })
			on(n, func() { n.drain.stopRequestedAt, n.drain.answersDueBy = n.now()-after, n.now()+2_000_000 })
			_, _ = io.WriteString(conn, request[30:])
			host, _ := app.take()
			on(n, func() {
				for _, r := range n.requests {
					if capped := r.deadline == n.drain.answersDueBy; capped != (after > 0) {
						t.Errorf("has until %d us from the end", r.deadline-n.drain.answersDueBy)
					}
				}
			})
			if after == 0 {
				ok(host, "served")
			} // else the host never answers
			if code, _, closing := conn.answer(); (code == 200) != (after == 0) || !closing {
				t.Errorf("%d, closing %v", code, closing)
			}
			<-ended
		})
	}
}

// A host that speaks as its connection comes up, before Run's goroutine has heard of that: the connection closes, and its descriptor counts back
// once. Counted back twice, the node would believe that it holds fewer than it does, until the system gives it no more.
func TestHostThatSpeaksFirst(t *testing.T) {
	app := newByHand(t, 0)
	n, addr := start(t, app.targets(), nil)
	b := &backendConn{node: n}
	on(n, func() { // as dial does
		b.endpoint, b.incarnation = n.endpoints[1], n.endpoints[1].incarnation
		b.endpoint.pendingDials++
		n.openDescriptors++
	})
	conn, err := netpoll.DialConnection("tcp", app.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if err := b.attach(conn); err != nil {
		t.Fatal(err)
	}
	host, err := app.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = host.Close() }()
	_, _ = io.WriteString(host, "HTTP/1.1 2")
	until(n, func() bool { return b.closed })
	on(n, func() {
		if n.dialFinished(b, nil); n.openDescriptors != 0 || b.endpoint.pendingDials != 0 {
			t.Errorf("%d descriptors, %d connections on their way", n.openDescriptors, b.endpoint.pendingDials)
		}
	})
	client := dial(t, addr)
	_, _ = io.WriteString(client, text("read", 9000))
	next, _ := app.take()
	ok(next, "served")
	if code, body, _ := client.answer(); code != 200 || body != "served" {
		t.Errorf("the next request: %d %q", code, body)
	}
}

// News that comes while the process stops is taken up: a request that was held as the word to end came is placed on a list that comes behind it,
// and keeps the rules that it came under, whatever settings come in between.
func TestStopTakesNewsUp(t *testing.T) {
	app := newApp(t, serve)
	n, addr := start(t, nil, nil)
	conn := dial(t, addr)
	_, _ = io.WriteString(conn, text("once", 9000))
	until(n, func() bool { return len(n.requests) == 1 })
	ended := make(chan struct{})
	n.Drain(0, func() { close(ended) })
	retuned(n, func(s *Settings) { s.Classes, s.Balancer.Classes = s.Classes[:1], s.Balancer.Classes[:1] }) // its class is no more
	n.UpdateEndpoints(protocol.List{Rev: 1, All: true, Targets: app.targets()}, false)
	if code, body, closing := conn.answer(); code != 200 || body != "body of /once" || !closing {
		t.Errorf("%d %q, closing %v", code, body, closing)
	}
	<-ended
}

// A stop waits for whoever has come just now, and is about to ask, and for a large request whose answer came early: ended in that moment, the one
// would not be heard, and the other's answer be reset.
func TestStopWaitsForWhoIsAboutToAsk(t *testing.T) {
	n, addr := start(t, newApp(t, serve).targets(), nil)
	conn := dial(t, addr)
	until(n, func() bool {
		for c := range n.clients {
			c.requestStartedAt = n.now() + 3_600_000_000 // it stays one that has just come
		}
		return len(n.clients) == 1
	})
	ended := make(chan struct{})
	n.Drain(0, func() { close(ended) })
	age(n, idleCloseDelay)
	until(n, func() bool { return n.drain.onDrained != nil })
	on(n, func() {
		if n.checkDrained(); n.drain.closingAll {
			t.Error("does not wait")
		}
	})
	if code, _, closing := conn.ask(text("read", 9000)); code != 200 || !closing {
		t.Errorf("%d, closing %v", code, closing)
	}
	<-ended
}

// A client that connects as a stop ends, and has asked before its connection could be shut, is refused: to drop what it sent would lose it.
func TestWhoAsksAsAStopEndsIsRefused(t *testing.T) {
	n, addr := start(t, newApp(t, serve).targets(), nil)
	ended := make(chan struct{})
	var conn *caller
	ending := false
	on(n, func() { // the loop is at work as the client comes and asks
		n.startDraining("draining")
		n.drain.stopping, n.drain.closingAll = true, true
		n.drain.onDrained, n.drain.answersDueBy = func() { close(ended) }, n.now()+3_600_000_000
		conn = dial(t, addr)
		_, _ = io.WriteString(conn, text("once", 9000))
		raw, err := conn.Conn.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Error(err)
			return
		}
		for unsent := 1; unsent > 0; { // until the node's system has it
			_ = raw.Control(func(fd uintptr) { unsent, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
		}
		ending = true
	})
	if code, _, closing := conn.answer(); !ending || code != 503 || !closing {
		t.Errorf("%d, closing %v", code, closing)
	}
	_ = conn.Close()
	<-ended
}

func TestStopWaitsForAnEarlyAnsweredUpload(t *testing.T) {
	body := noiseOf(1, 4<<20)
	a := newApp(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(503)
	})
	n, addr := start(t, a.targets(), nil)
	conn := dial(t, addr)
	_, _ = io.WriteString(conn, post("once", "Content-Length: "+strconv.Itoa(len(body))))
	_, _ = conn.Write(body[:3<<20])
	if code, _, _ := conn.answer(); code != 503 {
		t.Fatal(code)
	}
	until(n, func() bool { return n.openRequests == 0 && n.answersInProgress == 0 })
	ended := make(chan struct{})
	n.Drain(0, func() { close(ended) })
	age(n, idleCloseDelay)
	until(n, func() bool { return n.drain.onDrained != nil })
	on(n, func() {
		if n.checkDrained(); n.drain.closingAll {
			t.Error("does not wait")
		}
		n.drain.partialRequestsUntil = 0 // not for ever; and what is on its way through a descriptor of its own is not shut under it
		n.checkDrained()
		for c := range n.clients {
			if c.lingering {
				t.Error("shut while its request comes in")
			}
		}
	})
	<-ended
}
