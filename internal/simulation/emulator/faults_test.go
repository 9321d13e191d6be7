package emulator

import (
	"fmt"
	"testing"

	"tulipglade/internal/balancer"
	"tulipglade/internal/simulation/policy"
)

// faultTestScenario is the start of the scenarios below.
const faultTestScenario = "seconds = 12.0\nwarm_up_s = 0.0\nload.level = 0.5\n"

// Each kind of fault alone changes the figures that it should change.
func TestEachFaultHasItsEffect(t *testing.T) {
	calm := play(t, parseScenario(t, faultTestScenario), findPolicy(t, "random"), 1)
	for name, c := range map[string]struct {
		fault     string
		hasEffect func(r *Result) bool
	}{
		"fast-errors": {"size = 1.0\nshare = 0.3", func(r *Result) bool { return r.Outcomes["failed"] > 20*(calm.Outcomes["failed"]+1)/10 }},
		"slow":        {"size = 5.0\nshare = 0.5", func(r *Result) bool { return r.ServedValue < calm.ServedValue-0.05 }},
		"freeze":      {"share = 0.3", func(r *Result) bool { return r.Outcomes["timed-out"] > 2*calm.Outcomes["timed-out"] }},
		"kill":        {"share = 0.3", func(r *Result) bool { return r.AttemptsPerRequest > calm.AttemptsPerRequest+0.05 }},
		"replace":     {"share = 0.3", func(r *Result) bool { return r.AttemptsPerRequest > calm.AttemptsPerRequest+0.05 }},
		"drain":       {"share = 0.3", func(r *Result) bool { return r.AttemptsPerRequest > calm.AttemptsPerRequest }},
		"rolling":     {"", func(r *Result) bool { return r.Dials > calm.Dials }},
		"resets":      {"size = 0.5\nshare = 1.0", func(r *Result) bool { return r.Outcomes["failed"] > 20 && r.Waste > calm.Waste+0.1 }},
		"garbage":     {"size = 0.5\nshare = 1.0", func(r *Result) bool { return r.Outcomes["failed"] > 20 && r.Waste > calm.Waste+0.1 }},
		"interim":     {"size = 1.0\nshare = 1.0", func(r *Result) bool { return r.ServedValue == calm.ServedValue }}, // must change nothing
		"site-lost": {"site = 'west'\nwith_nodes = true", func(r *Result) bool {
			return r.Outcomes["failed"]+r.Outcomes["refused"] > calm.Outcomes["failed"]+calm.Outcomes["refused"]+10
		}},
		"site-silent":    {"site = 'west'", func(r *Result) bool { return r.Outcomes["timed-out"] > 2*calm.Outcomes["timed-out"] }},
		"site-cut":       {"site = 'west'", func(r *Result) bool { return r.AttemptsPerRequest > calm.AttemptsPerRequest+0.05 }},
		"list-down":      {"", func(r *Result) bool { return r.DiscoveryCalls > calm.DiscoveryCalls }},
		"node-kill":      {"nodes = [0]", func(r *Result) bool { return r.RequestsPerCall > calm.RequestsPerCall }},
		"surge":          {"size = 3.0", func(r *Result) bool { return r.Calls > calm.Calls*3/2 }},
		"datagrams-lost": {"size = 1.0", func(*Result) bool { return true }}, // this and the next two have tests of their own below
		"hot-node":       {"size = 0.9\nnodes = [1]", func(*Result) bool { return true }},
		"clock-off":      {"size = 5000.0\nnodes = [1]", func(*Result) bool { return true }},
	} {
		t.Run(name, func(t *testing.T) {
			fault := "[[fault]]\nkind = '" + name + "'\nat_ms = 3000\nfor_ms = 6000\n" + c.fault
			r := play(t, parseScenario(t, faultTestScenario+fault), findPolicy(t, "random"), 1)
			if !c.hasEffect(r) {
				t.Errorf("no effect: outcomes %v (without fault %v), attempts %.3f (%.3f), served value %.3f (%.3f)", r.Outcomes, calm.Outcomes,
					r.AttemptsPerRequest, calm.AttemptsPerRequest, r.ServedValue, calm.ServedValue)
			}
		})
	}
}

// The fault clock-off shifts the local time of its node alone.
func TestClockOffShiftsLocalTime(t *testing.T) {
	sc := parseScenario(t, faultTestScenario+"[[fault]]\nkind = 'clock-off'\nnodes = [1]\nsize = 5000.0")
	simulation, err := New(sc, 1, findPolicy(t, "random"))
	if err != nil {
		t.Fatal(err)
	}
	if got := simulation.nodes[1].localTime(0) - simulation.nodes[0].localTime(0); got != 5_000_000 {
		t.Errorf("node 1 is off by %d µs", got)
	}
}

// Datagrams between nodes arrive unless all of them are lost.
func TestPeerMessageLossDropsDatagrams(t *testing.T) {
	got := map[float64]int{}
	for _, loss := range []float64{0, 1} {
		sc := parseScenario(t, faultTestScenario+fmt.Sprintf("net.peer_loss = %.1f", loss))
		simulation, err := New(sc, 1, func(e policy.Env) (policy.Policy, error) {
			p, err := findPolicy(t, "least-shared")(e)
			return &peerMessageCounter{p, &got, loss}, err
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := simulation.Run(); err != nil {
			t.Fatal(err)
		}
	}
	if got[0] == 0 || got[1] != 0 {
		t.Errorf("%d datagrams arrived without loss, %d with all lost", got[0], got[1])
	}
}

// The fault hot-node directs most requests to its node.
func TestHotNodeReceivesExtraTraffic(t *testing.T) {
	sc := parseScenario(t, faultTestScenario+"[[fault]]\nkind = 'hot-node'\nnodes = [1]\nsize = 0.9")
	simulation, err := New(sc, 1, findPolicy(t, "random"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := simulation.Run(); err != nil {
		t.Fatal(err)
	}
	if a, b := simulation.nodes[1].decisions, simulation.nodes[0].decisions+simulation.nodes[2].decisions; a < 5*b {
		t.Errorf("the hot node made %d decisions, the others %d", a, b)
	}
}

// peerMessageCounter counts the datagrams that arrive, by the loss.
type peerMessageCounter struct {
	policy.Policy
	received *map[float64]int
	loss     float64
}

func (c *peerMessageCounter) HandlePeerMessage(now balancer.Time, from int, data []byte) {
	(*c.received)[c.loss]++
	c.Policy.HandlePeerMessage(now, from, data)
}
