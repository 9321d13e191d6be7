package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// descriptors is what each process of a test may hold.
const descriptors = 96

// TestMain is the program itself where a test has started it as one.
func TestMain(m *testing.M) {
	if os.Getenv("TULIPGLADE_TEST_RUN") != "" {
		most := uint64(number("TULIPGLADE_TEST_FILES", descriptors))
		files := syscall.Rlimit{Cur: most, Max: most} // as the platform does
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		if err := command().Run(context.Background(), []string{"tulipglade", "serve", "--config", os.Getenv("TULIPGLADE_TEST_RUN")}); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// service is discovery as the processes of a test reach it, each at an address of its own. It can be down, slow to refuse, or up.
type service struct {
	mu      sync.Mutex
	refuses time.Duration // a call is refused after so long, below 0 at once; 0: it is answered
	refused map[int]int   // calls, by process
	tired   chan struct{} // closed as each has been refused failures times
	heard   map[int]bool  // processes that have been told of the change
	all     chan struct{} // closed as all have
	n       int
}

// drained is the change that discovery has.
const drained = `{"rev":9,"all":false,"targets":[{"uid":"b","endpoint":"127.0.0.1:1","az":"z","state":"terminating","capacity_hint":1}]}`

func (s *service) handler(i int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		refuses := s.refuses
		s.mu.Unlock()
		if refuses == down {
			if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}
			return
		}
		if refuses != 0 {
			select {
			case <-time.After(refuses):
			case <-r.Context().Done():
			}
			w.WriteHeader(503)
			s.count(i)
			return
		}
		if r.URL.Query().Get("since") == "9" {
			<-r.Context().Done() // a watch, and nothing changes
			return
		}
		_, _ = io.WriteString(w, drained)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.heard[i] {
			return
		}
		if s.heard[i] = true; len(s.heard) == s.n {
			close(s.all)
		}
	}
}

// failures is how often each process is refused: so often that a pause which doubles would have grown beyond any bound.
const failures = 5

func (s *service) count(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused[i]++; s.refused[i] != failures {
		return
	}
	for k := range s.n {
		if s.refused[k] < failures {
			return
		}
	}
	close(s.tired)
}

// is says what becomes of calls from here on.
func (s *service) is(how time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuses, s.heard, s.all, s.refused, s.tired = how, map[int]bool{}, make(chan struct{}), map[int]int{}, make(chan struct{})
}

// tellsAll waits until all have heard, as long as a change may take to count as told.
func (s *service) tellsAll(t *testing.T, since string) {
	t.Helper()
	select {
	case <-s.all:
	case <-time.After(6 * time.Second):
		s.mu.Lock()
		defer s.mu.Unlock()
		t.Errorf("%d of %d have heard 6 s after discovery %s", len(s.heard), s.n, since)
	}
}

// down has each call reset at once.
const down = time.Duration(-1 << 62)

// process is the program, started by a test.
type process struct {
	cmd    *exec.Cmd
	config string
	addr   chan string
}

func (p *process) start(t *testing.T) {
	t.Helper()
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(os.Environ(), "TULIPGLADE_TEST_RUN="+p.config)
	log, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	addr := make(chan string, 1)
	p.addr = addr
	go func() { // to the end, or the process would wait for a reader
		for lines := bufio.NewScanner(log); lines.Scan(); {
			if _, rest, ok := strings.Cut(lines.Text(), "msg=serving"); ok {
				_, rest, _ = strings.Cut(rest, " listen=")
				rest, _, _ = strings.Cut(rest, " ")
				addr <- rest
			}
		}
	}()
}

// at is where the process listens, once it does.
func (p *process) at() string {
	at := <-p.addr
	p.addr <- at
	return at
}

func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	_ = p.cmd.Wait()
}

// readyWithin counts the processes that are ready by then.
func readyWithin(all []*process, within time.Duration) int {
	end := time.Now().Add(within)
	var ready atomic.Int32
	var wg sync.WaitGroup
	for _, p := range all {
		wg.Go(func() {
			at, c := "", http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			select {
			case at = <-p.addr:
				p.addr <- at
			case <-time.After(within):
			}
			for time.Now().Before(end) {
				if resp, err := c.Get("http://" + at + "/ready"); err == nil {
					_ = resp.Body.Close()
					if resp.StatusCode == 200 {
						ready.Add(1)
						return
					}
				}
			}
		})
	}
	wg.Wait()
	return int(ready.Load())
}

// Twenty processes of the program and a discovery that fails them. Started while it is down, nine in ten are ready within 10 s; with idle clients
// on every descriptor that a process gives away, all have heard of a change 6 s after discovery is back; killed and started together while it has
// too many callers, nine in ten are ready within 10 s again.
func TestProcessesWithoutDiscovery(t *testing.T) {
	const n = 20
	s := &service{n: n}
	s.is(down)
	app := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer app.Close()
	var all []*process
	for i := range n {
		srv := httptest.NewServer(s.handler(i))
		defer srv.Close()
		defer srv.CloseClientConnections()
		p := &process{config: filepath.Join(t.TempDir(), "config.json")}
		text := fmt.Sprintf(`{"name":"n%d","listen":%q,"discovery":%q,"limits":{"cores":1,"memory_mb":192,"sockets":%d},"known":{"rev":4,"all":true,"targets":[
			{"uid":"a","endpoint":%q,"az":"z","state":"in_service","capacity_hint":1},{"uid":"b","endpoint":"127.0.0.1:1","az":"z","state":"in_service","capacity_hint":1}]},
			"settings":{"discovery":"ask","me":%d,"peers_total":%d,"zones":["z"],"orgs":[{"name":"t","share":1}],"tick_us":5000,
			"profiles":[{"name":"read","aim_us":600000,"deadline_us":1500000,"effect":"repeatable"}],
			"limits":{"connect_timeout_us":250000,"keepalive_us":30000000,"max_attempts":3,"max_open":20000},
			"rules":{"ask_every_us":9000000,"grace_to_answer_us":20000,"drain_grace_us":500000}}}`, i, "127.0.0.1:0", srv.Listener.Addr().String(), descriptors, app.Listener.Addr().String(), i, n)
		if err := os.WriteFile(p.config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		all = append(all, p)
		p.start(t)
		defer p.kill()
	}
	if k := readyWithin(all, 10*time.Second); k < n*9/10 {
		t.Fatalf("%d of %d ready without discovery", k, n)
	}
	s.is(-1)
	select {
	case <-s.tired:
	case <-time.After(time.Minute):
		t.Fatal("not every process calls again and again")
	}
	for _, p := range all { // more idle clients than there are descriptors
		for range descriptors * 5 / 4 {
			conn, err := net.DialTimeout("tcp", p.at(), 5*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
		}
	}
	s.is(0)
	s.tellsAll(t, "was back")
	s.is(2 * time.Second)
	for _, p := range all {
		p.kill()
	}
	for _, p := range all {
		p.start(t)
	}
	if k := readyWithin(all, 10*time.Second); k < n*9/10 {
		t.Errorf("%d of %d ready again before a discovery with too many callers", k, n)
	}
	s.is(0) // and it has room again
	s.tellsAll(t, "had room")
}
