// Package faultinject defines the faults that tests inject: their kinds, targets, times and sizes. The emulator injects
// them in virtual time; the fakes and the process harness inject them on sockets.
package faultinject

import (
	"fmt"
	"math"
	"slices"
)

// Fault is a failure that is injected for a limited time or until the end of the run. Its targets are given by number,
// by share or by site: Backends and Nodes list their numbers, counted from 0; Share selects that fraction of them at
// random, as drawn from the seed; Site selects those of one site.
type Fault struct {
	Kind     Kind    `toml:"kind" json:"kind"`
	Start    int64   `toml:"at_ms" json:"at_ms"`                   // time since the start of the run
	Duration int64   `toml:"for_ms" json:"for_ms"`                 // 0: until the end of the run
	Size     float64 `toml:"size,omitempty" json:"size,omitempty"` // meaning depends on the kind; 0: the kind's default
	Backends []int   `toml:"boxes,omitempty" json:"boxes,omitempty"`
	Nodes    []int   `toml:"nodes,omitempty" json:"nodes,omitempty"`
	// Processes lists the numbers that the harness gives to its processes. -1 is the process that is the leader when
	// the fault begins.
	Processes []int   `toml:"processes,omitempty" json:"processes,omitempty"`
	Share     float64 `toml:"share,omitempty" json:"share,omitempty"`
	Site      string  `toml:"site,omitempty" json:"site,omitempty"`
	// WithNodes makes the loss of a site affect the site's nodes as well as its backends.
	WithNodes bool   `toml:"with_nodes,omitempty" json:"with_nodes,omitempty"`
	Tenant    string `toml:"tenant,omitempty" json:"tenant,omitempty"` // tenant whose load surges; empty: all tenants
}

// noEnd is the end, in ms, of a fault that lasts until the end of the run. Converted to µs, it still fits in an int64.
const noEnd = math.MaxInt64 / 2000

const millisPerSecond = 1000

// End returns the time in ms at which the fault ends, or noEnd if it lasts until the end of the run.
func (f Fault) End() int64 {
	if f.Duration == 0 {
		return noEnd
	}
	return f.Start + f.Duration
}

// String describes the fault in one line, for logs and reports.
func (f Fault) String() string {
	text := fmt.Sprintf("%s at %.1f s", f.Kind, float64(f.Start)/millisPerSecond)
	if f.Duration > 0 {
		text += fmt.Sprintf(" for %.1f s", float64(f.Duration)/millisPerSecond)
	}
	if traits[f.Kind].hasSize() {
		text += fmt.Sprintf(", size %g", f.Size)
	}
	if f.Site != "" {
		text += ", site " + f.Site
	}
	if f.Tenant != "" {
		text += ", tenant " + f.Tenant
	}
	if len(f.Backends) > 0 {
		text += fmt.Sprintf(", boxes %v", f.Backends)
	}
	if len(f.Nodes) > 0 {
		text += fmt.Sprintf(", nodes %v", f.Nodes)
	}
	if len(f.Processes) > 0 {
		text += fmt.Sprintf(", processes %v", f.Processes)
	}
	return text
}

// Rand is the source of random numbers from which faults are drawn.
type Rand interface {
	Float64() float64
	IntN(int) int
	Perm(int) []int
}

// ApplyDefaults returns the fault with its size set to the kind's default if it has none, and with a share or a site
// replaced by the numbers of the selected backends or nodes. If the fault names no target, one backend or one node is
// drawn from r; a rolling change affects all backends.
func (f Fault) ApplyDefaults(scope Scope, r Rand) Fault {
	t := traits[f.Kind]
	if f.Size == 0 && t.hasSize() {
		f.Size = t.defaultSize
	}
	if t.target == targetBackends && len(f.Backends) == 0 {
		f.Backends = f.chooseTargets(scope.Backends, scope.BackendSite, r)
		f.Share, f.Site = 0, ""
	}
	if t.target == targetNodes && len(f.Nodes) == 0 {
		f.Nodes = f.chooseTargets(scope.Nodes, scope.NodeSite, r)
		f.Share, f.Site = 0, ""
	}
	return f
}

// chooseTargets returns the numbers of the fault's targets, drawn from candidateCount candidates. If the fault names a
// site, only the candidates of that site count. Of these, it returns the fault's share, if one is set; otherwise all of
// them if the fault names a site or is a rolling change, and one of them in all other cases.
func (f Fault) chooseTargets(candidateCount int, siteOf func(int) string, r Rand) []int {
	var candidates []int
	for _, i := range r.Perm(candidateCount) {
		if f.Site == "" || siteOf(i) == f.Site {
			candidates = append(candidates, i)
		}
	}
	selectedCount := len(candidates)
	switch {
	case f.Share > 0:
		selectedCount = max(1, int(math.Round(f.Share*float64(selectedCount))))
	case f.Site == "" && f.Kind != Rolling:
		selectedCount = 1
	}
	chosen := candidates[:min(selectedCount, len(candidates))]
	slices.Sort(chosen)
	return chosen
}

// minDrainDuration is the minimum time in ms for which a rolling change takes each backend out of service.
const minDrainDuration = 2000

// Expand returns the drains of single backends that make up a rolling change. It returns any other fault unchanged.
func (f Fault) Expand() []Fault {
	if f.Kind != Rolling {
		return []Fault{f}
	}
	var drains []Fault
	interval := f.Duration / int64(max(len(f.Backends), 1))
	for i, backend := range f.Backends {
		drains = append(drains, Fault{
			Kind:     Drain,
			Start:    f.Start + int64(i)*interval,
			Duration: max(interval, minDrainDuration),
			Backends: []int{backend},
		})
	}
	return drains
}
