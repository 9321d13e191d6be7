package soak

import (
	"strings"
	"testing"
	"time"
)

const (
	testBackends = 2
	testRequest  = "n0-c0-0"
)

// newCheckedRun returns a run with one node, which has no process and is recorded as ready since second 1.
func newCheckedRun() *run {
	r := &run{options: Options{Nodes: 1, Backends: testBackends}, started: time.Now(), record: newRecord()}
	r.list = newEndpointList(r, testBackends)
	n := &node{run: r, log: &logWatch{run: r}, incarnations: []incarnation{{started: 0, ready: time.Second}}}
	n.reachability = []reachabilityChange{{at: 0, reachable: true}}
	r.nodes = []*node{n}
	return r
}

// addRequest records a request of a class with the given effect. It was sent at second 2 and finished at second 3.
func (r *run) addRequest(effect string, result outcome, arrivals ...*arrival) {
	q := &request{id: testRequest, class: class{name: "test", effect: effect, deadline: 900 * time.Millisecond}}
	q.connectedAt = 2 * time.Second
	r.record.start(q, 2*time.Second)
	for _, a := range arrivals {
		r.record.attemptArrived(q.id, a)
	}
	r.record.finish(q, result, 3*time.Second)
}

// arrivalAt returns an arrival at the first backend, which ran the request. The node announced no timeout.
func arrivalAt(at time.Duration) *arrival { return &arrival{at: at, announced: -1, attemptRan: true} }

func TestCheckAcceptsServedRequest(t *testing.T) {
	r := newCheckedRun()
	r.addRequest(effectOnce, outcomeServed, arrivalAt(2100*time.Millisecond))
	result := r.check([]Fault{{Kind: NodeKilled}})
	if len(result.Violations) > 0 || result.Served != 1 || result.Total != 1 || result.Faults[NodeKilled] != 1 {
		t.Errorf("%+v", result)
	}
}

// violationSentAt is the time at which the requests of violationCases were sent.
const violationSentAt = 2 * time.Second

// violationCases are runs that each break one rule, with a part of the line that must report it.
var violationCases = []struct {
	name     string
	record   func(*run)
	violated string
}{
	{"answer to another request", func(r *run) {
		r.addRequest(effectRepeatable, outcomeWrongAnswer)
	}, "lost: "},
	{"no answer in time", func(r *run) {
		r.addRequest(effectRepeatable, outcomeLate)
	}, "lost: "},
	{"request that a process had taken before it ended by itself", func(r *run) {
		r.nodes[0].incarnations[0].terminatedAt = 1500 * time.Millisecond
		r.nodes[0].incarnations[0].exitedAt = 3 * time.Second
		r.addRequest(effectRepeatable, outcomeIncomplete, arrivalAt(violationSentAt))
	}, "lost: "},
	{"connection ended during a request", func(r *run) {
		r.addRequest(effectRepeatable, outcomeIncomplete, arrivalAt(violationSentAt))
	}, "lost: "},
	{"rejected after it ran", func(r *run) {
		r.addRequest(effectOnce, outcomeRejected, arrivalAt(violationSentAt))
	}, "duplicate: "},
	{"non-idempotent request ran twice", func(r *run) {
		r.addRequest(effectOnce, outcomeServed, arrivalAt(violationSentAt), arrivalAt(violationSentAt+time.Millisecond))
	}, "duplicate: "},
	{"key repeated after its window", func(r *run) {
		r.addRequest(effectByKey, outcomeServed, arrivalAt(violationSentAt), arrivalAt(violationSentAt+idempotencyWindow+time.Second))
	}, "duplicate: "},
	{"attempt after the client disconnected", func(r *run) {
		r.addRequest(effectRepeatable, outcomeDisconnected, arrivalAt(4*time.Second))
	}, "lost: "},
	{"announced timeout beyond the deadline", func(r *run) {
		r.addRequest(effectRepeatable, outcomeServed, &arrival{at: violationSentAt, announced: 5 * time.Second})
	}, "deadline: "},
	{"attempt at a removed backend", func(r *run) {
		r.list.changes = append(r.list.changes, listChange{revision: 2, at: 100 * time.Millisecond, state: stateRemoved})
		r.list.recordNotification(0, notification{started: 150 * time.Millisecond, completed: 200 * time.Millisecond, revision: 2})
		r.addRequest(effectRepeatable, outcomeServed, arrivalAt(violationSentAt))
	}, "drain: "},
	{"request that no client sent", func(r *run) {
		r.record.attemptArrived("other", arrivalAt(violationSentAt))
	}, "which no client sent"},
	{"crash", func(r *run) {
		r.nodes[0].incarnations[0].exitedAt = 5 * time.Second
	}, "crash: "},
	{"crash before a planned stop", func(r *run) {
		r.nodes[0].incarnations[0].exitedAt = 5 * time.Second
		r.nodes[0].incarnations[0].terminatedAt = 6 * time.Second
	}, "crash: "},
	{"slow shutdown", func(r *run) {
		p := &r.nodes[0].incarnations[0]
		p.terminatedAt = 5 * time.Second
		p.exitedAt = p.terminatedAt + shutdownLimit + 2*schedulingDelay
	}, "stop: "},
	{"never ready", func(r *run) {
		r.nodes[0].incarnations[0] = incarnation{started: 0, killedAt: 2 * readyLimit}
	}, "ready: "},
	{"forbidden log record", func(r *run) {
		for _, part := range []string{"level=ERROR msg=\"invariant ", "violated\"\n"} {
			_, _ = r.nodes[0].log.Write([]byte(part)) // it never fails
		}
	}, "log of node 0"},
}

// TestCheckCountsOwnDelay guards against a process that is reported for the time in which the test did not run, and
// against a delay at another time that excuses it.
func TestCheckCountsOwnDelay(t *testing.T) {
	const terminatedAt, delay = 5 * time.Second, time.Second
	for name, test := range map[string]struct {
		delayFrom, endedAfter time.Duration
		killed                bool
		want                  int
	}{
		"seen late":           {terminatedAt + time.Second, shutdownLimit + delay, false, 0},
		"delay before":        {terminatedAt - delay, shutdownLimit + delay, false, 1},
		"killed too early":    {terminatedAt + time.Second, shutdownLimit, true, 0},
		"killed in time":      {terminatedAt + time.Second, shutdownLimit + delay, true, 1},
		"killed, delay after": {terminatedAt + shutdownLimit, shutdownLimit, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := newCheckedRun()
			r.ownDelays.record(ownDelay{test.delayFrom, test.delayFrom + delay})
			p := &r.nodes[0].incarnations[0]
			p.terminatedAt, p.exitedAt = terminatedAt, terminatedAt+test.endedAfter
			if test.killed {
				p.killedAt = p.exitedAt
			}
			if broken := r.check(nil).Violations; len(broken) != test.want {
				t.Errorf("want %d violations, have %q", test.want, broken)
			}
		})
	}
}

func TestCheckReportsViolations(t *testing.T) {
	for _, test := range violationCases {
		t.Run(test.name, func(t *testing.T) {
			r := newCheckedRun()
			test.record(r)
			broken := r.check(nil).Violations
			if len(broken) != 1 || !strings.Contains(broken[0], test.violated) {
				t.Errorf("want one violation with %q, have %q", test.violated, broken)
			}
		})
	}
}

// A process that is killed during its shutdown may leave requests unanswered that were sent within 0.7 s after SIGTERM.
// Unanswered requests that were sent later must be reported as lost.
func TestCheckRequestsOfKilledShutdown(t *testing.T) {
	for name, test := range map[string]struct {
		sentAfterTermination time.Duration
		want                 int
	}{
		"early request": {killedShutdownWindow - time.Millisecond, 0},
		"late request":  {killedShutdownWindow + time.Millisecond, 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := newCheckedRun()
			p := &r.nodes[0].incarnations[0]
			p.terminatedAt = violationSentAt - test.sentAfterTermination
			p.killedAt, p.exitedAt = 3*time.Second, 3*time.Second
			r.addRequest(effectRepeatable, outcomeIncomplete, arrivalAt(violationSentAt))
			lost := 0
			for _, line := range r.check(nil).Violations {
				if strings.HasPrefix(line, "lost: ") {
					lost++
				}
			}
			if lost != test.want {
				t.Errorf("%d lost, want %d", lost, test.want)
			}
		})
	}
}

// An attempt at a backend that was removed must not be reported if the node may know of the backend's return to
// service.
func TestCheckAcceptsAttemptAfterReturnToService(t *testing.T) {
	r := newCheckedRun()
	r.list.changes = append(r.list.changes,
		listChange{revision: 2, at: 100 * time.Millisecond, state: stateRemoved},
		listChange{revision: 3, at: 500 * time.Millisecond, incarnation: 1, state: stateInService})
	r.list.recordNotification(0, notification{started: 150 * time.Millisecond, completed: 200 * time.Millisecond, revision: 2})
	r.list.recordNotification(0, notification{started: 600 * time.Millisecond, completed: 650 * time.Millisecond, revision: 3})
	r.addRequest(effectRepeatable, outcomeServed, arrivalAt(2*time.Second))
	if broken := r.check(nil).Violations; len(broken) > 0 {
		t.Error(broken)
	}
}

func TestReachableForIgnoresInterruptedTimes(t *testing.T) {
	n := &node{reachability: []reachabilityChange{
		{at: 0, reachable: true},
		{at: 3 * time.Second, reachable: false},
		{at: 5 * time.Second, reachable: true},
	}}
	if at, ok := n.reachableFor(2*time.Second, 0); !ok || at != 2*time.Second {
		t.Errorf("before the interruption: %v, %v", at, ok)
	}
	if at, ok := n.reachableFor(4*time.Second, 0); !ok || at != 9*time.Second {
		t.Errorf("after the interruption: %v, %v", at, ok)
	}
}
