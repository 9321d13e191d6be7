package soak

import (
	"syscall"
	"time"
)

const (
	longestDiscoveryFault = 5 * time.Second
	longestBackendFault   = 3 * time.Second
	crashNoticeDelay      = time.Second // from a backend's crash until it is listed as removed

	stalls             = 5
	stallPause         = 300 * time.Millisecond
	shortestStallMs    = 50
	stallSpreadMs      = 90
	discoveryMigration = 2 * time.Second // longer than migrationOverlap, so that the old address is closed by then
)

// injectFault waits for the start of a fault and injects it. Faults of single nodes or backends continue in goroutines
// of faultsInProgress.
func (r *run) injectFault(fault Fault) {
	r.sleep(fault.Start - r.now())
	if r.ended() {
		return
	}
	switch fault.Kind {
	case DiscoveryDown:
		r.disturbDiscovery(fault, discoveryDown)
	case DiscoveryBusy:
		r.disturbDiscovery(fault, discoveryBusy)
	case DiscoverySlow:
		r.disturbDiscovery(fault, discoverySlow)
	case WatchesSilent:
		r.eachDiscovery(fault.Targets, (*discovery).silenceWatches)
	case NodeKilled, NodeStopped, NodeStalled, DiscoveryMoved:
		for _, i := range fault.Targets {
			r.faultsInProgress.Go(func() { r.injectNodeFault(fault, r.nodes[i]) })
		}
	case SitePowerLost:
		r.injectSitePowerLoss(fault)
	case BackendsRemoved, BackendsDrain:
		r.unlistBackends(fault)
	default:
		for _, i := range fault.Targets {
			r.faultsInProgress.Go(func() { r.injectBackendFault(fault, r.backends[i]) })
		}
	}
}

// disturbDiscovery changes the behaviour of the targets' discovery for the fault's duration, but for at most
// longestDiscoveryFault.
func (r *run) disturbDiscovery(fault Fault, behaviour discoveryBehaviour) {
	r.eachDiscovery(fault.Targets, func(d *discovery) { d.setBehaviour(behaviour) })
	r.sleep(min(fault.Duration, longestDiscoveryFault))
	r.eachDiscovery(fault.Targets, func(d *discovery) { d.setBehaviour(discoveryHealthy) })
}

// eachDiscovery applies a function to both discovery addresses of each of the nodes.
func (r *run) eachDiscovery(nodes []int, apply func(*discovery)) {
	for _, i := range nodes {
		for _, d := range r.nodes[i].discovery {
			apply(d)
		}
	}
}

// injectNodeFault injects a fault into one node. It does nothing if another fault of that node is in progress.
func (r *run) injectNodeFault(fault Fault, n *node) {
	if !n.faultMu.TryLock() {
		return
	}
	defer n.faultMu.Unlock()
	switch fault.Kind {
	case NodeKilled:
		n.kill()
		r.sleep(fault.Duration)
		_ = n.start() // after an error, the SIGTERM at the end of the run finds the old process, which check reports
	case NodeStopped:
		n.terminate(termination(fault.Parameter % uint64(terminationCount)))
		r.sleep(fault.Duration / 4)
		_ = n.start() // after an error, the SIGTERM at the end of the run finds the old process, which check reports
	case NodeStalled:
		for i := range stalls {
			n.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(shortestStallMs+(fault.Parameter>>i)%stallSpreadMs) * time.Millisecond)
			n.signal(syscall.SIGCONT)
			r.sleep(stallPause)
		}
	case DiscoveryMoved:
		if n.awaitReloadable() {
			_ = n.migrateDiscovery() // after an error, the node keeps its address of discovery
		}
		r.sleep(discoveryMigration)
	}
}

// injectBackendFault injects a fault into one backend. It does nothing if another fault of that backend is in progress.
func (r *run) injectBackendFault(fault Fault, b *backend) {
	if !b.faultMu.TryLock() {
		return
	}
	defer b.faultMu.Unlock()
	switch fault.Kind {
	case BackendDrains:
		r.list.set(b.index, stateDraining)
		r.sleep(fault.Duration / 2)
		r.list.set(b.index, stateRemoved)
		r.sleep(fault.Duration / 2)
		r.list.addIncarnation(b.index)
	case BackendRemoved:
		r.list.set(b.index, stateRemoved)
		r.sleep(fault.Duration)
		r.list.addIncarnation(b.index)
	case BackendCrashed:
		b.setCondition(backendCrashed)
		r.sleep(crashNoticeDelay)
		r.list.set(b.index, stateRemoved)
		r.sleep(fault.Duration)
		b.setCondition(backendHealthy)
		r.list.addIncarnation(b.index)
	case BackendHangs:
		r.disturbBackend(fault, b, backendHangs)
	case BackendResets:
		r.disturbBackend(fault, b, backendResets)
	case BackendRejects:
		r.disturbBackend(fault, b, backendRejects)
	case BackendSendsGarbage:
		r.disturbBackend(fault, b, backendSendsGarbage)
	}
}

// disturbBackend changes a backend's condition for the fault's duration, but for at most longestBackendFault.
func (r *run) disturbBackend(fault Fault, b *backend, condition backendCondition) {
	b.setCondition(condition)
	r.sleep(min(fault.Duration, longestBackendFault))
	b.setCondition(backendHealthy)
}

// unlistBackends lists many backends as removed or draining in one revision and as in service in a later one. They keep
// answering requests.
func (r *run) unlistBackends(fault Fault) {
	state := stateRemoved
	if fault.Kind == BackendsDrain {
		state = stateDraining
	}
	revision := r.list.setAll(fault.Targets, state)
	r.sleep(fault.Duration)
	r.list.restore(fault.Targets, revision)
}

// injectSitePowerLoss crashes all nodes and backends of a site at once. The backends are listed as removed while the
// nodes are down. They return before they are listed as in service again.
func (r *run) injectSitePowerLoss(fault Fault) {
	site := fault.Targets[0]
	for i, n := range r.nodes {
		if i%sites == site {
			r.faultsInProgress.Go(func() { r.injectNodeFault(Fault{Kind: NodeKilled, Duration: fault.Duration}, n) })
		}
	}
	for i, b := range r.backends {
		if i%sites == site {
			r.faultsInProgress.Go(func() { r.injectBackendPowerLoss(b, fault.Duration) })
		}
	}
}

// injectBackendPowerLoss crashes one backend for a duration, and lists it as removed and, after its return, as in
// service.
func (r *run) injectBackendPowerLoss(b *backend, duration time.Duration) {
	b.faultMu.Lock()
	defer b.faultMu.Unlock()
	removalDelay := duration * 2 / 5 // time from the crash until the backend is listed as removed
	b.setCondition(backendCrashed)
	r.sleep(removalDelay)
	r.list.set(b.index, stateRemoved)
	r.sleep(duration - removalDelay)
	b.setCondition(backendHealthy)
	r.sleep(duration / 2)
	r.list.addIncarnation(b.index)
}
