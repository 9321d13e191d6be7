package processtest

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"tulipglade/internal/agent"
	"tulipglade/internal/fake"
	"tulipglade/internal/faultinject"
	"tulipglade/internal/simulation/scenario"
)

const rollWorld = `
name = "roll"
seconds = 60.0
[fleet]
boxes = 6
[[fleet.kind]]
name = "plain"
share = 1.0
cores = 4
slots_per_core = 4
queue_per_core = 50
cold_from = [1.0, 1.0]
cold_ms = [100.0, 100.0]
crowd_from = 6.0
speed = [1.0, 1.0]
[[class]]
name = "read"
share = 1.0
work_ms = 20.0
dist = "constant"
aim_ms = 3000.0
deadline_ms = 4000.0
worth = 1.0
effect = "repeatable"
scope = "all"
window_ms = 5000.0
[nodes]
count = 9
front_notices_ms = 500.0
`

// changeNode is the command that is rolled: it ends a node's process and starts another, which stays when the command is over.
func changeNode(dir, name string) error {
	log, err := os.OpenFile(filepath.Join(dir, "changes"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	if _, err := fmt.Fprintln(log, name, int64(agent.Clock())); err != nil {
		return err
	}
	if pid := nodePid(dir, name); pid > 0 {
		_ = syscall.Kill(pid, syscall.SIGTERM) // it may be down
		for {
			raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
			if _, state, _ := strings.Cut(string(raw), ") "); err != nil || state[0] == 'Z' {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return startNode(dir, name)
}

func nodePid(dir, name string) int {
	raw, _ := os.ReadFile(filepath.Join(dir, name+".pid")) // 0: it has none
	pid, _ := strconv.Atoi(string(raw))
	return pid
}

func startNode(dir, name string) error {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(dir, "bin", "tulipglade"), "serve", "--config", filepath.Join(dir, name+".json"))
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1", "TMPDIR="+dir)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, name+".pid"), []byte(strconv.Itoa(cmd.Process.Pid)), 0o600)
}

// rolled is a fleet of 9 nodes at 3 sites, 3 agents, and programs that were built for it.
type rolled struct {
	dir    string
	w      *fake.Cluster
	agents []*exec.Cmd
	addrs  []string
	names  []string
}

func newRolled(t *testing.T) *rolled {
	r := newAgents(t)
	r.startNodes(t)
	return r
}

// newAgents builds the programs and starts 3 agents.
func newAgents(t *testing.T) *rolled {
	r := &rolled{dir: t.TempDir()}
	if out, err := exec.Command("go", "build", "-o", filepath.Join(r.dir, "bin")+"/", "../../cmd/...").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	t.Cleanup(func() {
		for _, a := range r.agents {
			_ = a.Process.Kill()
			_ = a.Wait()
		}
	})
	agents, err := fake.FreeAddrs(3)
	if err != nil {
		t.Fatal(err)
	}
	r.addrs = agents
	var members []string
	for i, a := range agents {
		members = append(members, "--member", fmt.Sprintf("%d=%s", i+1, a))
	}
	for i := range agents {
		dir := filepath.Join(r.dir, fmt.Sprint("agent", i+1))
		if out, err := r.program("tulipagent", append([]string{"init", "--dir", dir, "--id", fmt.Sprint(i + 1), "--interval", "100ms"}, members...)...).CombinedOutput(); err != nil {
			t.Fatalf("%v %s", err, out)
		}
		r.agents = append(r.agents, nil)
		r.startAgent(t, i)
	}
	return r
}

func (r *rolled) startNodes(t *testing.T) {
	sc, err := scenario.Parse("roll", []byte(rollWorld))
	if err != nil {
		t.Fatal(err)
	}
	addrs, err := fake.FreeAddrs(2 * sc.Nodes.Count)
	if err != nil {
		t.Fatal(err)
	}
	ready := make(chan int, 100)
	listen, operators := addrs[:sc.Nodes.Count], addrs[sc.Nodes.Count:]
	r.w, err = fake.Start(t.Context(), sc, fake.Options{Seed: 1, Nodes: listen, Ready: func(n int) { ready <- n }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, n := range r.names {
			if pid := nodePid(r.dir, n); pid > 0 {
				_ = syscall.Kill(pid, syscall.SIGKILL)
			}
		}
		if err := r.w.Close(); err != nil {
			t.Error(err)
		}
	})
	var list bytes.Buffer
	for i := range listen {
		raw, err := r.w.NodeConfig(i, fake.DefaultLimits)
		var config map[string]any
		if err == nil {
			err = json.Unmarshal(raw, &config)
		}
		if err != nil {
			t.Fatal(err)
		}
		name := config["name"].(string)
		config["operator"] = operators[i]
		if raw, err = json.Marshal(config); err == nil {
			err = os.WriteFile(filepath.Join(r.dir, name+".json"), raw, 0o600)
		}
		if err == nil {
			err = startNode(r.dir, name)
		}
		if err != nil {
			t.Fatal(err)
		}
		r.names = append(r.names, name)
		fmt.Fprintf(&list, "[[node]]\nname = %q\nsite = %q\noperator = %q\nlisten = %q\n", name, sc.Fleet.Sites[sc.Site(i)], operators[i], listen[i])
	}
	if err := os.WriteFile(filepath.Join(r.dir, "nodes.toml"), list.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	late := time.After(40 * time.Second)
	for range listen {
		select {
		case <-ready:
		case <-late:
			t.Fatal("not all nodes come up")
		}
	}
}

func (r *rolled) startAgent(t *testing.T, i int) {
	r.agents[i] = r.program("tulipagent", "serve", "--dir", filepath.Join(r.dir, fmt.Sprint("agent", i+1)))
	if err := r.agents[i].Start(); err != nil {
		t.Fatal(err)
	}
}

func (r *rolled) program(name string, args ...string) *exec.Cmd {
	cmd := exec.Command(filepath.Join(r.dir, "bin", name), args...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd
}

// roller is one tulipctl roll, and what it has said.
type roller struct {
	cmd   *exec.Cmd
	mu    sync.Mutex
	said  bytes.Buffer
	more  chan struct{}
	ended chan error
}

func (r *roller) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case r.more <- struct{}{}:
	default:
	}
	return r.said.Write(p)
}

func (r *roller) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.said.String()
}

// await waits until it has said that so often.
func (r *roller) await(t *testing.T, what string, times int) {
	t.Helper()
	late := time.After(time.Minute)
	for strings.Count(r.text(), what) < times {
		select {
		case <-r.more:
		case <-late:
			t.Fatalf("%q is not said %d times:\n%s", what, times, r.text())
		}
	}
}

func (r *rolled) roll(t *testing.T, change string) *roller {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	x := &roller{more: make(chan struct{}, 1), ended: make(chan error, 1)}
	x.cmd = r.program("tulipctl", "roll", "--agents", strings.Join(r.addrs, ","), "--nodes", filepath.Join(r.dir, "nodes.toml"), "--change", change,
		"--at-once", "2", "--settle", "1600ms", "--for", "4s", "--wait", "2m", "--", self, "-change-node", r.dir)
	x.cmd.Stdout, x.cmd.Stderr = x, x
	if err := x.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { x.ended <- x.cmd.Wait() }()
	return x
}

// clients keep asking through the fronts until they are stopped.
type clients struct {
	sent, lost, refused, turned atomic.Int64
	stop                        context.CancelFunc
	wait                        sync.WaitGroup
}

func (r *rolled) clients(ctx context.Context, sc *scenario.Scenario) *clients {
	c := &clients{}
	ctx, c.stop = context.WithCancel(ctx)
	for i := range 6 {
		c.wait.Go(func() {
			one := &http.Transport{MaxConnsPerHost: 1}
			defer one.CloseIdleConnections()
			for ctx.Err() == nil {
				n := c.sent.Add(1)
				req, _ := http.NewRequest("GET", "http://"+r.w.Frontend(i%3)+"/"+sc.Classes[0].Name, http.NoBody)
				req.Header = http.Header{"X-Trace-Id": {fmt.Sprint("r", n)}, "X-Qos": {sc.Classes[0].Name}, "X-Customer": {sc.Tenants[0].Name},
					"X-Expires-In-Ms": {"4000"}}
				resp, err := one.RoundTrip(req)
				if err != nil { // before any answer: the connection was closed, or none could be made
					c.turned.Add(1)
					continue
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil {
					c.lost.Add(1)
				} else if resp.StatusCode != 200 {
					c.refused.Add(1)
				}
				_ = resp.Body.Close()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	return c
}

// away checks what the nodes themselves have logged: from a standby to being taken back at most so many of one site, and never two sites.
func (r *rolled) away(t *testing.T, atOnce int) {
	t.Helper()
	type turn struct {
		at   time.Time
		site int
		out  int
	}
	var turns []turn
	for i, name := range r.names {
		raw, err := os.ReadFile(filepath.Join(r.dir, name+".log"))
		if err != nil {
			t.Fatal(err)
		}
		out := false
		for line := range strings.Lines(string(raw)) {
			stamp, _, _ := strings.Cut(strings.TrimPrefix(line, "time="), " ")
			at, err := time.Parse(time.RFC3339Nano, stamp)
			if err != nil {
				continue
			}
			switch {
			case strings.Contains(line, "msg=standby") && !out:
				out = true
				turns = append(turns, turn{at, i % 3, 1})
			case strings.Contains(line, "msg=serving") && out:
				out = false
				turns = append(turns, turn{at, i % 3, -1})
			}
		}
		if out {
			t.Errorf("%s was left away", name)
		}
	}
	slices.SortStableFunc(turns, func(a, b turn) int { return a.at.Compare(b.at) })
	var by [3]int
	for _, x := range turns {
		by[x.site] += x.out
		sites := 0
		for _, n := range by {
			if n > 0 {
				sites++
			}
			if n > atOnce {
				t.Errorf("%v: %v nodes away", x.at, by)
			}
		}
		if sites > 1 {
			t.Errorf("%v: two sites at once, %v", x.at, by)
		}
	}
}

// changes counts, for each node, how often the command ran.
func (r *rolled) changes(t *testing.T) map[string]int {
	raw, err := os.ReadFile(filepath.Join(r.dir, "changes"))
	if err != nil {
		t.Fatal(err)
	}
	n := map[string]int{}
	for line := range strings.Lines(string(raw)) {
		name, _, _ := strings.Cut(line, " ")
		n[name]++
	}
	return n
}

// Rolling restarts of real nodes under load. In the first, whoever rolls is killed in the middle, and an agent, too; in the second it is
// stopped, and goes on when another has taken over. Each node is restarted once by each change.
func TestRollIsTakenOver(t *testing.T) {
	r := newRolled(t)
	sc, err := scenario.Parse("roll", []byte(rollWorld))
	if err != nil {
		t.Fatal(err)
	}
	c := r.clients(t.Context(), sc)
	first := r.roll(t, "one")
	first.await(t, ": done", 3)
	second := r.roll(t, "one")
	if err := first.cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = r.agents[0].Process.Kill()
	_ = r.agents[0].Wait()
	if err := <-second.ended; err != nil {
		t.Fatalf("%v\n%s\n%s", err, first.text(), second.text())
	}
	r.startAgent(t, 0)
	for name, n := range r.changes(t) {
		if n != 1 {
			t.Errorf("%s was changed %d times\n%s\n%s", name, n, first.text(), second.text())
		}
	}
	third := r.roll(t, "two")
	third.await(t, ": standby", 3)
	if err := third.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	fourth := r.roll(t, "two")
	fourth.await(t, "done", 1)
	if err := third.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	if err := <-third.ended; err == nil || !strings.Contains(third.text(), "written down") {
		t.Errorf("who was stopped: %v\n%s", err, third.text())
	}
	if err := <-fourth.ended; err != nil {
		t.Fatalf("%v\n%s\n%s", err, third.text(), fourth.text())
	}
	c.stop()
	c.wait.Wait()
	got := r.changes(t)
	for _, name := range r.names {
		if got[name] != 2 {
			t.Errorf("%s was changed %d times by two changes\n%s\n%s", name, got[name], third.text(), fourth.text())
		}
	}
	r.away(t, 2)
	if c.lost.Load() > 0 || c.refused.Load() > 0 || c.sent.Load() < 1000 {
		t.Errorf("%d requests: %d lost, %d refused, %d turned back", c.sent.Load(), c.lost.Load(), c.refused.Load(), c.turned.Load())
	}
	t.Logf("%d requests: %d lost, %d refused, %d turned back; %s", c.sent.Load(), c.lost.Load(), c.refused.Load(), c.turned.Load(), second.text())
}

// run starts tulipctl lease run.
func (r *rolled) run(t *testing.T, command string) *roller {
	x := &roller{more: make(chan struct{}, 1), ended: make(chan error, 1)}
	x.cmd = r.program("tulipctl", "lease", "run", "--agents", strings.Join(r.addrs, ","), "--for", "3s", "--wait", "1m", "x", "--", "sh", "-c", command)
	x.cmd.Stdout, x.cmd.Stderr = x, x
	if err := x.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { x.ended <- x.cmd.Wait() }()
	return x
}

// A command under a lease is over before the next one begins, whether who started it is killed, stopped, or out of the group's reach.
func TestLeaseRun(t *testing.T) {
	r := newAgents(t)
	for _, c := range []struct {
		name    string
		happens func(*roller)
	}{
		{"killed", func(x *roller) { _ = x.cmd.Process.Kill() }},
		{"stopped", func(x *roller) { _ = x.cmd.Process.Signal(syscall.SIGSTOP) }},
		{"no group", func(*roller) {
			for _, a := range r.agents {
				_ = a.Process.Signal(syscall.SIGSTOP)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			first := r.run(t, `trap '' TERM; echo begins $$; while :; do sleep 0.01; done`)
			first.await(t, "begins", 1)
			pid := strings.Fields(first.text())[1]
			second := r.run(t, "if [ -d /proc/"+pid+" ] && ! grep -q ' Z ' /proc/"+pid+"/stat; then echo STILL THERE; fi; echo next")
			c.happens(first)
			if c.name == "no group" {
				if err := <-first.ended; err == nil || !strings.Contains(first.text(), "was ended") {
					t.Errorf("%v: %s", err, first.text())
				}
				for _, a := range r.agents {
					_ = a.Process.Signal(syscall.SIGCONT)
				}
			}
			if err := <-second.ended; err != nil || !strings.HasSuffix(second.text(), "next\n") || strings.Contains(second.text(), "STILL") {
				t.Errorf("%v: %s", err, second.text())
			}
			_ = first.cmd.Process.Kill()
		})
	}
}

var rolls = flag.Int("rolls", 0, "of nodes under load, one after the other, each with a fault at the agent that leads")

// As many rolling restarts as -rolls says. It takes 20 s for each, so it is not among the usual tests.
func TestRolls(t *testing.T) {
	if *rolls == 0 {
		t.Skip("-rolls is 0")
	}
	r := newAgents(t)
	g := begin(t, Options{Agents: 3})
	r.addrs = nil
	for _, p := range g.parts[:3] {
		r.addrs = append(r.addrs, p.Listen)
	}
	r.startNodes(t)
	sc, err := scenario.Parse("roll", []byte(rollWorld))
	if err != nil {
		t.Fatal(err)
	}
	c := r.clients(t.Context(), sc)
	kinds := []faultinject.Kind{faultinject.ProcessKill, faultinject.LinkCut, faultinject.ProcessStop, faultinject.LinkSilent}
	for i := range *rolls {
		x := r.roll(t, fmt.Sprint("change ", i))
		x.await(t, "done", 1+i%6)
		end := g.Fault(faultinject.Fault{Kind: kinds[i%len(kinds)], Processes: []int{-1}})
		if err := <-x.ended; err != nil {
			t.Errorf("roll %d: %v\n%s", i, err, x.text())
		}
		end()
		if err := g.Heal(); err != nil {
			t.Fatal(err)
		}
		for name, n := range r.changes(t) {
			if n != i+1 {
				t.Errorf("%s was changed %d times by %d changes", name, n, i+1)
			}
		}
	}
	c.stop()
	c.wait.Wait()
	r.away(t, 2)
	t.Logf("%d rolls, %d requests: %d lost, %d refused, %d turned back", *rolls, c.sent.Load(), c.lost.Load(), c.refused.Load(), c.turned.Load())
	if c.lost.Load()+c.refused.Load() > 0 {
		t.Error("requests were lost or refused")
	}
}
