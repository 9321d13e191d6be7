package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// accountingModule is a decision module that wraps a node's balancer. It records the requests and the attempt outcomes
// that the node passes to the balancer, and reports duplicates. It is called on the event loop.
type accountingModule struct {
	decisionModule
	fail             func(format string, args ...any)
	node             *Node
	accepted         map[balancer.RequestID]bool
	acceptedTraceIDs map[string]bool   // X-Trace-Id of each accepted request
	outcomes         map[[2]uint64]int // number of outcomes by request ID and attempt number
}

// newAccountingModule installs an accountingModule between a node and its balancer.
func newAccountingModule(n *Node, fail func(format string, args ...any)) *accountingModule {
	m := &accountingModule{
		fail:             fail,
		node:             n,
		acceptedTraceIDs: map[string]bool{},
		accepted:         map[balancer.RequestID]bool{},
		outcomes:         map[[2]uint64]int{},
	}
	runOnLoop(n, func() { m.decisionModule, n.balancer = n.balancer, m })
	return m
}

func (m *accountingModule) HandleRequest(now balancer.Time, request balancer.Request) {
	if m.accepted[request.ID] {
		m.fail("request %d is passed to the balancer twice", request.ID)
	}
	m.accepted[request.ID] = true
	m.acceptedTraceIDs[string(m.node.requests[request.ID].message.Get("x-trace-id"))] = true
	m.decisionModule.HandleRequest(now, request)
}

func (m *accountingModule) HandleAttemptResult(now balancer.Time, result balancer.AttemptResult) {
	key := [2]uint64{uint64(result.ID), uint64(result.Attempt)}
	if m.outcomes[key]++; m.outcomes[key] > 1 {
		m.fail("attempt %v has %d outcomes", key, m.outcomes[key])
	}
	m.decisionModule.HandleAttemptResult(now, result)
}

// backendBehaviors lists the ways in which a backend may handle a request, each of which has a line in docs/account.md.
// A behavior that is listed twice is drawn more often.
var backendBehaviors = []string{
	"serves", "serves", "serves slowly", "rejects", "unmarked 503", "500", "resets", "truncates", "malformed", "answers twice",
	"closes after", "never answers", "100 first", "until close",
}

// scriptedBackend handles its requests by the behaviors of a drawn list, which it repeats, and counts executions.
type scriptedBackend struct {
	net.Listener
	mu           sync.Mutex
	behaviors    []string
	nextBehavior int
	executions   map[string]int // by trace ID: how often the request was started and may have had an effect
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
	defer func() { _ = conn.Close() }()
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("X-Trace-Id")
		s.mu.Lock()
		behavior := s.behaviors[s.nextBehavior%len(s.behaviors)]
		s.nextBehavior++
		if behavior != "rejects" {
			s.executions[id]++
		}
		s.mu.Unlock()
		complete := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
		write := func(text string) { _, _ = io.WriteString(conn, text) }
		switch behavior {
		case "serves":
			write(complete)
		case "serves slowly":
			time.Sleep(3 * time.Millisecond) // no check depends on the duration
			write(complete)
		case "rejects":
			write("HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
		case "unmarked 503": // the request may have run
			write("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
		case "500":
			write("HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno")
		case "resets":
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		case "truncates":
			write(complete[:len(complete)-1])
			return
		case "malformed":
			write("HTTP/1.1 2x0 OK\r\n\r\n")
		case "answers twice":
			write(complete + complete)
		case "closes after":
			write(complete)
			return
		case "never answers":
			_, _ = reader.Peek(1) // waits until the node closes the connection
			return
		case "100 first":
			write("HTTP/1.1 100 Continue\r\n\r\n" + complete)
		case "until close":
			write("HTTP/1.0 200 OK\r\n\r\n" + id)
			return
		}
	}
}

// accountingClient is a client that sends requests one after the other and checks their answers.
type accountingClient struct {
	addr        string
	fail        func(string, ...any)
	classes     map[string]string // class of each request that was sent, by trace ID
	conn        net.Conn          // nil: none
	reader      *bufio.Reader
	hasAnswered bool // an answer has been received on conn, after which the node may close it between requests
}

// sendAndCheckRequests runs a client that sends one request for each drawn send mode and checks each answer. It returns
// the class of each request by trace ID.
func sendAndCheckRequests(addr string, client int, sendModes []string, fail func(string, ...any)) map[string]string {
	c := &accountingClient{addr: addr, fail: fail, classes: map[string]string{}}
	defer c.close()
	for i, sendMode := range sendModes {
		if !c.connect() {
			break
		}
		class := []string{"read", "once", "keyed"}[(i+client)%3]
		ids := c.send(class, sendMode)
		if !c.checkAnswers(ids, sendMode) {
			break
		}
	}
	return c.classes
}

// connect opens a connection if there is none, and reports whether there is one.
func (c *accountingClient) connect() bool {
	if c.conn != nil {
		return true
	}
	conn, err := net.Dial("tcp", c.addr)
	if err != nil {
		c.fail("dial: %v", err)
		return false
	}
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	c.conn, c.reader, c.hasAnswered = conn, bufio.NewReader(conn), false
	return true
}

func (c *accountingClient) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// newRequest returns the text of a new request and its trace ID, and records its class.
func (c *accountingClient) newRequest(class string) (text, id string) {
	text = requestText(class, 300)
	_, id, _ = strings.Cut(text, "X-Trace-Id: ")
	id, _, _ = strings.Cut(id, "\r\n")
	c.classes[id] = class
	return text, id
}

// send sends a request, or two, in one of clientSendModes. It returns the trace IDs of the requests that must be
// answered, in the order of the answers.
func (c *accountingClient) send(class, mode string) (ids []string) {
	text, id := c.newRequest(class)
	switch mode {
	case "pieces":
		for _, piece := range []string{text[:1], text[1 : len(text)/2], text[len(text)/2:]} {
			_, _ = io.WriteString(c.conn, piece)
		}
	case "two at once":
		second, secondID := c.newRequest(class)
		_, _ = io.WriteString(c.conn, text+second)
		return []string{id, secondID}
	case "disconnects":
		_, _ = io.WriteString(c.conn, text)
		c.close()
		return nil
	case "malformed":
		_, _ = io.WriteString(c.conn, "GET /read HTTP/9\r\n"+text)
		c.checkRejection()
		c.close()
		return nil
	default:
		_, _ = io.WriteString(c.conn, text)
	}
	return []string{id}
}

// checkRejection reads the answer to a malformed request and checks that it is a rejection.
func (c *accountingClient) checkRejection() {
	resp, err := http.ReadResponse(c.reader, nil)
	switch {
	case c.sawOrderlyClose(err):
	case err != nil:
		c.fail("malformed request: no answer: %v", err)
	case resp.StatusCode/100 != 4 && resp.StatusCode != http.StatusHTTPVersionNotSupported:
		c.fail("malformed request: status %d", resp.StatusCode)
	}
	if err == nil {
		_ = c.conn.Close() // the rest of the answer does not matter
		_ = resp.Body.Close()
	}
}

// sawOrderlyClose reports whether err of the last read means that the node closed the connection without a reset and
// before the first byte of an answer, as it may do between two requests.
func (c *accountingClient) sawOrderlyClose(err error) bool {
	return c.hasAnswered && errors.Is(err, io.ErrUnexpectedEOF) && c.reader.Buffered() == 0
}

// checkAnswers reads and checks the answers to the requests with these trace IDs. It reports whether the client can go
// on to send requests.
func (c *accountingClient) checkAnswers(ids []string, mode string) bool {
	for i, id := range ids {
		resp, err := http.ReadResponse(c.reader, nil)
		if c.sawOrderlyClose(err) {
			for _, lost := range ids[i:] {
				c.classes[lost] = classUnanswered
			}
			c.close()
			return true
		}
		if err != nil {
			c.fail("%s (%s): no answer: %v", id, mode, err)
			return false
		}
		c.hasAnswered = true
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close() // read to its end
		switch {
		case err != nil:
			c.fail("%s (%s): no complete answer: %v", id, mode, err)
		case resp.StatusCode == http.StatusOK && string(body) != id:
			c.fail("%s (%s): received the answer to %q", id, mode, body)
		case !slices.Contains(answerStatuses, resp.StatusCode):
			c.fail("%s (%s): status %d %s", id, mode, resp.StatusCode, body)
		}
		if resp.Close {
			c.fail("%s (%s): the answer closes the connection", id, mode)
			return false
		}
	}
	return true
}

// answerStatuses lists the statuses that an admitted request may be answered with.
var answerStatuses = []int{http.StatusOK, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout}

// classUnanswered is recorded as the class of a request that was sent while the node closed the connection. Such a
// request is not admitted and must not run.
const classUnanswered = "crossed"

// For any behavior of backends, clients and endpoint lists: each admitted request gets one complete answer, from a
// backend or the node; each attempt has one outcome; a non-idempotent request runs at most once; and no state is left
// at the end.
func TestRequestAccounting(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var mu sync.Mutex
		var faults []string
		fail := func(format string, args ...any) {
			mu.Lock()
			defer mu.Unlock()
			faults = append(faults, fmt.Sprintf(format, args...))
		}
		backends, targets := drawBackends(rt)
		n, addr, stop := startStoppableNode(t, targets, func(s *Settings) {
			s.ConnectTimeout, s.MaxDescriptors = 100_000, rapid.SampledFrom([]int{0, 64}).Draw(rt, "descriptors")
			s.OverdueGrace = 5_000_000 // an overdue request shows a fault of the balancer, or a very slow machine
			for i := range s.Balancer.Classes {
				s.Balancer.Classes[i].LatencyObjective, s.Balancer.Classes[i].Deadline = 200_000, 300_000
			}
		})
		defer stop()
		module := newAccountingModule(n, fail)
		var clients sync.WaitGroup
		classes := make([]map[string]string, rapid.IntRange(1, 6).Draw(rt, "clients"))
		for i := range classes {
			sendModes := rapid.SliceOfN(rapid.SampledFrom(clientSendModes), 1, 6).Draw(rt, "ways")
			clients.Go(func() { classes[i] = sendAndCheckRequests(addr, i, sendModes, fail) })
		}
		var clientsDone atomic.Bool
		go func() {
			clients.Wait()
			clientsDone.Store(true)
		}()
		for i, event := range rapid.SliceOfN(rapid.SampledFrom(nodeEvents), 0, 6).Draw(rt, "events") {
			// Wait until backends are busy.
			waitUntil(n, func() bool { return clientsDone.Load() || len(module.accepted) > i && n.openRequests > 0 })
			applyEvent(n, event, i, targets[i%len(targets)])
		}
		clients.Wait()
		if state := remainingState(n); state != "" {
			fail("left at the end: %s", state)
		}
		for _, backend := range backends {
			_ = backend.Close()
		}
		var accepted map[string]bool
		runOnLoop(n, func() { accepted = module.acceptedTraceIDs })
		for _, sent := range classes {
			checkExecutions(backends, sent, accepted, fail)
		}
		if len(faults) > 0 {
			rt.Fatal(strings.Join(faults, "\n"))
		}
	})
}

// clientSendModes lists the ways in which a client may send a request.
var clientSendModes = []string{"plain", "plain", "pieces", "two at once", "disconnects", "malformed"}

// nodeEvents lists the changes of endpoints, connections and settings that may occur while requests are open.
var nodeEvents = []string{"drains", "is removed", "is restored", "restarts", "moves", "idle clients are closed", "settings"}

// drawBackends starts backends with drawn behaviors, and returns them and their entries of the endpoint list. The list
// may have one more entry, for an endpoint that refuses connections.
func drawBackends(rt *rapid.T) (backends []*scriptedBackend, targets []protocol.Target) {
	for i := range rapid.IntRange(1, 3).Draw(rt, "backends") {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			rt.Fatal(err)
		}
		s := &scriptedBackend{
			Listener:   ln,
			executions: map[string]int{},
			behaviors:  rapid.SliceOfN(rapid.SampledFrom(backendBehaviors), 1, 8).Draw(rt, "behaviors"),
		}
		backends = append(backends, s)
		targets = append(targets, protocol.Target{UID: fmt.Sprint("h", i), Endpoint: ln.Addr().String(), Zone: "z", Weight: 1})
		go s.serve()
	}
	if rapid.Bool().Draw(rt, "one refuses connections") {
		targets = append(targets, protocol.Target{UID: "refusing", Endpoint: "127.0.0.1:1", Zone: "z", Weight: 1})
	}
	return backends, targets
}

// applyEvent applies the i-th event to the node, and to the endpoint of target if the event concerns an endpoint.
func applyEvent(n *Node, event string, i int, target protocol.Target) {
	target.BootMs = int64(i) // a different process of the backend, unless the event sets the time of its start below
	switch event {
	case "idle clients are closed":
		runOnLoop(n, n.closeIdleClients)
		return
	case "settings":
		reconfigureNode(n, func(s *Settings) { s.Balancer.MaxAttempts, s.Balancer.AllowCancel = 1+i%3, i%2 == 0 })
		return
	case "drains":
		target.State = protocol.Terminating
	case "is removed":
		target.State = protocol.Terminated
	case "is restored":
		target.BootMs = 0
	case "moves":
		target.Endpoint = "127.0.0.1:1"
	}
	n.UpdateEndpoints(protocol.List{Revision: int64(i + 1), Targets: []protocol.Target{target}}, false)
}

// remainingState waits until the node holds no state of requests and returns "". If state is left after 5 s, it returns
// a description of it.
func remainingState(n *Node) (state string) {
	giveUpAt := time.Now().Add(5 * time.Second) // much later than any timer that is set
	waitUntil(n, func() bool {
		state = ""
		for _, ep := range n.endpoints {
			if len(ep.waitingAttempts) > 0 || ep.state != protocol.InService && len(ep.idleConns) > 0 {
				state = fmt.Sprintf("endpoint %d, state %d: %d attempts wait, %d connections are idle",
					ep.id, ep.state, len(ep.waitingAttempts), len(ep.idleConns))
			}
		}
		if len(n.requests) > 0 || n.openRequests > 0 || n.answersInProgress > 0 {
			state = fmt.Sprintf("%d requests, %d open, %d answers in progress", len(n.requests), n.openRequests, n.answersInProgress)
		}
		return state == "" || time.Now().After(giveUpAt)
	})
	return state
}

// checkExecutions checks that the non-idempotent requests of one client ran at most once, and that its unanswered
// requests were neither admitted nor run.
func checkExecutions(backends []*scriptedBackend, classesByTraceID map[string]string, accepted map[string]bool, fail func(string, ...any)) {
	for id, class := range classesByTraceID {
		ran := 0
		for _, s := range backends {
			s.mu.Lock()
			ran += s.executions[id]
			s.mu.Unlock()
		}
		if class == "once" && ran > 1 || class == classUnanswered && (ran > 0 || accepted[id]) {
			fail("%s (%s) ran %d times, accepted %v", id, class, ran, accepted[id])
		}
	}
}
