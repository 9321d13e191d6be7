package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// removal is the change that discovery has had since before any process of the test started: backend b is gone.
const removal = `{"rev":9,"all":false,"targets":[{"uid":"b","endpoint":"127.0.0.1:1","az":"z","state":"terminated"}]}`

// lateDiscovery knows of the removal all along. Calls wait for their answers until it is released.
type lateDiscovery struct {
	release chan struct{}
	mu      sync.Mutex
	told    map[int]bool
}

func (d *lateDiscovery) handler(process int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("since") == "9" {
			<-r.Context().Done() // a watch, and nothing changes
			return
		}
		select {
		case <-d.release:
		case <-r.Context().Done():
			return
		}
		_, _ = io.WriteString(w, removal)
		d.mu.Lock()
		defer d.mu.Unlock()
		d.told[process] = true
	}
}

func (d *lateDiscovery) toldAll(processes int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.told) == processes
}

// restarted is a process that begins with the list of before it was down: a and b are in service.
func restarted(t *testing.T, number int, discovery, a, b string) *process {
	t.Helper()
	p := &process{config: filepath.Join(t.TempDir(), "config.json")}
	text := fmt.Sprintf(`{"name":"n%d","listen":"127.0.0.1:0","discovery":%q,"limits":{"cores":1,"memory_mb":192,"sockets":%d},"known":{"rev":4,"all":true,"targets":[
		{"uid":"a","endpoint":%q,"az":"z","state":"in_service","capacity_hint":1},{"uid":"b","endpoint":%q,"az":"z","state":"in_service","capacity_hint":1}]},
		"settings":{"discovery":"ask","me":%d,"peers_total":10,"zones":["z"],"orgs":[{"name":"t","share":1}],"tick_us":5000,
		"profiles":[{"name":"read","aim_us":600000,"deadline_us":1500000,"effect":"repeatable"}],
		"limits":{"connect_timeout_us":250000,"keepalive_us":30000000,"max_attempts":3,"max_open":20000},
		"rules":{"ask_every_us":10000000,"grace_to_answer_us":20000,"drain_grace_us":500000}}}`,
		number, discovery, descriptors, a, b, number)
	if err := os.WriteFile(p.config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p.start(t)
	return p
}

// A process that comes back with the list of before it was down does not know how old that is: a backend that went meanwhile counts as gone
// from the first moment. Nothing may go to it, however busy discovery is, and requests are served as soon as the process has heard.
func TestRestartedProcessesDoNotTrustAnOldList(t *testing.T) {
	const processes = 10
	var toRemoved atomic.Int32
	serving := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer serving.Close()
	removed := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { toRemoved.Add(1) }))
	defer removed.Close()
	d := &lateDiscovery{release: make(chan struct{}), told: map[int]bool{}}
	var answered, refused atomic.Int32
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for i := range processes {
		srv := httptest.NewServer(d.handler(i))
		defer srv.Close()
		defer srv.CloseClientConnections()
		p := restarted(t, i, srv.Listener.Addr().String(), serving.Listener.Addr().String(), removed.Listener.Addr().String())
		defer p.kill()
		clients.Go(func() { askUntil(t, stop, p.at(), i, &answered, &refused) })
	}
	time.Sleep(time.Second) // a process that trusts its list has long sent by it
	if k := toRemoved.Load(); k > 0 {
		t.Errorf("%d requests at the backend that is gone while no process had heard from discovery", k)
	}
	close(d.release)
	for end := time.Now().Add(5 * time.Second); !d.toldAll(processes); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Errorf("only %d of %d processes have asked within 6 s", len(d.told), processes)
			break
		}
	}
	before := answered.Load()
	for end := time.Now().Add(5 * time.Second); answered.Load() < before+10*processes && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	close(stop)
	clients.Wait()
	if k := toRemoved.Load(); k > 0 {
		t.Errorf("%d requests at the backend that is gone", k)
	}
	if k := answered.Load() - before; k < 10*processes {
		t.Errorf("%d requests answered once all had heard", k)
	}
	t.Logf("%d answered, %d refused", answered.Load(), refused.Load())
}

// askUntil sends one request after the other to a process.
func askUntil(t *testing.T, stop <-chan struct{}, addr string, name int, answered, refused *atomic.Int32) {
	client := http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		default:
		}
		req, _ := http.NewRequest(http.MethodGet, "http://"+addr+"/read", nil)
		req.Header = http.Header{"X-Trace-Id": {fmt.Sprintf("n%d-%d", name, k)}, "X-Customer": {"t"}}
		resp, err := client.Do(req)
		if err != nil {
			t.Errorf("process %d: %v", name, err)
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		switch resp.StatusCode {
		case http.StatusOK:
			answered.Add(1)
		case http.StatusServiceUnavailable:
			refused.Add(1)
			time.Sleep(5 * time.Millisecond)
		default:
			t.Errorf("process %d: status %d", name, resp.StatusCode)
			return
		}
	}
}
