package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// accountingModule stand between a node and its module, and count. They are called on Run's goroutine.
type accountingModule struct {
	decisionModule
	fail             func(format string, args ...any)
	node             *Node
	accepted         map[balancer.RequestID]bool
	acceptedTraceIDs map[string]bool // the clients' own, of those
	outcomes         map[[2]uint64]int
}

func (b *accountingModule) HandleRequest(now balancer.Time, a balancer.Request) {
	if b.accepted[a.ID] {
		b.fail("request %d is taken twice", a.ID)
	}
	b.accepted[a.ID] = true
	b.acceptedTraceIDs[string(b.node.requests[a.ID].message.Get("x-trace-id"))] = true
	b.decisionModule.HandleRequest(now, a)
}

func (b *accountingModule) HandleAttemptResult(now balancer.Time, s balancer.AttemptResult) {
	key := [2]uint64{uint64(s.ID), uint64(s.Attempt)}
	if b.outcomes[key]++; b.outcomes[key] > 1 {
		b.fail("attempt %v has %d outcomes", key, b.outcomes[key])
	}
	b.decisionModule.HandleAttemptResult(now, s)
}

// How a host of the account takes a request, each of which is on a line of docs/account.md.
var backendBehaviors = []string{"serves", "serves", "serves slowly", "turns away", "fails as 503", "errs", "resets", "cuts", "spoils", "answers twice", "closes after", "says nothing",
	"says 100 first", "until the end"}

// scriptedBackend is a host that takes its requests by a drawn list of manners, again and again, and notes what it began.
type scriptedBackend struct {
	net.Listener
	mu         sync.Mutex
	behaviors  []string
	next       int
	executions map[string]int // by id: it began, and may have had an effect
}

func (s *scriptedBackend) serve() {
	for {
		conn, err := s.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *scriptedBackend) serveConn(conn net.Conn) {
	defer conn.Close()
	for in := bufio.NewReader(conn); ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("X-Trace-Id")
		s.mu.Lock()
		manner := s.behaviors[s.next%len(s.behaviors)]
		s.next++
		if manner != "turns away" {
			s.executions[id]++
		}
		s.mu.Unlock()
		whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
		say := func(text string) { _, _ = io.WriteString(conn, text) }
		switch manner {
		case "serves":
			say(whole)
		case "serves slowly":
			time.Sleep(3 * time.Millisecond) // it is as long as it likes: nothing here depends on it
			say(whole)
		case "turns away":
			say("HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
		case "fails as 503": // unmarked: it may have run
			say("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
		case "errs":
			say("HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno")
		case "resets":
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		case "cuts":
			say(whole[:len(whole)-1])
			return
		case "spoils":
			say("HTTP/1.1 2x0 OK\r\n\r\n")
		case "answers twice":
			say(whole + whole)
		case "closes after":
			say(whole)
			return
		case "says nothing":
			_, _ = in.Peek(1) // until the node gives up
			return
		case "says 100 first":
			say("HTTP/1.1 100 Continue\r\n\r\n" + whole)
		case "until the end":
			say("HTTP/1.0 200 OK\r\n\r\n" + id)
			return
		}
	}
}

// runClient is one client: it sends a drawn list of requests, each in a drawn way, and holds each answer against what it asked.
func runClient(addr string, client int, ways []string, fail func(string, ...any)) (asked map[string]string) {
	asked = map[string]string{} // class by id
	var conn net.Conn
	var in *bufio.Reader
	used := false                     // an answer has come on it: from then on the node may end it between two requests
	crosses := func(err error) bool { // the end, in order, and not a byte before it
		return used && errors.Is(err, io.ErrUnexpectedEOF) && in.Buffered() == 0
	}
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for i, way := range ways {
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", addr); err != nil {
				fail("dial: %v", err)
				return
			}
			_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
			in, used = bufio.NewReader(conn), false
		}
		class := []string{"read", "once", "keyed"}[(i+client)%3]
		var answers []string // ids of which one is due, in this order
		ask := func() string {
			request := requestText(class, 300)
			_, id, _ := strings.Cut(request, "X-Trace-Id: ")
			id, _, _ = strings.Cut(id, "\r\n")
			answers, asked[id] = append(answers, id), class
			return request
		}
		switch request := ask(); way {
		case "pieces":
			for _, p := range []string{request[:1], request[1 : len(request)/2], request[len(request)/2:]} {
				_, _ = io.WriteString(conn, p)
			}
		case "two at once":
			_, _ = io.WriteString(conn, request+ask())
		case "leaves":
			_, _ = io.WriteString(conn, request)
			_ = conn.Close()
			conn = nil
			continue
		case "rubbish":
			_, _ = io.WriteString(conn, "GET /read HTTP/9\r\n"+request)
			if resp, err := http.ReadResponse(in, nil); !crosses(err) && (err != nil || resp.StatusCode/100 != 4 && resp.StatusCode != 505) {
				fail("rubbish: %v", err)
			}
			_ = conn.Close()
			conn = nil
			continue
		default:
			_, _ = io.WriteString(conn, request)
		}
		for k, id := range answers {
			resp, err := http.ReadResponse(in, nil)
			if crosses(err) {
				for _, id := range answers[k:] {
					asked[id] = unanswered
				}
				_ = conn.Close()
				conn = nil
				break
			}
			if err != nil {
				fail("%s (%s): no answer: %v", id, way, err)
				return
			}
			used = true
			body, err := io.ReadAll(resp.Body)
			switch {
			case err != nil:
				fail("%s (%s): no whole answer: %v", id, way, err)
			case resp.StatusCode == 200 && string(body) != id:
				fail("%s (%s): the answer to %q", id, way, body)
			case resp.StatusCode != 200 && resp.StatusCode != 502 && resp.StatusCode != 503 && resp.StatusCode != 504:
				fail("%s (%s): status %d %s", id, way, resp.StatusCode, body)
			}
			if resp.Close {
				fail("%s (%s): its connection closes", id, way)
				return
			}
		}
	}
	return asked
}

// unanswered is the class of a request that met the end of its connection: it was never taken, and nothing of it may run.
const unanswered = "crossed"

// Whatever hosts and clients do, and lists say meanwhile: each request taken gets one whole answer, a host's own or a refusal
// or failure; each attempt one outcome; what must run once does so once at most; and in the end nothing is kept.
func TestRequestAccounting(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var mu sync.Mutex
		var faults []string
		fail := func(format string, args ...any) {
			mu.Lock()
			defer mu.Unlock()
			faults = append(faults, fmt.Sprintf(format, args...))
		}
		var hosts []*scriptedBackend
		var list []protocol.Target
		for i := range rapid.IntRange(1, 3).Draw(rt, "hosts") {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				rt.Fatal(err)
			}
			s := &scriptedBackend{Listener: ln, executions: map[string]int{},
				behaviors: rapid.SliceOfN(rapid.SampledFrom(backendBehaviors), 1, 8).Draw(rt, "manners")}
			hosts = append(hosts, s)
			list = append(list, protocol.Target{UID: fmt.Sprint("h", i), Endpoint: ln.Addr().String(), Zone: "z", Weight: 1})
			go s.serve()
		}
		if rapid.Bool().Draw(rt, "one refuses") {
			list = append(list, protocol.Target{UID: "nobody", Endpoint: "127.0.0.1:1", Zone: "z", Weight: 1})
		}
		n, addr, stop := startStoppableNode(t, list, func(s *Settings) {
			s.ConnectTimeout, s.MaxDescriptors = 100_000, rapid.SampledFrom([]int{0, 64}).Draw(rt, "descriptors")
			s.OverdueGrace = 5_000_000 // what is overdue is the module's fault, or this machine's
			for i := range s.Balancer.Classes {
				s.Balancer.Classes[i].LatencyObjective, s.Balancer.Classes[i].Deadline = 200_000, 300_000
			}
		})
		defer stop()
		b := &accountingModule{fail: fail, node: n, acceptedTraceIDs: map[string]bool{}, accepted: map[balancer.RequestID]bool{}, outcomes: map[[2]uint64]int{}}
		twice := rapid.Bool().Draw(rt, "known to answer twice")
		runOnLoop(n, func() {
			b.decisionModule, n.balancer = n.balancer, b
			for _, h := range n.endpoints {
				if twice {
					h.duplicatesUntil = noDeadline
				}
			}
		})
		var g sync.WaitGroup
		classes := make([]map[string]string, rapid.IntRange(1, 6).Draw(rt, "clients"))
		for i := range classes {
			ways := rapid.SliceOfN(rapid.SampledFrom([]string{"plain", "plain", "pieces", "two at once", "leaves", "rubbish"}), 1, 6).Draw(rt, "ways")
			g.Go(func() { classes[i] = runClient(addr, i, ways, fail) })
		}
		var all atomic.Bool
		go func() {
			g.Wait()
			all.Store(true)
		}()
		for i, what := range rapid.SliceOfN(rapid.SampledFrom([]string{"drains", "goes", "comes back", "restarts", "moves away",
			"idle clients are sent away", "settings"}), 0, 6).Draw(rt, "news") {
			waitUntil(n, func() bool { return all.Load() || len(b.accepted) > i && n.openRequests > 0 }) // while hosts are at work
			switch what {
			case "idle clients are sent away":
				runOnLoop(n, n.closeIdleClients)
				continue
			case "settings":
				reconfigureNode(n, func(s *Settings) { s.Balancer.MaxAttempts, s.Balancer.AllowCancel = 1+i%3, i%2 == 0 })
				continue
			}
			one := list[i%len(list)]
			one.BootMs = int64(i) // a process of its own, where it is another one
			switch what {
			case "drains":
				one.State = protocol.Terminating
			case "goes":
				one.State = protocol.Terminated
			case "comes back":
				one.BootMs = 0
			case "moves away":
				one.Endpoint = "127.0.0.1:1"
			}
			n.UpdateEndpoints(protocol.List{Rev: int64(i + 1), Targets: []protocol.Target{one}}, false)
		}
		g.Wait()
		kept, patience := "", time.Now().Add(5*time.Second) // far beyond any timer set
		waitUntil(n, func() bool {
			kept = ""
			for _, h := range n.endpoints {
				if len(h.waitingAttempts) > 0 || h.state != protocol.InService && len(h.idleConns) > 0 {
					kept = fmt.Sprintf("host %d, state %d: %d attempts wait, %d connections are idle", h.id, h.state, len(h.waitingAttempts), len(h.idleConns))
				}
			}
			if len(n.requests) > 0 || n.openRequests > 0 || n.answersInProgress > 0 {
				kept = fmt.Sprintf("%d requests, %d open, %d answers on their way", len(n.requests), n.openRequests, n.answersInProgress)
			}
			return kept == "" || time.Now().After(patience)
		})
		if kept != "" {
			fail("kept at the end: %s", kept)
		}
		for _, s := range hosts {
			_ = s.Close()
		}
		var taken map[string]bool
		runOnLoop(n, func() { taken = b.acceptedTraceIDs })
		for _, asked := range classes {
			for id, class := range asked {
				ran := 0
				for _, s := range hosts {
					s.mu.Lock()
					ran += s.executions[id]
					s.mu.Unlock()
				}
				if class == "once" && ran > 1 || class == unanswered && (ran > 0 || taken[id]) {
					fail("%s (%s) ran %d times, taken %v", id, class, ran, taken[id])
				}
			}
		}
		if len(faults) > 0 {
			rt.Fatal(strings.Join(faults, "\n"))
		}
	})
}
