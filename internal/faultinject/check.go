package faultinject

import (
	"slices"

	"tulipglade/internal/tomlfile"
)

// Scope describes what faults can target in a run: numbers of backends, nodes and processes, and names of sites and
// tenants.
type Scope struct {
	Backends    int
	Nodes       int
	Processes   int // our own processes that communicate with each other
	Sites       []string
	Tenants     []string
	BackendSite func(backend int) string
	NodeSite    func(node int) string
}

// Check returns an error that names the first invalid field of the fault, or nil. Path is the position of the fault in
// its file, such as "fault[0]".
func (f Fault) Check(path string, scope Scope) error {
	t, ok := traits[f.Kind]
	if !ok {
		return tomlfile.FieldErrorf(path+".kind", "%q is none of %v", f.Kind, Kinds())
	}
	invalid := func(field, format string, args ...any) error {
		return tomlfile.FieldErrorf(path+"."+field, format, args...)
	}
	if err := f.checkTimesAndAmounts(t, invalid); err != nil {
		return err
	}
	if err := f.checkTarget(t, scope, invalid); err != nil {
		return err
	}
	return f.checkTargetNumbers(scope, invalid)
}

// fieldErrorFunc returns an error that reports an invalid field of the checked fault.
type fieldErrorFunc func(field, format string, args ...any) error

// checkTimesAndAmounts checks that the start, duration, size and share are within their ranges.
func (f Fault) checkTimesAndAmounts(t trait, invalid fieldErrorFunc) error {
	switch {
	case f.Start < 0:
		return invalid("at_ms", "%d is before the start", f.Start)
	case f.Duration < 0:
		return invalid("for_ms", "%d is below 0", f.Duration)
	case f.Duration == 0 && f.Kind == Rolling:
		return invalid("for_ms", "a rolling change needs a length")
	case !t.hasSize() && f.Size != 0:
		return invalid("size", "%s has no size", f.Kind)
	case t.hasSize() && f.Size != 0 && (f.Size < t.minSize || f.Size > t.maxSize):
		return invalid("size", "%g is not within %g and %g, as %s needs", f.Size, t.minSize, t.maxSize, f.Kind)
	case f.Share < 0 || f.Share > 1:
		return invalid("share", "%g is not within 0 and 1", f.Share)
	}
	return nil
}

// checkTarget checks that the fault names only targets that its kind affects, and that the named site and tenant exist.
func (f Fault) checkTarget(t trait, scope Scope, invalid fieldErrorFunc) error {
	switch {
	case len(f.Backends) > 0 && t.target != targetBackends:
		return invalid("boxes", "%s does not hit boxes", f.Kind)
	case t.target == targetProcesses && scope.Processes == 0:
		return invalid("kind", "%s: there are no processes to hit here", f.Kind)
	case len(f.Processes) > 0 && t.target != targetProcesses:
		return invalid("processes", "%s does not hit processes", f.Kind)
	case len(f.Nodes) > 0 && t.target != targetNodes:
		return invalid("nodes", "%s does not hit nodes", f.Kind)
	case f.Site != "" && t.target == targetNone:
		return invalid("site", "%s hits no site", f.Kind)
	case f.Site != "" && !slices.Contains(scope.Sites, f.Site):
		return invalid("site", "%q is none of %v", f.Site, scope.Sites)
	case f.Site == "" && t.target == targetSites:
		return invalid("site", "%s needs one of %v", f.Kind, scope.Sites)
	case f.WithNodes && t.target != targetSites:
		return invalid("with_nodes", "%s does not affect the nodes of a site", f.Kind)
	case f.Tenant != "" && (f.Kind != Surge || !slices.Contains(scope.Tenants, f.Tenant)):
		return invalid("tenant", "%q: only a surge has a tenant, one of %v", f.Tenant, scope.Tenants)
	case f.Share != 0 && !f.allowsShare(t):
		return invalid("share", "%s takes no share here", f.Kind)
	}
	return nil
}

// allowsShare reports whether the fault's targets can be chosen by a share. They cannot if its kind affects neither
// backends, nodes nor processes, or if the fault names backends or nodes.
func (f Fault) allowsShare(t trait) bool {
	if t.target == targetNone || t.target == targetSites {
		return false
	}
	return len(f.Backends)+len(f.Nodes) == 0
}

// checkTargetNumbers checks that the backends and nodes that the fault names exist.
func (f Fault) checkTargetNumbers(scope Scope, invalid fieldErrorFunc) error {
	for _, list := range []struct {
		field   string
		numbers []int
		count   int
	}{
		{"boxes", f.Backends, scope.Backends},
		{"nodes", f.Nodes, scope.Nodes},
	} {
		for _, number := range list.numbers {
			if number < 0 || number >= list.count {
				return invalid(list.field, "there is no number %d among %d", number, list.count)
			}
		}
	}
	return nil
}
