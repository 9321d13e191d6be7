package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// caller is a client that asks again and again, on a connection that it keeps as long as that stays open, until nobody hears it any more.
type caller struct {
	addr, name string
	holdAt     int // the number of the request that its host holds, below 0: of none
	answered   int
	crossed    []string // ids of requests that met the end of their connection, with not a byte of an answer
	fault      string
	turnedAway func() // called as it meets a process that is about to end
}

func (c *caller) run() {
	for n := 0; c.fault == ""; {
		conn, err := net.DialTimeout("tcp", c.addr, 10*time.Second)
		if err != nil {
			return // the process has ended
		}
		_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
		unheard := len(c.crossed)
		for in, open, first := bufio.NewReader(conn), true, n; open && c.fault == ""; n++ {
			id, hold := fmt.Sprintf("%s-%d", c.name, n), ""
			if n == c.holdAt {
				hold = "X-Hold: 1\r\n"
			}
			_, sent := fmt.Fprintf(conn, "POST /pay HTTP/1.1\r\nHost: h\r\nX-Trace-Id: %s\r\nX-Customer: t\r\n%sContent-Length: 0\r\n\r\n", id, hold)
			if open = c.read(in, id, sent); n == first && len(c.crossed) > unheard {
				_ = conn.Close()
				c.turnedAway()
				return // a new connection, and it is shut: whoever deals them out goes elsewhere by now
			}
		}
		_ = conn.Close()
	}
}

// read takes the answer to a request, and tells whether its connection stays open.
func (c *caller) read(in *bufio.Reader, id string, sent error) bool {
	if _, err := in.Peek(1); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.fault = fmt.Sprintf("%s: no answer and no end: %v, %v", id, sent, err)
		}
		c.crossed = append(c.crossed, id)
		return false
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		c.fault = fmt.Sprintf("%s: %v", id, err)
		return false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode == 200 && string(body) != id || resp.StatusCode != 200 && resp.StatusCode != 503 {
		c.fault = fmt.Sprintf("%s: status %d, %q, %v", id, resp.StatusCode, body, err)
	}
	if c.answered++; resp.StatusCode == 503 {
		c.turnedAway()
	}
	return !resp.Close
}

// Three processes are told to end under load, each with a request at its host that this holds until the process turns others away, while clients
// go on to ask on every connection
// that stays open, and open others. Each process ends by itself, in order; each request has its whole answer, or has met the end of its
// connection and never ran.
func TestProcessesStopUnderLoad(t *testing.T) {
	const processes, callers = 3, 6
	var ran sync.Map
	var held atomic.Int32
	all, leaving := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(leaving) })
	app := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Trace-Id")
		ran.Store(id, true)
		if r.Header.Get("X-Hold") != "" {
			if held.Add(1) == processes {
				close(all)
			}
			<-leaving
		}
		_, _ = io.WriteString(w, id)
	}))
	defer app.Close()
	defer release()
	nobody := httptest.NewServer(http.NotFoundHandler()) // discovery, which says nothing of use
	defer nobody.Close()
	var nodes []*process
	var wg sync.WaitGroup
	var clients []*caller
	for i := range processes {
		p := &process{config: filepath.Join(t.TempDir(), "config.json")}
		text := fmt.Sprintf(`{"name":"n%d","listen":"127.0.0.1:0","discovery":%q,"limits":{"cores":1,"memory_mb":192,"sockets":%d},"known":{"rev":4,"all":true,"targets":[
			{"uid":"a","endpoint":%q,"az":"z","state":"in_service","capacity_hint":1}]},
			"settings":{"discovery":"ask","me":%d,"peers_total":%d,"zones":["z"],"orgs":[{"name":"t","share":1}],"tick_us":5000,
			"profiles":[{"name":"pay","aim_us":9000000,"deadline_us":10000000,"effect":"once"}],
			"limits":{"connect_timeout_us":5000000,"keepalive_us":30000000,"max_attempts":3,"max_open":20000},
			"rules":{"ask_every_us":9000000,"grace_to_answer_us":20000,"drain_grace_us":500000}}}`,
			i, nobody.Listener.Addr().String(), descriptors, app.Listener.Addr().String(), i, processes)
		if err := os.WriteFile(p.config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		p.start(t)
		defer p.kill()
		nodes = append(nodes, p)
		for k := range callers {
			c := &caller{addr: p.at(), name: fmt.Sprintf("n%d-c%d", i, k), holdAt: -1, turnedAway: release}
			if k == 0 {
				c.holdAt = 20
			}
			clients = append(clients, c)
			wg.Go(c.run)
		}
	}
	select {
	case <-all:
	case <-time.After(30 * time.Second):
		t.Errorf("%d requests are held, want %d", held.Load(), processes)
	}
	for _, p := range nodes {
		if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Error(err)
		}
	}
	for i, p := range nodes {
		if err := p.cmd.Wait(); err != nil {
			t.Errorf("process %d: %v", i, err)
		}
	}
	wg.Wait()
	answered, crossed := 0, 0
	for _, c := range clients {
		if c.fault != "" {
			t.Error(c.fault)
		}
		answered, crossed = answered+c.answered, crossed+len(c.crossed)
		for _, id := range c.crossed {
			if _, did := ran.Load(id); did {
				t.Errorf("%s ran, and has no answer", id)
			}
		}
	}
	t.Logf("%d requests answered, %d met the end of their connection", answered, crossed)
}
