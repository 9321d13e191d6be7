package fake

import (
	"fmt"
	"net"
	"slices"

	"tulipglade/internal/balancer"
	"tulipglade/internal/faultinject"
	"tulipglade/internal/simulation/emulator"
)

// eventHandler receives the events of the emulated backends. Its methods run on the cluster's goroutine.
type eventHandler struct{ cluster *Cluster }

// Answered ends the exchange of a request that the backend has answered.
func (h eventHandler) Answered(result emulator.Pending, outcome balancer.Outcome) {
	result.Context.(*exchange).finish(result, outcome)
}

// Ran counts an execution when it begins, because an attempt that its node cancels never ends but has been executed.
func (h eventHandler) Ran(pending any) {
	x, cl := pending.(*exchange), h.cluster
	if cl.ledger.recordExecution(x.id, x.class, x.conn.backend.addressIndex) {
		cl.log.write(x.event(cl.now(), eventRanTwice))
	}
}

// Listed applies a change of an endpoint to discovery's list.
func (h eventHandler) Listed(entry emulator.EndpointEntry) {
	cl := h.cluster
	cl.updateEndpoint(entry)
	cl.log.write(logEvent{
		Time:         cl.now(),
		Kind:         eventListed,
		Backend:      entry.Backend,
		AddressIndex: entry.AddressIndex,
		Phase:        phaseNames[entry.Phase],
		Revision:     cl.revision,
	})
}

// Began applies a fault to what the emulator does not emulate: node processes, discovery and the bytes of responses.
func (h eventHandler) Began(fault faultinject.Fault) {
	cl := h.cluster
	cl.log.write(logEvent{Time: cl.now(), Kind: eventFaultBegan, Fault: &fault})
	if cl.processes != nil {
		cl.processes.applyFault(fault, true)
	}
	switch fault.Kind {
	case faultinject.Garbage, faultinject.Interim:
		cl.responseFaults = append(cl.responseFaults, fault)
	case faultinject.DiscoveryDown:
		cl.discoveryFaults++
		for _, d := range cl.discoveries {
			d.resetConnections()
		}
	}
	cl.updateListeners()
}

// Ended reverses the effects of Began.
func (h eventHandler) Ended(fault faultinject.Fault) {
	cl := h.cluster
	cl.log.write(logEvent{Time: cl.now(), Kind: eventFaultEnded, Fault: &fault})
	if cl.processes != nil {
		cl.processes.applyFault(fault, false)
	}
	if fault.Kind == faultinject.DiscoveryDown {
		cl.discoveryFaults--
	}
	index := slices.IndexFunc(cl.responseFaults, func(active faultinject.Fault) bool {
		return active.Kind == fault.Kind && active.Start == fault.Start && slices.Equal(active.Backends, fault.Backends)
	})
	if index >= 0 {
		cl.responseFaults = slices.Delete(cl.responseFaults, index, index+1)
	}
	cl.updateListeners()
}

// updateListeners adapts the sockets of all backends to the states of their processes and links.
func (cl *Cluster) updateListeners() {
	for addressIndex, listeners := range cl.backends {
		running, silent := cl.live.Up(addressIndex)
		for node, b := range listeners {
			b.setState(running, silent || cl.live.Partitioned(node, addressIndex), cl.live.Incarnation(addressIndex))
		}
	}
}

// Inject begins a fault now. It returns the ID to pass to EndFault, and the fault with its defaults filled in.
func (cl *Cluster) Inject(fault faultinject.Fault) (id int, complete faultinject.Fault, err error) {
	if err := fault.Check("fault", cl.scenario.Scope(nil, nil)); err != nil {
		return 0, fault, err
	}
	if fault.Kind == faultinject.Rolling {
		return 0, fault, fmt.Errorf("fault.kind: %s is for a timeline; order its drains one by one", fault.Kind)
	}
	ok := cl.call(func() {
		cl.live.Advance(cl.now())
		id, complete = cl.live.Begin(fault)
		cl.faults[id] = complete
	})
	if !ok {
		return 0, fault, net.ErrClosed
	}
	return id, complete, nil
}

// EndFault ends a fault that Inject began, and reports whether a fault with this ID was active.
func (cl *Cluster) EndFault(id int) (existed bool) {
	cl.call(func() {
		if _, existed = cl.faults[id]; existed {
			delete(cl.faults, id)
			cl.live.Advance(cl.now())
			existed = cl.live.End(id)
		}
	})
	return existed
}
