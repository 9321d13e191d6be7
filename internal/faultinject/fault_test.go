package faultinject

import (
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
)

// testScope returns a scope with six backends and three nodes. The first three backends and all nodes are in site east.
func testScope() Scope {
	return Scope{
		Backends: 6,
		Nodes:    3,
		Sites:    []string{"east", "west"},
		Tenants:  []string{"large"},
		BackendSite: func(backend int) string {
			if backend < 3 {
				return "east"
			}
			return "west"
		},
		NodeSite: func(int) string { return "east" },
	}
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestApplyDefaultsChoosesTargets(t *testing.T) {
	for name, test := range map[string]struct {
		fault Fault
		count int // expected number of backends
		size  float64
	}{
		"one drawn":            {Fault{Kind: Slow}, 1, 3},
		"a share of all":       {Fault{Kind: Freeze, Share: 0.5}, 3, 0},
		"at least one":         {Fault{Kind: Freeze, Share: 0.01}, 1, 0},
		"all of a site":        {Fault{Kind: Kill, Site: "west"}, 3, 0},
		"a share of a site":    {Fault{Kind: Kill, Site: "west", Share: 0.4}, 1, 0},
		"all in a rolling one": {Fault{Kind: Rolling}, 6, 0},
		"as named":             {Fault{Kind: Slow, Backends: []int{4, 5}, Size: 7}, 2, 7},
	} {
		t.Run(name, func(t *testing.T) {
			got := test.fault.ApplyDefaults(testScope(), newRand())
			if len(got.Backends) != test.count || got.Size != test.size || got.Share != 0 || got.Site != "" {
				t.Errorf("%+v", got)
			}
			for _, backend := range got.Backends {
				if test.fault.Site == "west" && backend < 3 {
					t.Errorf("backend %d is not in west", backend)
				}
			}
		})
	}
}

func TestExpandDrainsBackendsInTurn(t *testing.T) {
	rolling := Fault{Kind: Rolling, Start: 1000, Duration: 9000, Backends: []int{2, 0, 1}}
	want := []Fault{
		{Kind: Drain, Start: 1000, Duration: 3000, Backends: []int{2}},
		{Kind: Drain, Start: 4000, Duration: 3000, Backends: []int{0}},
		{Kind: Drain, Start: 7000, Duration: 3000, Backends: []int{1}},
	}
	if got := rolling.Expand(); !reflect.DeepEqual(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
	kill := Fault{Kind: Kill, Backends: []int{1}}
	if got := kill.Expand(); !reflect.DeepEqual(got, []Fault{kill}) {
		t.Errorf("%v, want the fault itself", got)
	}
}

func TestCheckNamesTheInvalidField(t *testing.T) {
	for field, fault := range map[string]Fault{
		"kind":       {Kind: "earthquake"},
		"at_ms":      {Kind: Kill, Start: -1},
		"for_ms":     {Kind: Rolling},
		"size":       {Kind: FastErrors, Size: 2},
		"share":      {Kind: Kill, Share: 0.5, Backends: []int{1}},
		"boxes":      {Kind: Kill, Backends: []int{6}},
		"nodes":      {Kind: Kill, Nodes: []int{0}},
		"processes":  {Kind: Kill, Processes: []int{0}},
		"site":       {Kind: SiteLost, Site: "north"},
		"with_nodes": {Kind: Kill, WithNodes: true},
		"tenant":     {Kind: Surge, Tenant: "small"},
	} {
		err := fault.Check("fault[0]", testScope())
		if err == nil || !strings.Contains(err.Error(), "fault[0]."+field+": ") {
			t.Errorf("%+v: %v, want an error of %s", fault, err, field)
		}
	}
}

func TestDrawnFaultsAreValidAndInOrder(t *testing.T) {
	const length = 60_000
	random := RandomFaults{Count: 500, MinMs: 100, MaxMs: 5000}
	if err := random.Check("random_faults"); err != nil {
		t.Fatal(err)
	}
	faults := random.Draw(testScope(), length, newRand())
	if len(faults) != random.Count {
		t.Fatalf("%d faults, want %d", len(faults), random.Count)
	}
	for i, fault := range faults {
		if err := fault.Check("fault", testScope()); err != nil {
			t.Error(err)
		}
		if fault.End() > length || i > 0 && fault.Start < faults[i-1].Start {
			t.Errorf("%v is out of order or beyond the end", fault)
		}
	}
	if again := random.Draw(testScope(), length, newRand()); !reflect.DeepEqual(again, faults) {
		t.Error("the same seed draws other faults")
	}
}

func TestDrawTargetsProcessesWhenScopeHasProcesses(t *testing.T) {
	random := RandomFaults{Count: 200, MinMs: 100, MaxMs: 5000}
	for _, fault := range random.Draw(Scope{Processes: 3}, 60_000, newRand()) {
		if len(fault.Processes) != 1 || fault.Processes[0] < -1 || fault.Processes[0] >= 3 {
			t.Errorf("%v", fault)
		}
	}
}
