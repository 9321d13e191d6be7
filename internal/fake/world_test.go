package fake

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"tulipglade/internal/faultinject"
	"tulipglade/internal/loopback"
	"tulipglade/internal/simulation/scenario"
)

const small = `
seconds = 60.0
[fleet]
boxes = 4
sites = ["east", "west"]
[fleet.affinity]
gain = 0.0
[nodes]
count = 2
front_notices_ms = 100.0
[discovery]
notice_ms = [0.0, 0.0]
calls_per_s = 10000.0
[[fleet.kind]]
name = "fast"
share = 1.0
cores = 4
speed = [1.0, 1.0]
slots_per_core = 2.0
queue_per_core = 4.0
cold_from = [0.5, 0.5]
cold_ms = [100, 100]
drop_keyed = true
[[class]]
name = "read"
share = 1.0
work_ms = 1.0
dist = "constant"
aim_ms = 500.0
deadline_ms = 2000.0
worth = 1.0
effect = "repeatable"
[[class]]
name = "start"
share = 1.0
work_ms = 1.0
dist = "constant"
aim_ms = 500.0
deadline_ms = 2000.0
worth = 1.0
effect = "once"
[[class]]
name = "settle"
share = 1.0
work_ms = 20.0
dist = "constant"
aim_ms = 500.0
deadline_ms = 2000.0
worth = 1.0
effect = "by_key"
scope = "rack"
window_ms = 5000.0
`

func start(t *testing.T, opts Options) *Cluster {
	t.Helper()
	goleak.VerifyNone(t, goleak.IgnoreCurrent())
	sc, err := scenario.Parse("small", []byte(small))
	if err != nil {
		t.Fatal(err)
	}
	w, err := Start(t.Context(), sc, opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := w.Close(); err != nil {
			t.Error(err)
		}
		http.DefaultClient.CloseIdleConnections()
		goleak.VerifyNone(t, goleak.IgnoreCurrent())
	})
	return w
}

func (cl *Cluster) backendAddr(place, node int) string { return cl.backends[place][node].addr }

// client is one connection to a box.
type client struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, addr string) *client {
	t.Helper()
	c, err := net.DialTimeout("tcp4", addr, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &client{t, c, bufio.NewReader(c)}
}

func (c *client) sendRequest(path, id, more string) {
	c.t.Helper()
	if _, err := fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s\r\n%s\r\n", path, id, more); err != nil {
		c.t.Fatal(err)
	}
}

func (c *client) readResponse(within time.Duration) (*http.Response, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(within))
	r, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	return r, err
}

func (c *client) wantStatus(status int) *http.Response {
	c.t.Helper()
	r, err := c.readResponse(10 * time.Second)
	if err != nil {
		c.t.Fatal(err)
	}
	if r.StatusCode != status {
		c.t.Fatalf("status %d, want %d", r.StatusCode, status)
	}
	return r
}

func inject(t *testing.T, w *Cluster, f faultinject.Fault) int {
	t.Helper()
	id, _, err := w.Inject(f)
	if err != nil {
		t.Fatal(err)
	}
	return id
}

func TestBackendsAnswerAndCountExecutions(t *testing.T) {
	w := start(t, Options{})
	c := dial(t, w.backendAddr(0, 0))
	for i := range 3 {
		c.sendRequest("/read?obj=7", fmt.Sprint("r", i), "")
		c.wantStatus(200)
	}
	c.sendRequest("/start", "s", "")
	c.wantStatus(200)
	if n := w.Executions("s"); n != 1 {
		t.Errorf("ran %d times", n)
	}
	c.sendRequest("/start", "s", "") // a node that repeats what must run once
	c.wantStatus(200)
	r := w.Report()
	if n := w.Executions("s"); n != 2 || r.DuplicateRuns != 1 || r.Executions != 5 || r.Arrived != 5 || r.Backends[0].Ran != 5 || r.Connections != 1 {
		t.Errorf("ran %d times, %+v", n, r)
	}
	// A repeat by key within the rack is dropped: the second has its answer from the first run.
	a, b := dial(t, w.backendAddr(0, 0)), dial(t, w.backendAddr(2, 0))
	a.sendRequest("/settle", "k1", "Idempotency-Key: one\r\n")
	b.sendRequest("/settle", "k2", "Idempotency-Key: one\r\n")
	a.wantStatus(200)
	b.wantStatus(200)
	if r := w.Report(); r.Executions != 6 {
		t.Errorf("%d runs, want one for both", r.Executions-5)
	}
}

func TestMalformedRequestsAreRejected(t *testing.T) {
	w := start(t, Options{})
	for text, status := range map[string]int{
		"nonsense\r\n\r\n":                                           400,
		"GET /read HTTP/1.1\r\nHost: x\r\n\r\n":                      404, // no id
		"GET /other HTTP/1.1\r\nHost: x\r\nX-Trace-Id: 1\r\n\r\n":    400,
		"GET /read?%zz HTTP/1.1\r\nHost: x\r\nX-Trace-Id:\r\n\r\n":   404,
		"GET read HTTP/1.1\r\nHost: x\r\nX-Trace-Id: 1\r\nA\r\n\r\n": 400,
	} {
		c := dial(t, w.backendAddr(0, 0))
		if _, err := io.WriteString(c.conn, text); err != nil {
			t.Fatal(err)
		}
		c.wantStatus(status)
		if _, err := c.reader.ReadByte(); err == nil {
			t.Errorf("%q: the connection stays open", text)
		}
	}
	if r := w.Report(); r.Arrived != 0 || r.Unreadable != 5 {
		t.Errorf("%+v", r)
	}
}

// The faults of a box, as its node sees them on sockets.
func TestBackendFaultsOnSockets(t *testing.T) {
	t.Run("killed", func(t *testing.T) {
		w := start(t, Options{})
		c := dial(t, w.backendAddr(1, 0))
		c.sendRequest("/read", "a", "")
		c.wantStatus(200)
		id := inject(t, w, faultinject.Fault{Kind: faultinject.Kill, Backends: []int{1}})
		if _, err := c.readResponse(5 * time.Second); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("an open connection ends with %v, want a reset", err)
		}
		if nc, err := net.DialTimeout("tcp4", w.backendAddr(1, 0), time.Second); err == nil {
			nc.Close()
			t.Error("a dead process accepts")
		}
		if !w.Lift(id) || w.Lift(id) {
			t.Error("lifted not at all, or twice")
		}
		c = dial(t, w.backendAddr(1, 0))
		c.sendRequest("/read", "b", "")
		c.wantStatus(200)
	})
	t.Run("cut", func(t *testing.T) {
		w := start(t, Options{})
		// Node 0 is in east, box 1 in west; box 0 stands beside it.
		far, near := dial(t, w.backendAddr(1, 0)), dial(t, w.backendAddr(0, 0))
		far.sendRequest("/read", "a", "")
		far.wantStatus(200)
		id := inject(t, w, faultinject.Fault{Kind: faultinject.SiteCut, Site: "west"})
		far.sendRequest("/read", "b", "")
		near.sendRequest("/read", "c", "")
		near.wantStatus(200)
		if r, err := far.readResponse(300 * time.Millisecond); err == nil {
			t.Errorf("%d through a cut", r.StatusCode)
		}
		if nc, err := net.DialTimeout("tcp4", w.backendAddr(1, 0), 300*time.Millisecond); err == nil {
			nc.Close()
			t.Error("a connection comes up through a cut")
		}
		if nc, err := net.DialTimeout("tcp4", w.backendAddr(1, 1), time.Second); err != nil {
			t.Errorf("a node of the same site cannot connect: %v", err)
		} else {
			nc.Close()
		}
		w.Lift(id)
		if _, err := far.readResponse(5 * time.Second); err != nil { // what was held back comes through
			t.Errorf("after the cut: %v", err)
		}
		dial(t, w.backendAddr(1, 0))
	})
	t.Run("full, errors, resets", func(t *testing.T) {
		w := start(t, Options{})
		id := inject(t, w, faultinject.Fault{Kind: faultinject.FastErrors, Backends: []int{0}, Size: 1})
		c := dial(t, w.backendAddr(0, 0))
		c.sendRequest("/read", "a", "")
		c.wantStatus(500)
		w.Lift(id)
		c.sendRequest("/read", "b", "")
		c.wantStatus(200)
		id = inject(t, w, faultinject.Fault{Kind: faultinject.Interim, Backends: []int{0}, Size: 1})
		c.sendRequest("/read", "i", "")
		c.wantStatus(100)
		c.wantStatus(103)
		c.wantStatus(200)
		w.Lift(id)
		id = inject(t, w, faultinject.Fault{Kind: faultinject.Garbage, Backends: []int{0}, Size: 1})
		c.sendRequest("/start", "g", "")
		if r, err := c.readResponse(5 * time.Second); err == nil {
			t.Errorf("noise is read as %d", r.StatusCode)
		}
		if n := w.Executions("g"); n != 1 {
			t.Errorf("noise after the request: it ran %d times", n)
		}
		w.Lift(id)
		c = dial(t, w.backendAddr(0, 0))
		c.sendRequest("/read", "h", "")
		c.wantStatus(200)
		inject(t, w, faultinject.Fault{Kind: faultinject.Resets, Backends: []int{0}, Size: 1})
		c.sendRequest("/start", "c", "")
		if _, err := c.readResponse(5 * time.Second); err == nil {
			t.Error("no reset")
		}
		if n := w.Executions("c"); n != 1 {
			t.Errorf("a reset after the request: it ran %d times", n)
		}
		inject(t, w, faultinject.Fault{Kind: faultinject.Freeze, Backends: []int{2}})
		// A node that gives up what has begun: it has run all the same, and a repeat is a second run.
		for want := 1; want <= 2; want++ {
			c := dial(t, w.backendAddr(2, 0))
			c.sendRequest("/start", "given up", "")
			for w.Executions("given up") < want {
				time.Sleep(time.Millisecond)
			}
			c.conn.Close()
		}
		if n := w.Report().DuplicateRuns; n != 1 {
			t.Errorf("%d second runs counted, want 1", n)
		}
		full, before := 0, w.Report().Arrived
		for i := range int64(28) { // 8 slots, of which 2 are taken, and 16 places to wait
			c := dial(t, w.backendAddr(2, 0))
			c.sendRequest("/start", fmt.Sprint("f", i), "")
			for w.Report().Arrived < before+i+1 { // one after the other
				time.Sleep(time.Millisecond)
			}
			if i >= 22 {
				if r := c.wantStatus(503); r.Header.Get("X-Never-Ran") == "1" {
					full++
				}
			}
		}
		if full != 6 {
			t.Errorf("%d turned away, want 6", full)
		}
	})
	t.Run("drained", func(t *testing.T) {
		var log bytes.Buffer
		w := start(t, Options{Log: &log})
		inject(t, w, faultinject.Fault{Kind: faultinject.Drain, Backends: []int{3}})
		c := dial(t, w.backendAddr(3, 0))
		c.sendRequest("/read", "a", "")
		if r := c.wantStatus(503); r.Header.Get("X-Never-Ran") != "1" {
			t.Error("not said to have never run")
		}
		fetchList(t, w, 0, "") // from here on node 0 has been told
		deadline := time.Now().Add(10 * time.Second)
		for n := 0; w.Report().AfterDrain == 0; n++ {
			if time.Now().After(deadline) {
				t.Fatal("sends long after the node was told are not seen")
			}
			c.sendRequest("/read", fmt.Sprint("b", n), "")
			if _, err := c.readResponse(5 * time.Second); err != nil {
				c = dial(t, w.backendAddr(3, 0))
			}
		}
		other := dial(t, w.backendAddr(3, 1)) // node 1 was told nothing
		before := w.Report().AfterDrain
		other.sendRequest("/read", "c", "")
		other.wantStatus(503)
		if w.Report().AfterDrain != before {
			t.Error("a node that was not told is blamed")
		}
	})
}

func fetchList(t *testing.T, w *Cluster, node int, query string) endpointList {
	t.Helper()
	r, err := http.Get("http://" + w.Discovery(node) + "/v1/endpoints" + query)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	var a endpointList
	if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
		t.Fatal(err)
	}
	return a
}

func TestDiscovery(t *testing.T) {
	w := start(t, Options{})
	a := fetchList(t, w, 1, "")
	if !a.Full || len(a.Endpoints) != 4 || a.Revision != 4 || a.Endpoints[3].Endpoint != w.backendAddr(3, 1) || a.Endpoints[3].Zone != "west" ||
		a.Endpoints[0].State != "in_service" || a.Endpoints[0].BootMs != 0 {
		t.Errorf("%+v", a)
	}
	// A watch ends with the change, and with nothing when its time is over.
	type told struct {
		a  endpointList
		at time.Duration
	}
	got := make(chan told, 1)
	go func() {
		a := fetchList(t, w, 0, "?since=4&timeout_ms=20000")
		got <- told{a, w.Since()}
	}()
	at := w.Since()
	id := inject(t, w, faultinject.Fault{Kind: faultinject.Kill, Backends: []int{2}})
	x := <-got
	if x.a.Full || len(x.a.Endpoints) != 1 || x.a.Endpoints[0].UID != "box-3" || x.a.Endpoints[0].State != "terminated" || x.at-at > 5*time.Second {
		t.Errorf("%+v after %v", x.a, x.at-at)
	}
	w.Lift(id)
	for a = fetchList(t, w, 0, "?since=5&timeout_ms=5000"); len(a.Endpoints) == 0; {
		t.Fatal("the box that came back is not told")
	}
	if a.Endpoints[0].State != "in_service" || time.Since(time.UnixMilli(a.Endpoints[0].BootMs)) > time.Minute {
		t.Errorf("%+v", a)
	}
	if a = fetchList(t, w, 0, "?since=6&timeout_ms=50"); a.Full || len(a.Endpoints) != 0 || a.Revision != 6 {
		t.Errorf("nothing new: %+v", a)
	}
	if a = fetchList(t, w, 0, "?since=99&timeout_ms=50"); !a.Full || len(a.Endpoints) != 4 {
		t.Errorf("a version of another life: %+v", a)
	}
	// Down, it resets calls and watches.
	ended := make(chan error, 1)
	go func() {
		_, err := http.Get("http://" + w.Discovery(0) + "/v1/endpoints?since=6&timeout_ms=20000")
		ended <- err
	}()
	id = inject(t, w, faultinject.Fault{Kind: faultinject.ListDown})
	if err := <-ended; err == nil {
		t.Error("a watch outlives discovery")
	}
	if r, err := http.Get("http://" + w.Discovery(1) + "/v1/endpoints"); err == nil {
		r.Body.Close()
		t.Errorf("status %d while it is down", r.StatusCode)
	}
	w.Lift(id)
	if a = fetchList(t, w, 1, ""); len(a.Endpoints) != 4 {
		t.Errorf("%+v", a)
	}
}

func TestControlPort(t *testing.T) {
	w := start(t, Options{})
	addr, err := w.Control("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	post := func(text string) (int, string) {
		r, err := http.Post("http://"+addr+"/faults", "application/json", strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		defer r.Body.Close()
		raw, _ := io.ReadAll(r.Body)
		return r.StatusCode, string(raw)
	}
	for text, says := range map[string]string{
		`{"kind":"earthquake"}`:                     "none of",
		`{"kind":"kill","boxes":[9]}`:               "no number 9",
		`{"kind":"kill","boxen":[1]}`:               "boxen",
		`{"kind":"rolling","for_ms":1000}`:          "one by one",
		`{"kind":"kill"`:                            "fault:",
		`{"kind":"site-cut","site":"north"}`:        "north",
		`{"kind":"fast-errors","size":2,"share":1}`: "not within",
	} {
		if code, body := post(text); code != 400 || !strings.Contains(body, says) {
			t.Errorf("%s: %d %q, want %q", text, code, body, says)
		}
	}
	code, body := post(`{"kind":"fast-errors","boxes":[0],"size":1}`)
	if code != 200 || !strings.Contains(body, `"boxes":[0]`) {
		t.Fatalf("%d %s", code, body)
	}
	var ordered struct{ ID int }
	if err := json.Unmarshal([]byte(body), &ordered); err != nil {
		t.Fatal(err)
	}
	c := dial(t, w.backendAddr(0, 0))
	c.sendRequest("/read", "a", "")
	c.wantStatus(500)
	for _, want := range []int{204, 404} {
		req, _ := http.NewRequest("DELETE", fmt.Sprintf("http://%s/faults/%d", addr, ordered.ID), nil)
		r, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		r.Body.Close()
		if r.StatusCode != want {
			t.Errorf("status %d, want %d", r.StatusCode, want)
		}
	}
	c.sendRequest("/read", "b", "")
	c.wantStatus(200)
	if _, err := w.Control("0.0.0.0:0"); !errors.Is(err, loopback.ErrNot) {
		t.Errorf("%v", err)
	}
}

// The front shares connections out among the nodes of its site that are ready, and leaves a dead one out after a while.
func TestFrontendBalancesOverReadyNodes(t *testing.T) {
	var up [2]atomic.Bool
	var addrs []string
	var srvs []*http.Server
	for i := range 2 {
		ln, err := Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		srv := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/ready" && !up[i].Load() {
				rw.WriteHeader(503)
				return
			}
			fmt.Fprint(rw, "node", i)
		})}
		go srv.Serve(ln)
		srvs, addrs = append(srvs, srv), append(addrs, ln.Addr().String())
	}
	defer srvs[0].Close()
	defer srvs[1].Close()
	ready := make(chan int, 4)
	w := start(t, Options{Nodes: addrs, Ready: func(n int) { ready <- n }})
	ask := func(site int) string {
		c, err := net.Dial("tcp4", w.Frontend(site))
		if err != nil {
			return fmt.Sprint("nothing: ", err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		raw, err := io.ReadAll(c)
		if err != nil || len(raw) < 5 {
			return fmt.Sprint("nothing: ", err)
		}
		return string(raw[len(raw)-5:])
	}
	if got := ask(0); !strings.HasPrefix(got, "nothing") {
		t.Errorf("with no node ready: %q", got)
	}
	up[1].Store(true)
	if n := <-ready; n != 1 {
		t.Fatalf("node %d is taken in", n)
	}
	if a, b := ask(0), ask(1); a != "node1" || b != "node1" {
		t.Errorf("%q and %q, want node1 for both sites", a, b)
	}
	up[0].Store(true)
	<-ready
	if a, b := ask(0), ask(1); a != "node0" || b != "node1" {
		t.Errorf("%q and %q, want each site's own", a, b)
	}
	srvs[0].Close()
	deadline := time.Now().Add(20 * time.Second)
	for ask(0) != "node1" {
		if time.Now().After(deadline) {
			t.Fatal("the dead node is never left out")
		}
	}
}

func TestStartAndListenRejectOtherAddressesThanLoopback(t *testing.T) {
	sc, err := scenario.Parse("small", []byte(small))
	if err != nil {
		t.Fatal(err)
	}
	for _, addr := range []string{"10.1.2.3:80", "0.0.0.0:80", "[::]:80", "node:80", "8.8.8.8:53"} {
		if _, err := Start(t.Context(), sc, Options{Nodes: []string{addr, addr}}); err == nil {
			t.Errorf("%s is accepted", addr)
		}
		if ln, err := Listen(addr); err == nil {
			ln.Close()
			t.Errorf("listens on %s", addr)
		}
	}
}

func TestTraceReadsEventLog(t *testing.T) {
	sc, err := scenario.Parse("small", []byte(small))
	if err != nil {
		t.Fatal(err)
	}
	log := `{"us":100,"what":"listed","node":0,"place":1}
{"us":500,"what":"arrived","id":"a","node":1,"place":0,"class":"start","tenant":"middle","key":9}
{"us":700,"what":"arrived","id":"b","node":0,"place":0,"class":"read","tenant":"large"}
{"us":900,"what":"arrived","id":"a","node":1,"place":2,"class":"start","tenant":"middle","key":9}
`
	var out bytes.Buffer
	n, err := Trace(strings.NewReader(log), &out, sc)
	if err != nil || n != 2 || out.String() != "0 1 1 1 9\n200 0 0 0 0\n" {
		t.Errorf("%d, %v: %q", n, err, out.String())
	}
	for in, says := range map[string]string{"{": "line 1: ", `{"what":"arrived","id":"a","class":"x"}`: `line 1: class: "x"`} {
		if _, err := Trace(strings.NewReader(in), io.Discard, sc); err == nil || !strings.HasPrefix(err.Error(), says) {
			t.Errorf("%q: %v", in, err)
		}
	}
}
