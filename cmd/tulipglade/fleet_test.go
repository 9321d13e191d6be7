package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
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
		files := syscall.Rlimit{Cur: descriptors, Max: descriptors} // as the platform does
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
	srvs    []*http.Server
	addrs   []string
}

// drained is the change that discovery has.
const drained = `{"rev":9,"all":false,"targets":[{"uid":"b","endpoint":"127.0.0.1:1","az":"z","state":"terminating","capacity_hint":1}]}`

func (s *service) handler(i int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		refuses := s.refuses
		s.mu.Unlock()
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
		if s.heard[i] = true; len(s.heard) == s.n {
			close(s.all)
			s.heard = nil
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

// up has discovery listen at the addresses that it had, refusing calls after so long if that is not 0.
func (s *service) up(t *testing.T, refuses time.Duration) {
	t.Helper()
	s.mu.Lock()
	s.refuses, s.heard, s.all, s.refused, s.tired = refuses, map[int]bool{}, make(chan struct{}), map[int]int{}, make(chan struct{})
	s.mu.Unlock()
	for i, addr := range s.addrs {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		srv := &http.Server{Handler: s.handler(i)}
		s.srvs = append(s.srvs, srv)
		go func() { _ = srv.Serve(ln) }()
	}
}

func (s *service) down() {
	for _, srv := range s.srvs {
		_ = srv.Close()
	}
	s.srvs = nil
}

// free is an address that nobody listens at.
func free(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// process is the program, started by a test.
type process struct {
	cmd    *exec.Cmd
	config string
	addr   string
}

func (p *process) start(t *testing.T) {
	t.Helper()
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(os.Environ(), "TULIPGLADE_TEST_RUN="+p.config)
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
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
			c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			for time.Now().Before(end) {
				if resp, err := c.Get("http://" + p.addr + "/ready"); err == nil {
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
	app := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer app.Close()
	var all []*process
	for i := range n {
		s.addrs = append(s.addrs, free(t))
		p := &process{config: filepath.Join(t.TempDir(), "config.json"), addr: free(t)}
		text := fmt.Sprintf(`{"name":"n%d","listen":%q,"discovery":%q,"limits":{"cores":1,"memory_mb":192,"sockets":%d},"known":{"rev":4,"all":true,"targets":[
			{"uid":"a","endpoint":%q,"az":"z","state":"in_service","capacity_hint":1},{"uid":"b","endpoint":"127.0.0.1:1","az":"z","state":"in_service","capacity_hint":1}]},
			"settings":{"discovery":"ask","me":%d,"peers_total":%d,"zones":["z"],"orgs":[{"name":"t","share":1}],"tick_us":5000,
			"profiles":[{"name":"read","aim_us":600000,"deadline_us":1500000,"effect":"repeatable"}],
			"limits":{"connect_timeout_us":250000,"keepalive_us":30000000,"max_attempts":3,"max_open":20000},
			"rules":{"ask_every_us":9000000,"grace_to_answer_us":20000,"drain_grace_us":500000}}}`, i, p.addr, s.addrs[i], descriptors, app.Listener.Addr().String(), i, n)
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
	s.up(t, -1)
	select {
	case <-s.tired:
	case <-time.After(time.Minute):
		t.Fatal("not every process calls again and again")
	}
	for _, p := range all { // more idle clients than there are descriptors
		for range descriptors * 5 / 4 {
			conn, err := net.DialTimeout("tcp", p.addr, 5*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
		}
	}
	s.mu.Lock()
	s.refuses = 0
	s.mu.Unlock()
	select {
	case <-s.all:
	case <-time.After(6 * time.Second):
		s.mu.Lock()
		t.Errorf("%d of %d have heard 6 s after discovery was back", len(s.heard), n)
		s.mu.Unlock()
	}
	s.down()
	s.up(t, 2*time.Second)
	for _, p := range all {
		p.kill()
	}
	for _, p := range all {
		p.start(t)
	}
	if k := readyWithin(all, 10*time.Second); k < n*9/10 {
		t.Errorf("%d of %d ready again before a discovery with too many callers", k, n)
	}
	s.down()
	s.up(t, 0) // and it has room again
	defer s.down()
	select {
	case <-s.all:
	case <-time.After(6 * time.Second):
		s.mu.Lock()
		t.Errorf("%d of %d have heard 6 s after discovery had room", len(s.heard), n)
		s.mu.Unlock()
	}
}
