package faultinject

import (
	"cmp"
	"slices"
	"strings"

	"tulipglade/internal/tomlfile"
)

// maxRandomFaults bounds how many faults can be drawn for a run.
const maxRandomFaults = 1000

// RandomFaults says how to draw faults at random.
type RandomFaults struct {
	Count int    `toml:"count"`
	Kinds []Kind `toml:"kinds"` // empty: all but rolling
	MinMs int64  `toml:"min_ms"`
	MaxMs int64  `toml:"max_ms"`
}

// Check returns an error that names the invalid field; path is where the settings stand in their file.
func (d RandomFaults) Check(path string) error {
	switch {
	case d.Count < 0 || d.Count > maxRandomFaults:
		return tomlfile.FieldErrorf(path+".count", "%d is not within 0 and %d", d.Count, maxRandomFaults)
	case d.Count > 0 && (d.MinMs <= 0 || d.MaxMs < d.MinMs):
		return tomlfile.FieldErrorf(path+".max_ms", "min_ms %d and max_ms %d are no range above 0", d.MinMs, d.MaxMs)
	}
	for i, kind := range d.Kinds {
		if t, ok := traits[kind]; !ok || t.target == targetProcesses {
			return tomlfile.FieldErrorf(path+".kinds", "%q at place %d is none of %v", kind, i, Kinds())
		}
	}
	return nil
}

// Draw draws the faults of a run that lasts length ms. They may overlap.
func (d RandomFaults) Draw(scope Scope, length int64, r Rand) []Fault {
	kinds := d.Kinds
	if len(kinds) == 0 {
		kinds = defaultKinds(scope)
	}
	var faults []Fault
	for range d.Count {
		faults = append(faults, d.drawOne(kinds, scope, length, r))
	}
	slices.SortStableFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Start, b.Start), strings.Compare(string(a.Kind), string(b.Kind)))
	})
	return faults
}

// defaultKinds are the kinds of processes where the scope has processes, else all others; rolling is none of them.
func defaultKinds(scope Scope) []Kind {
	return slices.DeleteFunc(Kinds(), func(kind Kind) bool {
		hitsProcesses := traits[kind].target == targetProcesses
		return kind == Rolling || hitsProcesses != (scope.Processes > 0)
	})
}

// drawOne draws one fault. The order of its draws is part of what a seed means.
func (d RandomFaults) drawOne(kinds []Kind, scope Scope, length int64, r Rand) Fault {
	kind := kinds[r.IntN(len(kinds))]
	t := traits[kind]
	duration := min(d.MinMs+int64(r.Float64()*float64(d.MaxMs-d.MinMs)), length)
	fault := Fault{Kind: kind, Duration: duration, Start: int64(r.Float64() * float64(length-duration))}
	switch t.target {
	case targetSites:
		fault.Site = scope.Sites[r.IntN(len(scope.Sites))]
		fault.WithNodes = kind != SitePartition && r.Float64() < 0.5
	case targetBackends:
		fault.Share = 0.05 + 0.15*r.Float64()
	case targetProcesses: // the leader (-1) as often as all others together
		process := r.IntN(2*scope.Processes) - scope.Processes
		fault.Processes = []int{max(process, -1)}
	}
	if t.hasSize() {
		fault.Size = t.defaultSize * (0.5 + r.Float64())
		fault.Size = min(max(fault.Size, t.minSize), t.maxSize)
	}
	return fault.ApplyDefaults(scope, r)
}
