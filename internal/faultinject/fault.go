// Package faultinject defines the faults of tests: which kinds there are, what they hit, when, and how hard. The emulator
// plays them in virtual time, the fakes and the harness of processes on sockets.
package faultinject

import (
	"fmt"
	"math"
	"slices"
)

// Fault is one thing that goes wrong for a time. What it hits is given by numbers or by a share: Backends and Nodes name
// them, counted from 0; Share takes that part of them, drawn by the seed; Site takes those of one site.
type Fault struct {
	Kind     Kind    `toml:"kind" json:"kind"`
	Start    int64   `toml:"at_ms" json:"at_ms"`                   // since the start of the run
	Duration int64   `toml:"for_ms" json:"for_ms"`                 // 0: until the end of the run
	Size     float64 `toml:"size,omitempty" json:"size,omitempty"` // see the kinds; 0: the default of the kind
	Backends []int   `toml:"boxes,omitempty" json:"boxes,omitempty"`
	Nodes    []int   `toml:"nodes,omitempty" json:"nodes,omitempty"`
	// Processes are numbered by the harness that runs them. -1 is the leader when the fault begins.
	Processes []int   `toml:"processes,omitempty" json:"processes,omitempty"`
	Share     float64 `toml:"share,omitempty" json:"share,omitempty"`
	Site      string  `toml:"site,omitempty" json:"site,omitempty"`
	// WithNodes: the nodes of a lost site die too.
	WithNodes bool   `toml:"with_nodes,omitempty" json:"with_nodes,omitempty"`
	Tenant    string `toml:"tenant,omitempty" json:"tenant,omitempty"` // of a surge; empty: all
}

// noEnd is the end in ms of a fault that lasts; in µs it is still within an int64.
const noEnd = math.MaxInt64 / 2000

const millisPerSecond = 1000

// End is when the fault ends, in ms; noEnd for one that lasts.
func (f Fault) End() int64 {
	if f.Duration == 0 {
		return noEnd
	}
	return f.Start + f.Duration
}

// String returns the fault in a form for people.
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

// Rand is the random source that draws need.
type Rand interface {
	Float64() float64
	IntN(int) int
	Perm(int) []int
}

// ApplyDefaults returns the fault with its default size, and with a share or a site turned into the numbers of what is
// hit. A fault that names nothing hits one backend, or one node, drawn by r.
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

// chooseTargets draws the numbers of what the fault hits among count candidates: the share of those at its site, else all of
// them, or one where it names no site. A rolling change takes all.
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

// minDrainDuration is the least time in ms for which a backend is out of service in a rolling change.
const minDrainDuration = 2000

// Expand turns a rolling change into its single drains; any other fault stays as it is.
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
