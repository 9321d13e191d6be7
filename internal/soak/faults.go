package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds.
const (
	NodeKilled          Kind = "node killed"     // SIGKILL; it starts again later with the list that it was last notified of
	NodeStopped         Kind = "node stopped"    // SIGTERM; it starts again after it has exited
	NodeStalled         Kind = "node held up"    // SIGSTOP for up to 0.15 s, again and again
	DiscoveryMoved      Kind = "discovery moved" // SIGHUP with another address of discovery
	DiscoveryDown       Kind = "discovery down"  // calls and watches are reset
	DiscoveryBusy       Kind = "discovery busy"  // calls wait, and are rejected
	DiscoverySlow       Kind = "discovery slow"  // answers come late
	WatchesSilent       Kind = "watches silent"  // watches that are open are never answered
	BackendDrains       Kind = "backend drains"  // it is listed as draining, then as removed, and answers all along
	BackendRemoved      Kind = "backend gone"    // it is off the list at once, and answers all along
	BackendCrashed      Kind = "backend crashed" // its process dies, and the list says so later
	BackendHangs        Kind = "backend hangs"   // requests are answered only after the fault
	BackendResets       Kind = "backend resets"  // connections are reset after requests have run
	BackendRejects      Kind = "backend refuses" // 503, marked as never run
	BackendSendsGarbage Kind = "backend garbles" // answers are not HTTP
	SitePowerLost       Kind = "power of a site" // a third of the nodes and of the backends die together, and come back together
	BackendsRemoved     Kind = "backends gone"   // many or all are off the list at once, answer all along, and come back together
	BackendsDrain       Kind = "backends drain"  // the same, as draining
)

// randomKinds are the kinds that schedules draw from. The order matters: a seed draws by index.
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
	Targets   []int // indexes of nodes or backends; the site of SitePowerLost
	Parameter uint64
}

// String describes the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("%.3f %s %v for %.3f", f.Start.Seconds(), f.Kind, f.Targets, f.Duration.Seconds())
}

// How schedules are drawn.
const (
	firstFault     = 1500 * time.Millisecond
	faultFreeEnd   = 4 * time.Second // no fault starts in it
	meanFaultPause = 350 * time.Millisecond
	shortestFault  = 200 * time.Millisecond
	faultSpread    = 7 * time.Second

	sites              = 3
	powerLossOneIn     = 8
	powerLossSeedsStep = 4 // every seed that this divides has a power loss
	powerLossDelay     = time.Second
	powerLossDuration  = 5 * time.Second

	shortestListLoss = 500 * time.Millisecond
	listLossSpread   = 4 * time.Second
	longestListPause = 4 * time.Second // from one loss to the next
	listFaultStream  = 1               // of the seed's random numbers, so that these faults leave the others as they are
	listFormStream   = 1000            // and further ones for each discovery
	allBackendsOneIn = 2
	listDrainsOneIn  = 3
	listFaultFreeEnd = faultFreeEnd + 2*time.Second
)

// drawSchedule returns the schedule of a seed. Faults overlap, and some schedules have the power loss of a site on top of them.
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

// drawListFaults draws losses of many backends at once, one after the other.
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

// drawFault draws one fault. The order of the draws is part of what a seed means.
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
