package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// goldenFile holds what a process of commit f2517d9 sent to each of its peers. TULIPGLADE_WRITE_GOLDEN=1 overwrites it
// with what the tested process sends.
const goldenFile = "testdata/wire.golden"

// recordingPeer is a TCP server that records each request byte for byte and sends the response that respond returns.
type recordingPeer struct {
	listener net.Listener
	respond  func(request string) string // returns the response, or "" to send none

	mutex    sync.Mutex
	requests []string
}

// newRecordingPeer starts a recordingPeer on a free port. It is closed when the test ends.
func newRecordingPeer(t *testing.T, respond func(request string) string) *recordingPeer {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	p := &recordingPeer{listener: listener, respond: respond}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

// serve records and answers the requests on a connection until the connection ends.
func (p *recordingPeer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := readMessage(reader)
		if err != nil {
			return
		}
		p.mutex.Lock()
		p.requests = append(p.requests, request)
		p.mutex.Unlock()
		response := p.respond(request)
		if response == "" {
			continue // a watch during which the endpoint list does not change
		}
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
	}
}

// distinctRequests returns the requests received so far, normalized and without duplicates, in the order of arrival.
func (p *recordingPeer) distinctRequests(normalize func(string) string) []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var distinct []string
	seen := map[string]bool{}
	for _, request := range p.requests {
		request = normalize(request)
		if !seen[request] {
			seen[request] = true
			distinct = append(distinct, request)
		}
	}
	return distinct
}

// readMessage reads one HTTP/1.1 message and returns it byte for byte. The message has a Content-Length or no body.
func readMessage(reader *bufio.Reader) (string, error) {
	var text strings.Builder
	length := 0
	for {
		line, err := reader.ReadString('\n')
		text.WriteString(line)
		if err != nil {
			return text.String(), err
		}
		if name, value, found := strings.Cut(line, ":"); found && strings.EqualFold(name, "Content-Length") {
			if length, err = strconv.Atoi(strings.TrimSpace(value)); err != nil {
				return text.String(), err
			}
		}
		if line == "\r\n" {
			break
		}
	}
	body := make([]byte, length)
	n, err := io.ReadFull(reader, body)
	text.Write(body[:n])
	return text.String(), err
}

// okResponse returns an HTTP response with status 200 and the given body.
func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// goldenRequests lists the requests that the test sends as a client, each on a new connection.
var goldenRequests = []struct{ name, request string }{
	{"idempotent", "GET /read/a?b=c HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t1\r\nX-Customer: o\r\nX-Extra: kept\r\n\r\n"},
	{"own deadline", "GET /read HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t2\r\nX-Customer: o\r\nX-Expires-In-Ms: 900\r\n\r\n"},
	{"with a body", "POST /pay HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t3\r\nX-Customer: o\r\nContent-Length: 4\r\n\r\nbody"},
	{"with a key", "POST /settle HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t4\r\nX-Customer: o\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n"},
	{"old version", "GET /read HTTP/1.0\r\nX-Trace-Id: t5\r\nX-Customer: o\r\n\r\n"},
	{"to be closed", "GET /read HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX-Trace-Id: t6\r\nX-Customer: o\r\n\r\n"},
	{"server error", "POST /pay/broken HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t7\r\nX-Customer: o\r\nContent-Length: 0\r\n\r\n"},
	{"rejected by the backend", "POST /pay/full HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t8\r\nX-Customer: o\r\nContent-Length: 0\r\n\r\n"},
	{"readiness", "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n"},
	{"no id", "GET /read HTTP/1.1\r\nHost: h\r\nX-Customer: o\r\n\r\n"},
	{"no such class", "GET /none HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t9\r\nX-Customer: o\r\n\r\n"},
	{"no such tenant", "GET /read HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t10\r\nX-Customer: none\r\n\r\n"},
	{"no key", "POST /settle HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t11\r\nX-Customer: o\r\nContent-Length: 0\r\n\r\n"},
	{"malformed", "GET\r\n\r\n"},
	{"head too large", "GET /read HTTP/1.1\r\nHost: h\r\nX-Filler: " + strings.Repeat("x", 9000) + "\r\n\r\n"},
	{"body too large", "POST /pay HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t12\r\nX-Customer: o\r\nContent-Length: 99999999\r\n\r\n"},
}

// backendResponse returns the backend's response to a request: an error for some paths, and otherwise a load report.
func backendResponse(request string) string {
	switch {
	case strings.Contains(request, "/broken"):
		return "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	case strings.Contains(request, "/full"):
		return "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
	}
	return "HTTP/1.1 200 OK\r\nX-Backend: b\r\n" +
		"endpoint-load-metrics: TEXT named_metrics.utilization=0.5, named_metrics.backlog=1\r\n" +
		"Content-Length: 2\r\n\r\nok"
}

// wireRecord builds the text that is compared with the golden file. Placeholders replace the parts that differ between
// two runs.
type wireRecord struct {
	text      strings.Builder
	addresses *strings.Replacer // replaces the addresses of the run by placeholders
}

// varyingValues lists the patterns of values that differ between two runs, with the placeholders that replace them.
var varyingValues = []struct {
	pattern     *regexp.Regexp
	placeholder string
}{
	{regexp.MustCompile(`X-Expires-In-Ms: \d+`), "X-Expires-In-Ms: N"},
	{regexp.MustCompile(`timeout_ms=[1-9]\d*`), "timeout_ms=N"},
}

// normalize replaces the addresses and values that differ between two runs by placeholders.
func (w *wireRecord) normalize(text string) string {
	text = w.addresses.Replace(text)
	for _, value := range varyingValues {
		text = value.pattern.ReplaceAllString(text, value.placeholder)
	}
	return text
}

// addSection appends a normalized text under a title.
func (w *wireRecord) addSection(title, text string) {
	text = strings.ReplaceAll(w.normalize(text), "\r", `\r`)
	_, _ = fmt.Fprintf(&w.text, "== %s\n%s\n", title, text) // writing to a strings.Builder never fails
}

// sendRequest sends a request on a new connection and returns the response byte for byte.
func sendRequest(t *testing.T, address, request string) string {
	t.Helper()
	conn, err := net.DialTimeout("tcp", address, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	response, err := readMessage(bufio.NewReader(conn))
	if err != nil {
		t.Fatalf("response to %q: %q, %v", request, response, err)
	}
	return response
}

// numberPattern matches the numbers in the state that a hot restart hands over, because the values differ between two
// runs. The keys do not.
var numberPattern = regexp.MustCompile(`-?\d+(\.\d+)?(e[-+]?\d+)?`)

// requestHandoffState connects to the handoff socket in dir as a successor does in a hot restart, and returns the state
// that the process sends: the magic at its start, and the body with its numbers replaced.
func requestHandoffState(t *testing.T, dir string) string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*.sock"))
	if err != nil || len(paths) != 1 {
		t.Fatalf("handoff sockets %v, %v, want one socket", paths, err)
	}
	conn, err := net.DialTimeout("unix", paths[0], 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(conn, "tulipglade hand-over 1\n"); err != nil {
		t.Fatal(err)
	}
	head := make([]byte, 16)
	if _, err := io.ReadFull(conn, head); err != nil {
		t.Fatal(err)
	}
	body := make([]byte, binary.BigEndian.Uint32(head[4:]))
	if _, err := io.ReadFull(conn, body); err != nil {
		t.Fatal(err)
	}
	return string(head[:4]) + numberPattern.ReplaceAllString(string(body), "N")
}

// goldenConfig is the configuration of the process under test. Its verb is the address of discovery.
const goldenConfig = `{"name":"n0","listen":"127.0.0.1:0","operator":"127.0.0.1:0","discovery":%q,"seed":"1",
	"limits":{"cores":1,"memory_mb":192,"sockets":96},
	"known":{"rev":0,"all":true,"targets":[]},
	"settings":{"discovery":"ask","me":0,"peers_total":1,"zones":["z"],"orgs":[{"name":"o","share":1}],"tick_us":5000,
	"profiles":[{"name":"read","aim_us":600000,"deadline_us":1500000,"effect":"repeatable"},
	{"name":"pay","aim_us":600000,"deadline_us":1500000,"effect":"once"},
	{"name":"settle","aim_us":600000,"deadline_us":1500000,"effect":"by_key","key_scope":"cell","window_us":6000000}],
	"limits":{"connect_timeout_us":250000,"keepalive_us":30000000,"max_attempts":1,"max_open":20000,
	"retry_after":true,"max_retry_after_us":2000000},
	"report":{"fields":["utilization","backlog"],"how":"piggyback"},
	"rules":{"ask_every_us":10000000,"grace_to_answer_us":20000,"drain_grace_us":500000}}}`

// goldenList is an endpoint list with one backend. Its verb is the address of the backend.
const goldenList = `{"rev":4,"all":true,"targets":[` +
	`{"uid":"a","endpoint":%q,"az":"z","pod_group":3,"state":"in_service","capacity_hint":2,"boot_ms":5}]}`

// TestWireFormsAreUnchanged compares the messages that a process sends with those that commit f2517d9 sent: polls and
// watches, requests to backends, responses to clients and operators, and the state that a hot restart hands over to the
// successor.
func TestWireFormsAreUnchanged(t *testing.T) {
	backend := newRecordingPeer(t, backendResponse)
	list := fmt.Sprintf(goldenList, backend.listener.Addr())
	discovery := newRecordingPeer(t, func(request string) string {
		if strings.Contains(request, "since=4") && !strings.Contains(request, "timeout_ms=0") {
			return ""
		}
		return okResponse(list)
	})
	handoffDir := t.TempDir()
	p := newProcess(t, fmt.Sprintf(goldenConfig, discovery.listener.Addr().String()))
	p.start(t, "TMPDIR="+handoffDir)
	defer p.kill()
	clientAddress, adminAddress, ok := p.awaitServing(startupTimeout)
	if !ok {
		t.Fatalf("the process does not serve: %s", p.output)
	}
	record := &wireRecord{addresses: strings.NewReplacer(discovery.listener.Addr().String(), "DISCOVERY",
		backend.listener.Addr().String(), "BACKEND", clientAddress, "CLIENTS", adminAddress, "ADMIN")}
	if !awaitReady(clientAddress, startupTimeout) {
		t.Fatalf("the process is not ready: %s", p.output)
	}
	record.addClientResponses(t, clientAddress)
	record.addPeerRequests("backend: request", backend)
	for end := time.Now().Add(startupTimeout); len(discovery.distinctRequests(record.normalize)) < 2 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond) // until the watch that follows the first poll arrives
	}
	record.addPeerRequests("discovery: call", discovery)
	record.addAdminResponses(t, adminAddress)
	record.addSection("hot restart", requestHandoffState(t, handoffDir))
	compareWithGolden(t, record.text.String())
}

// addClientResponses sends each of goldenRequests and records the response.
func (w *wireRecord) addClientResponses(t *testing.T, address string) {
	t.Helper()
	for _, golden := range goldenRequests {
		w.addSection("client: "+golden.name, sendRequest(t, address, golden.request))
	}
}

// addAdminResponses sends requests to the admin address and records the responses.
func (w *wireRecord) addAdminResponses(t *testing.T, address string) {
	t.Helper()
	for _, requestLine := range []string{"GET /status", "PUT /none", "GET /status?lease=x&token=1", "PUT /standby", "PUT /active"} {
		w.addSection("admin: "+requestLine, sendRequest(t, address, requestLine+" HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"))
	}
}

// addPeerRequests records the requests that a peer has received, without duplicates.
func (w *wireRecord) addPeerRequests(title string, peer *recordingPeer) {
	for i, request := range peer.distinctRequests(w.normalize) {
		w.addSection(fmt.Sprintf("%s %d", title, i), request)
	}
}

// compareWithGolden compares a text with the golden file, which TULIPGLADE_WRITE_GOLDEN overwrites first.
func compareWithGolden(t *testing.T, got string) {
	t.Helper()
	if os.Getenv("TULIPGLADE_WRITE_GOLDEN") != "" {
		if err := os.WriteFile(goldenFile, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(bytes.TrimSpace(want)), strings.TrimSpace(got)); diff != "" {
		t.Error(diff)
	}
}
