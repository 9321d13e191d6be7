package processtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"tulipglade/internal/fake"
	"tulipglade/internal/loopback"
	"tulipglade/internal/simulation/scenario"
)

const rolloutScenario = `
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

const (
	fleetAgents  = 3
	fleetSites   = 3
	readyTimeout = 40 * time.Second // for all nodes together
)

// rolloutFleet runs nine nodes at three sites and three agents as processes of the real programs.
type rolloutFleet struct {
	directory      string
	scenario       *scenario.Scenario
	cluster        *fake.Cluster
	agents         []*exec.Cmd
	agentAddresses []string
	nodeNames      []string
}

func newRolloutFleet(t *testing.T) *rolloutFleet {
	t.Helper()
	fleet := newAgentGroup(t)
	fleet.startNodes(t)
	return fleet
}

// newAgentGroup builds the programs, and creates and starts a group of agents.
func newAgentGroup(t *testing.T) *rolloutFleet {
	t.Helper()
	f := &rolloutFleet{directory: t.TempDir()}
	build := exec.Command("go", "build", "-o", filepath.Join(f.directory, "bin")+"/", "../../cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
	t.Cleanup(func() {
		for _, agent := range f.agents {
			_ = agent.Process.Kill() // it may have exited
			_ = agent.Wait()
		}
	})
	addresses, err := loopback.FreeAddresses(loopback.Host, fleetAgents)
	if err != nil {
		t.Fatal(err)
	}
	f.agentAddresses = addresses
	var members []string
	for i, address := range addresses {
		members = append(members, "--member", fmt.Sprintf("%d=%s", i+1, address))
	}
	for i := range addresses {
		arguments := []string{"init", "--dir", f.agentDirectory(i), "--id", fmt.Sprint(i + 1), "--interval", "100ms"}
		initialize := f.program("tulipagent", append(arguments, members...)...)
		if output, err := initialize.CombinedOutput(); err != nil {
			t.Fatalf("%v %s", err, output)
		}
		f.agents = append(f.agents, nil)
		f.startAgent(t, i)
	}
	return f
}

func (f *rolloutFleet) agentDirectory(index int) string {
	return filepath.Join(f.directory, fmt.Sprint("agent", index+1))
}

func (f *rolloutFleet) startAgent(t *testing.T, index int) {
	t.Helper()
	f.agents[index] = f.program("tulipagent", "serve", "--dir", f.agentDirectory(index))
	if err := f.agents[index].Start(); err != nil {
		t.Fatal(err)
	}
}

// program returns a command that runs one of the built programs. Its process is killed when the test process exits.
func (f *rolloutFleet) program(name string, arguments ...string) *exec.Cmd {
	command := exec.Command(filepath.Join(f.directory, "bin", name), arguments...)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return command
}

// startNodes starts the fake cluster and the nodes, and waits until all nodes are ready.
func (f *rolloutFleet) startNodes(t *testing.T) {
	t.Helper()
	parsed, err := scenario.Parse("roll", []byte(rolloutScenario))
	if err != nil {
		t.Fatal(err)
	}
	f.scenario = parsed
	addresses, err := loopback.FreeAddresses(loopback.Host, 2*parsed.Nodes.Count)
	if err != nil {
		t.Fatal(err)
	}
	listenAddresses, adminAddresses := addresses[:parsed.Nodes.Count], addresses[parsed.Nodes.Count:]
	ready := make(chan int, 100)
	options := fake.Options{Seed: 1, Nodes: listenAddresses, OnReady: func(node int) { ready <- node }}
	f.cluster, err = fake.Start(t.Context(), parsed, options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.stopNodes(t) })
	var list bytes.Buffer
	for i := range listenAddresses {
		name := f.configureNode(t, i, adminAddresses[i])
		if err := startNode(f.directory, name); err != nil {
			t.Fatal(err)
		}
		f.nodeNames = append(f.nodeNames, name)
		site := parsed.Fleet.Sites[parsed.Site(i)]
		fmt.Fprintf(&list, "[[node]]\nname = %q\nsite = %q\noperator = %q\nlisten = %q\n", name, site, adminAddresses[i], listenAddresses[i])
	}
	if err := os.WriteFile(f.nodeList(), list.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	timeout := time.After(readyTimeout)
	for range listenAddresses {
		select {
		case <-ready:
		case <-timeout:
			t.Fatal("not all nodes became ready in time")
		}
	}
}

// configureNode writes the configuration file of a node and returns the name of the node.
func (f *rolloutFleet) configureNode(t *testing.T, index int, adminAddress string) string {
	t.Helper()
	raw, err := f.cluster.NodeConfig(index, fake.DefaultLimits)
	if err != nil {
		t.Fatal(err)
	}
	var configuration map[string]any
	if err := json.Unmarshal(raw, &configuration); err != nil {
		t.Fatal(err)
	}
	configuration["operator"] = adminAddress
	if raw, err = json.Marshal(configuration); err != nil {
		t.Fatal(err)
	}
	name := configuration["name"].(string)
	if err := os.WriteFile(filepath.Join(f.directory, name+".json"), raw, 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

func (f *rolloutFleet) stopNodes(t *testing.T) {
	t.Helper()
	for _, name := range f.nodeNames {
		if pid := nodePID(f.directory, name); pid > 0 {
			_ = syscall.Kill(pid, syscall.SIGKILL) // it may have exited
		}
	}
	if err := f.cluster.Close(); err != nil {
		t.Error(err)
	}
}

// nodeList returns the path of the list of nodes that tulipctl reads.
func (f *rolloutFleet) nodeList() string { return filepath.Join(f.directory, "nodes.toml") }

// changeCounts returns how often each node was changed, by name.
func (f *rolloutFleet) changeCounts(t *testing.T) map[string]int {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(f.directory, changesFile))
	if err != nil {
		t.Fatal(err)
	}
	counts := map[string]int{}
	for line := range strings.Lines(string(raw)) {
		name, _, _ := strings.Cut(line, " ")
		counts[name]++
	}
	return counts
}

// standbyTransition is a transition of a node into standby, or from standby back into service.
type standbyTransition struct {
	at    time.Time
	site  int
	delta int // change of the number of nodes in standby: 1 or -1
}

// standbyTransitions reads the transitions of a node from its log, and checks that the node is in service at the end.
func (f *rolloutFleet) standbyTransitions(t *testing.T, index int) []standbyTransition {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(f.directory, f.nodeNames[index]+".log"))
	if err != nil {
		t.Fatal(err)
	}
	var transitions []standbyTransition
	site := index % fleetSites
	inStandby := false
	for line := range strings.Lines(string(raw)) {
		stamp, _, _ := strings.Cut(strings.TrimPrefix(line, "time="), " ")
		at, err := time.Parse(time.RFC3339Nano, stamp)
		if err != nil { // not a log record
			continue
		}
		switch {
		case strings.Contains(line, "msg=standby") && !inStandby:
			inStandby = true
			transitions = append(transitions, standbyTransition{at, site, 1})
		case strings.Contains(line, "msg=serving") && inStandby:
			inStandby = false
			transitions = append(transitions, standbyTransition{at, site, -1})
		}
	}
	if inStandby {
		t.Errorf("%s was left in standby", f.nodeNames[index])
	}
	return transitions
}

// checkNodesInStandby checks in the logs of the nodes that at most atOnce nodes of a site were in standby at once, and
// that nodes of two sites never were.
func (f *rolloutFleet) checkNodesInStandby(t *testing.T, atOnce int) {
	t.Helper()
	var transitions []standbyTransition
	for i := range f.nodeNames {
		transitions = append(transitions, f.standbyTransitions(t, i)...)
	}
	slices.SortStableFunc(transitions, func(a, b standbyTransition) int { return a.at.Compare(b.at) })
	var standby [fleetSites]int
	for _, transition := range transitions {
		standby[transition.site] += transition.delta
		sites := 0
		for _, nodes := range standby {
			if nodes > 0 {
				sites++
			}
			if nodes > atOnce {
				t.Errorf("%v: more nodes in standby at once than allowed: %v", transition.at, standby)
			}
		}
		if sites > 1 {
			t.Errorf("%v: more than one site has nodes in standby: %v", transition.at, standby)
		}
	}
}
