package daemon

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// process is a node that a test starts and stops; its signals are the context's.
type process struct {
	stop  func()
	ended chan error
	out   lines
}

func startProcess(t *testing.T, text string) (p *process, addr, operator string) {
	t.Helper()
	c, err := Parse([]byte(text), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p = &process{stop: cancel, ended: make(chan error, 1), out: make(lines, 200)}
	go func() { p.ended <- Serve(ctx, c, nil, nil, slog.New(slog.NewTextHandler(p.out, nil))) }()
	line := p.await(t, "msg=serving")
	field := func(name string) string {
		_, after, _ := strings.Cut(line, name+"=")
		value, _, _ := strings.Cut(after, " ")
		return value
	}
	return p, field("listen"), field("operator")
}

func (p *process) await(t *testing.T, says string) string {
	t.Helper()
	for end := time.After(10 * time.Second); ; {
		select {
		case line := <-p.out:
			if strings.Contains(line, says) {
				return line
			}
		case <-end:
			t.Fatalf("no line says %s", says)
		}
	}
}

// Upgrades under load: a new process takes the place of the old one, again and again. No request is lost or turned back,
// and none runs twice. Where nothing is handed over, as without a folder, that holds but for what the system resets.
func TestUpgrades(t *testing.T) {
	var mu sync.Mutex
	runs := map[string]int{}
	app := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		runs[r.Header.Get("X-Trace-Id")]++
		mu.Unlock()
		fmt.Fprint(w, "served")
	}))
	defer app.Close()
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.RequestURI, "timeout_ms=0") {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, `{"rev":41,"all":false,"targets":[]}`)
	}))
	defer discovery.Close()
	defer discovery.CloseClientConnections()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen := free.Addr().String()
	_ = free.Close()
	text := strings.NewReplacer("127.0.0.1:1\"", app.Listener.Addr().String()+"\"", `"listen":"127.0.0.1:0"`,
		`"operator":"127.0.0.1:0","listen":"`+listen+`"`, "127.0.0.1:8500", discovery.Listener.Addr().String(),
		`"effect":"repeatable"`, `"effect":"once"`, "600000", "60000000", "1500000", "60000000").Replace(good)
	t.Setenv("TMPDIR", t.TempDir())
	p, addr, operator := startProcess(t, text)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	var sent, turnedBack, lost, ids atomic.Int64
	for range 6 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			one := &http.Transport{MaxConnsPerHost: 1}
			defer one.CloseIdleConnections()
			for {
				select {
				case <-stop:
					return
				default:
				}
				req, _ := http.NewRequest("POST", "http://"+addr+"/read", http.NoBody)
				req.Header = http.Header{"X-Trace-Id": {fmt.Sprint("u", ids.Add(1))}, "X-Customer": {"t"}}
				sent.Add(1)
				resp, err := one.RoundTrip(req)
				if err != nil {
					turnedBack.Add(1)
					continue
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != 200 {
					lost.Add(1)
					t.Log(resp.StatusCode, err)
				}
				_ = resp.Body.Close()
				time.Sleep(2 * time.Millisecond)
			}
		}()
	}
	const upgrades = 20 // each takes the 0.75 s of a stop
	var pause time.Duration
	active := func(operator string, token, want int) {
		t.Helper()
		req, _ := http.NewRequest("PUT", fmt.Sprintf("http://%s/active?lease=roll&token=%d", operator, token), http.NoBody)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		if _ = resp.Body.Close(); resp.StatusCode != want {
			t.Errorf("token %d: %d, want %d", token, resp.StatusCode, want)
		}
	}
	active(operator, 10, 200)
	for i := range upgrades {
		began := time.Now()
		next, _, at := startProcess(t, text)
		active(at, 9+i, 409) // whoever was overtaken before the upgrade is refused after it, too
		active(at, 11+i, 200)
		resp, err := http.Get("http://" + at + "/status")
		if err != nil || resp.StatusCode != 200 {
			t.Fatal(resp, err)
		}
		pause = max(pause, time.Since(began))
		p.stop()
		p.await(t, "msg=stopped")
		if err := <-p.ended; err != nil {
			t.Error(err)
		}
		p, operator = next, at
	}
	close(stop)
	wait.Wait()
	_ = operator
	p.stop()
	if err := <-p.ended; err != nil {
		t.Error(err)
	}
	twice := 0
	mu.Lock()
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	mu.Unlock()
	t.Logf("%d upgrades, %d requests: %d turned back, %d lost, %d run twice; at most %v from start to yes", upgrades, sent.Load(),
		turnedBack.Load(), lost.Load(), twice, pause.Round(time.Millisecond))
	if turnedBack.Load()+lost.Load() > 0 || twice > 0 {
		t.Error("requests were turned back, lost or run twice")
	}
}

// What an older process knows goes over: the list with its version, and the socket. The older serves on when the newer
// does not start.
func TestFailedUpgrade(t *testing.T) {
	app := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "served") }))
	defer app.Close()
	text := strings.NewReplacer("127.0.0.1:1\"", app.Listener.Addr().String()+"\"", `"listen"`, `"operator":"127.0.0.1:0","listen"`).Replace(good)
	t.Setenv("TMPDIR", t.TempDir())
	p, addr, operator := startProcess(t, text)
	broken := strings.Replace(text, `"operator":"127.0.0.1:0"`, `"operator":"`+operator+`"`, 1) // in use
	c, err := Parse([]byte(strings.Replace(broken, `"rev":41`, `"rev":7`, 1)), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	out := make(lines, 100)
	if err := Serve(context.Background(), c, nil, nil, slog.New(slog.NewTextHandler(out, nil))); err == nil {
		t.Error("it has started")
	}
	if line := (&process{out: out}).await(t, "taken over"); !strings.Contains(line, "rev=41 backends=1") {
		t.Error(line)
	}
	p.await(t, "handed over")
	p.await(t, "the newer process has ended")
	for i := range 20 {
		req, _ := http.NewRequest("GET", "http://"+addr+"/read", nil)
		req.Header = http.Header{"X-Trace-Id": {fmt.Sprint("f", i)}, "X-Customer": {"t"}}
		req.Close = true
		if resp, err := http.DefaultClient.Do(req); err != nil || resp.StatusCode != 200 {
			t.Fatal(resp, err)
		}
	}
	p.stop()
	if err := <-p.ended; err != nil {
		t.Error(err)
	}
}
