package invariant

import (
	"testing"

	"tulipglade/internal/balancer"
)

const ms = 1000

func cfg() Config {
	return Config{AnswerGrace: 20 * ms, DrainGrace: 500 * ms, OverloadFactor: 3, OverloadWindow: 3000 * ms,
		Classes: []balancer.Class{
			{Idempotency: balancer.Idempotent},
			{Idempotency: balancer.NonIdempotent},
			{Idempotency: balancer.IdempotentByKey, KeyScope: balancer.ScopeCell, IdempotencyWindow: 6000 * ms},
			{Idempotency: balancer.IdempotentByKey, KeyScope: balancer.ScopeZone, IdempotencyWindow: 6000 * ms},
			{Idempotency: balancer.IdempotentByKey, KeyScope: balancer.ScopeAll, IdempotencyWindow: 6000 * ms},
		}}
}

const (
	read = iota
	once
	rack
	site
	all
)

var (
	near    = Backend{ID: 1, Site: 0, Rack: 0}
	beside  = Backend{ID: 2, Site: 0, Rack: 0}
	sameTwn = Backend{ID: 3, Site: 0, Rack: 1}
	far     = Backend{ID: 4, Site: 1, Rack: 2}
)

// Each rule at its edge: the last thing that is allowed, and the first that is not.
func TestRulesAtTheirEdges(t *testing.T) {
	attempt := func(j *Checker, class int, b Backend, out balancer.Outcome) {
		j.RequestAccepted(0, 0, 1, class, 9000*ms)
		j.AttemptSent(0, 0, 1, b)
		j.AttemptEnded(10*ms, 1, 0, out)
	}
	for name, c := range map[string]struct {
		do   func(j *Checker)
		rule Rule
	}{
		"answered at the end of the grace": {func(j *Checker) { j.RequestAccepted(0, 0, 1, read, 100*ms); j.RequestAnswered(120*ms, 0, 1, Failed) }, ""},
		"answered past the grace":          {func(j *Checker) { j.RequestAccepted(0, 0, 1, read, 100*ms); j.RequestAnswered(121*ms, 0, 1, Failed) }, OneAnswer},
		"never answered":                   {func(j *Checker) { j.RequestAccepted(0, 0, 1, read, 100*ms); j.Close(200 * ms) }, OneAnswer},
		"not yet due":                      {func(j *Checker) { j.RequestAccepted(0, 0, 1, read, 100*ms); j.Close(110 * ms) }, ""},
		"client gone": {func(j *Checker) {
			j.RequestAccepted(0, 0, 1, read, 100*ms)
			j.ClientDisconnected(50*ms, 1)
			j.Close(200 * ms)
		}, ""},
		"node died":         {func(j *Checker) { j.RequestAccepted(0, 0, 1, read, 100*ms); j.NodeCrashed(0); j.Close(200 * ms) }, ""},
		"another node died": {func(j *Checker) { j.RequestAccepted(0, 0, 1, read, 100*ms); j.NodeCrashed(1); j.Close(200 * ms) }, OneAnswer},
		"answered twice": {func(j *Checker) {
			j.RequestAccepted(0, 0, 1, read, 9)
			j.RequestAnswered(1, 0, 1, Failed)
			j.RequestAnswered(2, 0, 1, Failed)
		}, OneAnswer},
		"never taken": {func(j *Checker) { j.RequestAnswered(1, 0, 1, Failed) }, OneAnswer},
		"sent after its answer": {func(j *Checker) {
			j.RequestAccepted(0, 0, 1, read, 9)
			j.RequestAnswered(1, 0, 1, Failed)
			j.AttemptSent(2, 0, 1, near)
		}, OneAnswer},
		"sent after the client left": {func(j *Checker) {
			j.RequestAccepted(0, 0, 1, read, 9)
			j.ClientDisconnected(1, 1)
			j.AttemptSent(2, 0, 1, near)
		}, OneAnswer},
		"a read again after a time-out": {func(j *Checker) { attempt(j, read, near, balancer.OutcomeTimeout); j.AttemptSent(20*ms, 0, 1, far) }, ""},
		"two at once": {func(j *Checker) {
			j.RequestAccepted(0, 0, 1, read, 9)
			j.AttemptSent(0, 0, 1, near)
			j.AttemptSent(1, 0, 1, far)
		}, NoDuplicateRun},
		"once, not connected": {func(j *Checker) {
			attempt(j, once, near, balancer.OutcomeConnectFailed)
			j.AttemptSent(20*ms, 0, 1, far)
		}, ""},
		"once, turned away":          {func(j *Checker) { attempt(j, once, near, balancer.OutcomeRejected); j.AttemptSent(20*ms, 0, 1, far) }, ""},
		"once, reset":                {func(j *Checker) { attempt(j, once, near, balancer.OutcomeReset); j.AttemptSent(20*ms, 0, 1, far) }, NoDuplicateRun},
		"once, cancelled":            {func(j *Checker) { attempt(j, once, near, balancer.OutcomeCanceled); j.AttemptSent(20*ms, 0, 1, far) }, NoDuplicateRun},
		"once, error":                {func(j *Checker) { attempt(j, once, near, balancer.OutcomeServerError); j.AttemptSent(20*ms, 0, 1, far) }, NoDuplicateRun},
		"by key within the rack":     {func(j *Checker) { attempt(j, rack, near, balancer.OutcomeReset); j.AttemptSent(20*ms, 0, 1, beside) }, ""},
		"by key outside the rack":    {func(j *Checker) { attempt(j, rack, near, balancer.OutcomeReset); j.AttemptSent(20*ms, 0, 1, sameTwn) }, NoDuplicateRun},
		"by key within the site":     {func(j *Checker) { attempt(j, site, near, balancer.OutcomeReset); j.AttemptSent(20*ms, 0, 1, sameTwn) }, ""},
		"by key outside the site":    {func(j *Checker) { attempt(j, site, near, balancer.OutcomeReset); j.AttemptSent(20*ms, 0, 1, far) }, NoDuplicateRun},
		"by key anywhere":            {func(j *Checker) { attempt(j, all, near, balancer.OutcomeReset); j.AttemptSent(20*ms, 0, 1, far) }, ""},
		"by key at the window's end": {func(j *Checker) { attempt(j, rack, near, balancer.OutcomeReset); j.AttemptSent(6000*ms, 0, 1, near) }, ""},
		"by key past the window":     {func(j *Checker) { attempt(j, rack, near, balancer.OutcomeReset); j.AttemptSent(6001*ms, 0, 1, near) }, NoDuplicateRun},
		"refused, may have run": {func(j *Checker) {
			attempt(j, once, near, balancer.OutcomeReset)
			j.RequestAnswered(20*ms, 0, 1, Rejected)
		}, NoDuplicateRun},
		"refused, still out": {func(j *Checker) {
			j.RequestAccepted(0, 0, 1, once, 9)
			j.AttemptSent(0, 0, 1, near)
			j.RequestAnswered(1, 0, 1, Rejected)
		}, NoDuplicateRun},
		"refused, never ran": {func(j *Checker) {
			attempt(j, once, near, balancer.OutcomeRejected)
			j.RequestAnswered(20*ms, 0, 1, Rejected)
		}, ""},
		"refused, by key anywhere": {func(j *Checker) {
			attempt(j, all, near, balancer.OutcomeReset)
			j.RequestAnswered(20*ms, 0, 1, Rejected)
		}, ""},
		"failed, may have run": {func(j *Checker) {
			attempt(j, once, near, balancer.OutcomeReset)
			j.RequestAnswered(20*ms, 0, 1, Failed)
		}, ""},
		"drained, at the grace's end": {func(j *Checker) { drained(j, 500*ms) }, ""},
		"drained, past the grace":     {func(j *Checker) { drained(j, 501*ms) }, NoSendToDrained},
		"drained, told again":         {func(j *Checker) { j.NodeNotified(-300*ms, 0, 1, balancer.PhaseDraining, 0); drained(j, 300*ms) }, NoSendToDrained},
		"drained, back in service": {func(j *Checker) {
			j.NodeNotified(0, 0, 1, balancer.PhaseRemoved, 0)
			j.NodeNotified(1, 0, 1, balancer.PhaseReady, 1)
			attempt2(j, 900*ms)
		}, ""},
		"drained, told to another node": {func(j *Checker) { j.NodeNotified(0, 1, 1, balancer.PhaseRemoved, 0); attempt2(j, 900*ms) }, ""},
		"drained, told before a restart": {func(j *Checker) {
			j.NodeNotified(0, 0, 1, balancer.PhaseRemoved, 0)
			j.NodeCrashed(0)
			attempt2(j, 900*ms)
		}, ""},
		"cold box within its budget":        {func(j *Checker) { push(j, 0, 8800*ms) }, ""},
		"cold box pushed":                   {func(j *Checker) { push(j, 0, 9900*ms) }, NoSlowStartOverload},
		"cold box, by nodes that know not":  {func(j *Checker) { push(j, 7, 9900*ms) }, ""},
		"cold box, spread over two windows": {func(j *Checker) { push(j, 0, 6000*ms); pushAt(j, 0, 3500*ms, 6000*ms) }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			j := New(cfg(), 0)
			c.do(j)
			if c.rule == "" {
				if len(j.Violations()) > 0 {
					t.Errorf("said to be broken: %v", j.Violations()[0])
				}
				return
			}
			if j.Broken()[c.rule] == 0 {
				t.Errorf("%s is not said to be broken: %v", c.rule, j.Broken())
			}
		})
	}
}

func attempt2(j *Checker, at balancer.Time) {
	j.RequestAccepted(at, 0, 1, read, at+9000*ms)
	j.AttemptSent(at, 0, 1, near)
}

func drained(j *Checker, at balancer.Time) {
	j.NodeNotified(0, 0, 1, balancer.PhaseDraining, 0)
	attempt2(j, at)
}

// push sends so much work over 2 s to a box that does one core's.
func push(j *Checker, node int, work float64) {
	j.NodeNotified(0, 0, 1, balancer.PhaseReady, 1)
	pushAt(j, node, 0, work)
}

func pushAt(j *Checker, node int, from balancer.Time, work float64) {
	for i := range balancer.Time(200) {
		j.AttemptReached(from+i*10*ms, node, 1, 1, work/200, 1)
	}
}

// What is over is forgotten after a while: a run of any length needs memory only for what is open.
func TestMemoryIsBounded(t *testing.T) {
	j := New(cfg(), 0)
	for id := balancer.RequestID(1); id < 5*remembered; id++ {
		j.RequestAccepted(0, 0, id, read, 100)
		j.RequestAnswered(1, 0, id, Failed)
	}
	if len(j.reqs) > remembered+1 || j.InFlight() != 0 {
		t.Errorf("%d requests kept, %d open", len(j.reqs), j.InFlight())
	}
	for id := balancer.RequestID(1); id < 100; id++ {
		j.RequestAnswered(2, 0, id, Failed)
	}
	if len(j.Violations()) != kept || j.Broken()[OneAnswer] != 99 {
		t.Errorf("%d kept whole of %d", len(j.Violations()), j.Broken()[OneAnswer])
	}
}
