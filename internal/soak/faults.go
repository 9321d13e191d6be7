package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the name of a kind of fault, as it appears in reports.
type Kind string

// The kinds of faults. Backends that are only removed from the list or listed as draining keep answering requests.
const (
	NodeKilled          Kind = "node killed"     // SIGKILL; the node restarts later with its last notified list
	NodeStopped         Kind = "node stopped"    // SIGTERM; the node restarts after it has exited
	NodeStalled         Kind = "node held up"    // SIGSTOP for up to 0.15 s, several times
	DiscoveryMoved      Kind = "discovery moved" // SIGHUP after a change of the configured address of discovery
	DiscoveryDown       Kind = "discovery down"  // connections of calls and watches are reset
	DiscoveryBusy       Kind = "discovery busy"  // calls are delayed and then rejected
	DiscoverySlow       Kind = "discovery slow"  // answers are delayed
	WatchesSilent       Kind = "watches silent"  // watches that are open at the start of the fault are never answered
	BackendDrains       Kind = "backend drains"  // listed as draining, then as removed; the backend keeps answering
	BackendRemoved      Kind = "backend gone"    // listed as removed at once; the backend keeps answering
	BackendCrashed      Kind = "backend crashed" // the backend accepts no connections; it is listed as removed later
	BackendHangs        Kind = "backend hangs"   // requests are answered only after the end of the fault
	BackendResets       Kind = "backend resets"  // connections are reset after their requests have run
	BackendRejects      Kind = "backend refuses" // requests are rejected with 503 and marked as never run
	BackendSendsGarbage Kind = "backend garbles" // answers are not valid HTTP
	SitePowerLost       Kind = "power of a site" // a third of the nodes and backends crash and return together
	BackendsRemoved     Kind = "backends gone"   // one to all leave the list in one revision and return in one
	BackendsDrain       Kind = "backends drain"  // like BackendsRemoved, but the backends are listed as draining
)

// randomKinds are the kinds from which schedules are drawn. Kinds are drawn by index, so another order would change the
// schedule of each seed.
var randomKinds = []Kind{
	NodeKilled,
	NodeStopped,
	NodeStalled,
	DiscoveryMoved,
	DiscoveryDown,
	DiscoveryBusy,
	DiscoverySlow,
	WatchesSilent,
	BackendDrains,
	BackendRemoved,
	BackendCrashed,
	BackendHangs,
	BackendResets,
	BackendRejects,
	BackendSendsGarbage,
}

// Fault is one fault of a schedule.
type Fault struct {
	Kind      Kind
	Start     time.Duration
	Duration  time.Duration
	Targets   []int  // indexes of nodes or backends; for SitePowerLost, the index of the site
	Parameter uint64 // random number that selects the variant of a fault of a node
}

// String describes the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("%.3f %s %v for %.3f", f.Start.Seconds(), f.Kind, f.Targets, f.Duration.Seconds())
}

// Parameters from which schedules are drawn.
const (
	firstFault     = 1500 * time.Millisecond
	faultFreeEnd   = 4 * time.Second // no fault starts in this time at the end of a run
	meanFaultPause = 350 * time.Millisecond
	shortestFault  = 200 * time.Millisecond
	faultSpread    = 7 * time.Second

	sites              = 3
	powerLossOneIn     = 8
	powerLossSeedsStep = 4 // seeds that are a multiple of this always have a power loss
	powerLossDelay     = time.Second
	powerLossDuration  = 5 * time.Second

	shortestListLoss = 500 * time.Millisecond
	listLossSpread   = 4 * time.Second
	longestListPause = 4 * time.Second // maximum time between two losses
	listFaultStream  = 1               // random stream of their own, so that these faults do not change the others
	listFormStream   = 1000            // first of the random streams of the discoveries' answer forms
	allBackendsOneIn = 2
	listDrainsOneIn  = 3
	listFaultFreeEnd = faultFreeEnd + 2*time.Second
)

// drawSchedule returns the schedule of a seed. Faults overlap, and some schedules contain the power loss of a site as
// well.
func drawSchedule(options Options) []Fault {
	random := rand.New(rand.NewPCG(options.Seed, 0))
	var plan []Fault
	for at := firstFault; at < options.Length-faultFreeEnd; at += time.Duration(random.Int64N(int64(2 * meanFaultPause))) {
		plan = append(plan, drawFault(random, options, at))
	}
	if random.IntN(powerLossOneIn) == 0 || options.Seed%powerLossSeedsStep == 0 {
		plan = append(plan, Fault{
			Kind:     SitePowerLost,
			Start:    firstFault + powerLossDelay,
			Duration: powerLossDuration,
			Targets:  []int{random.IntN(sites)},
		})
	}
	if options.VaryLists {
		plan = append(plan, drawListFaults(options)...)
	}
	return plan
}

// drawListFaults draws faults in which many backends leave the list at once. These faults do not overlap each other.
func drawListFaults(options Options) (plan []Fault) {
	random := rand.New(rand.NewPCG(options.Seed, listFaultStream))
	for at := firstFault; at < options.Length-listFaultFreeEnd; {
		fault := Fault{Kind: BackendsRemoved, Start: at}
		if random.IntN(listDrainsOneIn) == 0 {
			fault.Kind = BackendsDrain
		}
		count := options.Backends
		if random.IntN(allBackendsOneIn) > 0 {
			count = 1 + random.IntN(options.Backends)
		}
		fault.Targets = random.Perm(options.Backends)[:count]
		slices.Sort(fault.Targets)
		fault.Duration = shortestListLoss + time.Duration(random.Int64N(int64(listLossSpread)))
		plan = append(plan, fault)
		at += fault.Duration + time.Duration(random.Int64N(int64(longestListPause)))
	}
	return plan
}

// drawFault draws one fault. The order of its draws must not change, since a seed would then give another schedule.
func drawFault(random *rand.Rand, options Options, at time.Duration) Fault {
	fault := Fault{Start: at}
	fault.Kind = randomKinds[random.IntN(len(randomKinds))]
	fault.Parameter = random.Uint64()
	fault.Duration = shortestFault + time.Duration(random.Int64N(int64(faultSpread)))
	candidates, mostTargets := options.Nodes, max(options.Nodes/3, 1)
	switch fault.Kind {
	case DiscoveryDown, DiscoveryBusy, DiscoverySlow, WatchesSilent:
		mostTargets = options.Nodes
	case BackendDrains, BackendRemoved, BackendCrashed, BackendHangs, BackendResets, BackendRejects, BackendSendsGarbage:
		candidates, mostTargets = options.Backends, max(options.Backends/3, 1)
	}
	fault.Targets = random.Perm(candidates)[:1+random.IntN(mostTargets)]
	slices.Sort(fault.Targets)
	return fault
}
