package faultinject

import (
	"cmp"
	"slices"
	"strings"

	"tulipglade/internal/tomlfile"
)

// maxRandomFaults is the maximum number of random faults in a run.
const maxRandomFaults = 1000

// RandomFaults configures the random faults of a run: their number, kinds and range of durations.
type RandomFaults struct {
	Count int    `toml:"count"`
	Kinds []Kind `toml:"kinds"` // empty: the kinds that defaultKinds returns
	MinMs int64  `toml:"min_ms"`
	MaxMs int64  `toml:"max_ms"`
}

// Check returns an error that names the first invalid field, or nil. Path is the position of the settings in their
// file.
func (d RandomFaults) Check(path string) error {
	switch {
	case d.Count < 0 || d.Count > maxRandomFaults:
		return tomlfile.FieldErrorf(path+".count", "%d is not within 0 and %d", d.Count, maxRandomFaults)
	case d.Count > 0 && (d.MinMs <= 0 || d.MaxMs < d.MinMs):
		return tomlfile.FieldErrorf(path+".max_ms", "min_ms %d and max_ms %d are no range above 0", d.MinMs, d.MaxMs)
	}
	for i, kind := range d.Kinds {
		if t, ok := traits[kind]; !ok || t.target == targetProcesses {
			return tomlfile.FieldErrorf(path+".kinds", "%q at index %d is not a kind that can be drawn here; known kinds are %v", kind, i, Kinds())
		}
	}
	return nil
}

// Draw returns random faults, sorted by start time, for a run of the given length in ms. The faults may overlap.
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

// defaultKinds returns the kinds that affect processes if the scope has processes, and otherwise all other kinds except
// Rolling.
func defaultKinds(scope Scope) []Kind {
	return slices.DeleteFunc(Kinds(), func(kind Kind) bool {
		hitsProcesses := traits[kind].target == targetProcesses
		return kind == Rolling || hitsProcesses != (scope.Processes > 0)
	})
}

// drawOne returns one random fault. The order of its draws must not change, since a seed would then give other faults.
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
	case targetProcesses: // the leader (-1) is drawn as often as all numbered processes together
		process := r.IntN(2*scope.Processes) - scope.Processes
		fault.Processes = []int{max(process, -1)}
	}
	if t.hasSize() {
		fault.Size = t.defaultSize * (0.5 + r.Float64())
		fault.Size = min(max(fault.Size, t.minSize), t.maxSize)
	}
	return fault.ApplyDefaults(scope, r)
}
