package soak

import (
	"fmt"
	"sync"
	"time"
)

// endpointState is the state of a backend in discovery's list.
type endpointState string

const (
	stateInService endpointState = "in_service"
	stateDraining  endpointState = "terminating"
	stateRemoved   endpointState = "terminated"
)

const (
	firstRevision = 1
	zoneName      = "z"
)

// listChange is a line of the endpoint list, with the revision and the time at which it was added.
type listChange struct {
	revision    int
	at          time.Duration
	backend     int
	incarnation int // each return of a backend to the list has a new ID
	state       endpointState
	bootMs      int64
}

// endpointID identifies an incarnation of a backend.
type endpointID struct{ backend, incarnation int }

func (c listChange) id() endpointID { return endpointID{c.backend, c.incarnation} }

// notification records that discovery answered a node with a revision of the list.
type notification struct {
	started   time.Duration // start of the answer: the node may know the revision from then on
	completed time.Duration // end of the answer: the node counts as notified from then on
	revision  int
}

// endpointList is the list of backends that discovery serves, with its history and with the record of which revision
// each node was notified of at which time.
type endpointList struct {
	run *run

	mu            sync.Mutex
	changes       []listChange
	changed       chan struct{}    // closed and replaced at the next change
	notifications [][]notification // indexed by node
}

// newEndpointList returns a list with all backends in service.
func newEndpointList(r *run, backends int) *endpointList {
	l := &endpointList{run: r, changed: make(chan struct{}), notifications: make([][]notification, r.options.Nodes)}
	for i := range backends {
		l.changes = append(l.changes, listChange{revision: firstRevision, backend: i, state: stateInService})
	}
	return l
}

// set changes the state of a backend's latest incarnation.
func (l *endpointList) set(backend int, state endpointState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change := l.lastChange(backend)
	change.state = state
	l.add(change)
}

// addIncarnation adds a new incarnation of a backend to the list, in service.
func (l *endpointList) addIncarnation(backend int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change := l.lastChange(backend)
	change.state = stateInService
	change.incarnation++
	change.bootMs = time.Now().UnixMilli()
	l.add(change)
}

// newestRevision returns the newestRevision revision.
func (l *endpointList) newestRevision() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changes[len(l.changes)-1].revision
}

// setAll changes the state of those of the given backends that are in service. All changes belong to one new revision,
// which it returns.
func (l *endpointList) setAll(backends []int, state endpointState) (revision int) {
	inService := func(last listChange) bool { return last.state == stateInService }
	return l.changeMatching(backends, inService, state)
}

// restore returns to service those of the given backends that have not changed since the given revision changed them.
// All changes belong to one new revision.
func (l *endpointList) restore(backends []int, revision int) {
	changedThen := func(last listChange) bool { return last.revision == revision }
	l.changeMatching(backends, changedThen, stateInService)
}

// changeMatching changes the state of those of the given backends whose last change matches. All changes belong to one
// new revision, which it returns.
func (l *endpointList) changeMatching(backends []int, matches func(listChange) bool, state endpointState) (revision int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changed []listChange
	for _, backend := range backends {
		if change := l.lastChange(backend); matches(change) {
			change.state = state
			changed = append(changed, change)
		}
	}
	return l.addAll(changed)
}

// addAll adds changes to the list, with the next revision and the current time. The caller holds the mutex.
func (l *endpointList) addAll(changes []listChange) (revision int) {
	revision = l.changes[len(l.changes)-1].revision + 1
	for _, change := range changes {
		change.revision, change.at = revision, l.run.now()
		l.changes = append(l.changes, change)
	}
	close(l.changed)
	l.changed = make(chan struct{})
	return revision
}

// add adds a change to the list, with the next revision and the current time. The caller holds the mutex.
func (l *endpointList) add(change listChange) {
	change.revision = l.changes[len(l.changes)-1].revision + 1
	change.at = l.run.now()
	l.changes = append(l.changes, change)
	close(l.changed)
	l.changed = make(chan struct{})
}

// lastChange returns the lastChange change of a backend. The caller holds the mutex.
func (l *endpointList) lastChange(backend int) (lastChange listChange) {
	for _, change := range l.changes {
		if change.backend == backend {
			lastChange = change
		}
	}
	return lastChange
}

// changesSince returns the last change of each incarnation that changed after the given revision, the newest revision,
// and a channel that is closed at the next change.
func (l *endpointList) changesSince(revision int) (lines []listChange, newest int, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	positions := map[endpointID]int{}
	for _, change := range l.changes {
		newest = change.revision
		if change.revision <= revision {
			continue
		}
		if i, ok := positions[change.id()]; ok {
			lines[i] = change
			continue
		}
		positions[change.id()] = len(lines)
		lines = append(lines, change)
	}
	return lines, newest, l.changed
}

// lastNotifiedList returns the newest revision that a node was notified of, and the list at that revision without
// removed backends.
func (l *endpointList) lastNotifiedList(node int) (revision int, lines []listChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	revision = firstRevision
	for _, n := range l.notifications[node] {
		revision = max(revision, n.revision)
	}
	latest := map[endpointID]listChange{}
	for _, change := range l.changes {
		if change.revision <= revision {
			latest[change.id()] = change
		}
	}
	for _, change := range latest {
		if change.state != stateRemoved {
			lines = append(lines, change)
		}
	}
	return revision, lines
}

// recordNotification records an answer of discovery to a node.
func (l *endpointList) recordNotification(node int, n notification) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notifications[node] = append(l.notifications[node], n)
}

// listAnswer is an answer of discovery in its JSON form: all endpoints, or the changes since a revision.
type listAnswer struct {
	Revision int      `json:"rev"`
	Full     bool     `json:"all"`
	Targets  []target `json:"targets"`
}

// target is an endpoint in the JSON form of discovery's answers.
type target struct {
	ID           string        `json:"uid"`
	Address      string        `json:"endpoint"`
	Zone         string        `json:"az"`
	Group        int           `json:"pod_group"`
	State        endpointState `json:"state"`
	CapacityHint float64       `json:"capacity_hint"`
	BootMs       int64         `json:"boot_ms"`
}

// targets returns lines of the list in the JSON form of discovery's answers, with the addresses at which this node
// reaches the backends.
func (n *node) targets(lines []listChange) []target {
	targets := []target{} // not nil, so that an empty list is encoded as [] instead of null
	for _, line := range lines {
		targets = append(targets, target{
			ID:           fmt.Sprintf("b%d-%d", line.backend, line.incarnation),
			Address:      n.run.backends[line.backend].address(n.index),
			Zone:         zoneName,
			State:        line.state,
			CapacityHint: 1,
			BootMs:       line.bootMs,
		})
	}
	return targets
}
