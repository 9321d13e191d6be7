package soak

import (
	"fmt"
	"sync"
	"time"
)

// endpointState is what discovery says of a backend.
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

// listChange is a line of the endpoint list with the revision that it came with.
type listChange struct {
	revision    int
	at          time.Duration
	backend     int
	incarnation int // each start of a backend is listed under an ID of its own
	state       endpointState
	bootMs      int64
}

// endpointID identifies an incarnation of a backend.
type endpointID struct{ backend, incarnation int }

func (c listChange) id() endpointID { return endpointID{c.backend, c.incarnation} }

// notification is an answer of discovery to a node.
type notification struct {
	started   time.Duration // from then on the node may know of it
	completed time.Duration // from then on the node counts as notified
	revision  int
}

// endpointList is the true list of backends, and the record of which node was notified of what, and when.
type endpointList struct {
	run *run

	mu            sync.Mutex
	changes       []listChange
	changed       chan struct{}    // closed at the next change, and replaced
	notifications [][]notification // by node
}

func newEndpointList(r *run, backends int) *endpointList {
	l := &endpointList{run: r, changed: make(chan struct{}), notifications: make([][]notification, r.options.Nodes)}
	for i := range backends {
		l.changes = append(l.changes, listChange{revision: firstRevision, backend: i, state: stateInService})
	}
	return l
}

// set changes the state of a backend's last incarnation.
func (l *endpointList) set(backend int, state endpointState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change := l.lastChange(backend)
	change.state = state
	l.add(change)
}

// addIncarnation lists a new incarnation of a backend as in service.
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

// setAll changes the state of those backends that are in service, in one revision, which it returns.
func (l *endpointList) setAll(backends []int, state endpointState) (revision int) {
	inService := func(last listChange) bool { return last.state == stateInService }
	return l.changeMatching(backends, inService, state)
}

// restore puts those backends that a revision has changed last back into service, in one revision.
func (l *endpointList) restore(backends []int, revision int) {
	changedThen := func(last listChange) bool { return last.revision == revision }
	l.changeMatching(backends, changedThen, stateInService)
}

// changeMatching changes the state of those backends whose last change matches, in one revision, which it returns.
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

// addAll gives changes the next revision and the present time. The caller holds the mutex.
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

// add gives a change the next revision and the present time. The caller holds the mutex.
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

// changesSince returns the last change of each incarnation that changed after a revision, the newest revision, and a channel that is closed at the
// next change.
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

// lastNotifiedList returns the list as a node was last notified of it, and its revision.
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

// recordNotification records an answer to a node.
func (l *endpointList) recordNotification(node int, n notification) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notifications[node] = append(l.notifications[node], n)
}

// listAnswer is a list in discovery's form: all endpoints, or the changes since a revision.
type listAnswer struct {
	Revision int      `json:"rev"`
	Full     bool     `json:"all"`
	Targets  []target `json:"targets"`
}

// target is an endpoint in discovery's form.
type target struct {
	ID           string        `json:"uid"`
	Address      string        `json:"endpoint"`
	Zone         string        `json:"az"`
	Group        int           `json:"pod_group"`
	State        endpointState `json:"state"`
	CapacityHint float64       `json:"capacity_hint"`
	BootMs       int64         `json:"boot_ms"`
}

// targets returns lines in discovery's form, with the addresses at which this node reaches the backends.
func (n *node) targets(lines []listChange) []target {
	targets := []target{} // an empty list is not null
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
